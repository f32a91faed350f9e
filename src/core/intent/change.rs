//! What operators ask for, and the configuration that follows from it.

use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use serde_json::Value;

use crate::core::{
    configuration::{
        BackendState,
        Configuration,
        DataCentre,
        DataCentreState, //
    },
    intent::{
        ramp::RAMP,
        record::sort,
        validation::{
            Fault,
            ObjectKind,
            ObjectRef,
            validate, //
        },
    },
    names::{
        BackendId,
        DataCentreId, //
    },
};

/// What operators ask for.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "lowercase", deny_unknown_fields)]
pub enum Intent {
    /// Gives a backend server no new work.
    #[display("drain {backend}")]
    Drain {
        /// The backend server.
        backend: BackendId,
    },
    /// Gives a draining backend server new work again.
    #[display("undrain {backend}")]
    Undrain {
        /// The backend server.
        backend: BackendId,
    },
    /// Takes a data centre out: it gets no packets, and flows that end there
    /// are given up.
    #[display("out {data_centre}")]
    Out {
        /// The data centre.
        data_centre: DataCentreId,
    },
    /// Returns a data centre with a growing share of new work.
    #[display("return {data_centre}")]
    Return {
        /// The data centre.
        data_centre: DataCentreId,
    },
    /// Replaces all objects. An object without `state` keeps the state that it
    /// has in force.
    #[display("apply")]
    Apply {
        /// The services.
        services: Vec<Value>,
        /// The backend servers.
        backends: Vec<Value>,
        /// The data centres.
        data_centres: Vec<Value>,
    },
}

/// An intent makes no sense.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq, Serialize)]
pub enum IntentError {
    /// There is no such object.
    #[display("there is no {_0}; see `dragonflytrack services` for the names")]
    #[error(ignore)]
    Unknown(ObjectRef),
    /// The intent changes nothing.
    #[display("nothing to do: {_0}")]
    #[error(ignore)]
    NoChange(String),
    /// Objects make no sense. All faults are listed.
    #[display("{} objects make no sense; mend every field that is listed", _0.len())]
    #[error(ignore)]
    Faults(Vec<Fault>),
}

impl IntentError {
    /// Returns the faults, one for each field.
    pub fn faults(&self) -> &[Fault] {
        match self {
            IntentError::Faults(faults) => faults,
            IntentError::Unknown(_) | IntentError::NoChange(_) => &[],
        }
    }
}

impl Intent {
    /// Returns what `cfg` becomes, with its generation unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the intent names unknown objects, changes nothing, or leads to
    /// objects that make no sense.
    pub fn apply_to(&self, cfg: &Configuration) -> Result<Configuration, IntentError> {
        let next = match self {
            Intent::Drain { backend } => set_backend(cfg, backend, BackendState::Draining)?,
            Intent::Undrain { backend } => set_backend(cfg, backend, BackendState::Active)?,
            Intent::Out { data_centre } => take_out(cfg, data_centre)?,
            Intent::Return { data_centre } => take_back(cfg, data_centre)?,
            Intent::Apply {
                services,
                backends,
                data_centres,
            } => replace_all(cfg, services, backends, data_centres)?,
        };
        let faults = validate(&next);
        if !faults.is_empty() {
            return Err(IntentError::Faults(faults));
        }
        if next == *cfg {
            let reason = "the objects are in force as they are";
            return Err(IntentError::NoChange(reason.to_owned()));
        }
        Ok(next)
    }
}

fn set_backend(
    cfg: &Configuration,
    name: &BackendId,
    state: BackendState,
) -> Result<Configuration, IntentError> {
    let mut next = cfg.clone();
    let backend = next.backends.iter_mut().find(|b| b.name == *name);
    let Some(backend) = backend else {
        let object = ObjectRef::new(ObjectKind::Backend, name);
        return Err(IntentError::Unknown(object));
    };
    if backend.state == state {
        let reason = format!("backend server {name} is {state} already");
        return Err(IntentError::NoChange(reason));
    }
    backend.state = state;
    Ok(next)
}

fn find_data_centre<'a>(
    cfg: &'a mut Configuration,
    name: &DataCentreId,
) -> Result<&'a mut DataCentre, IntentError> {
    let found = cfg.data_centres.iter_mut().find(|d| d.name == *name);
    found.ok_or_else(|| IntentError::Unknown(ObjectRef::new(ObjectKind::DataCentre, name)))
}

fn take_out(cfg: &Configuration, name: &DataCentreId) -> Result<Configuration, IntentError> {
    let mut next = cfg.clone();
    let dc = find_data_centre(&mut next, name)?;
    if dc.state == DataCentreState::Out {
        let reason = format!("data centre {name} is out already");
        return Err(IntentError::NoChange(reason));
    }
    dc.state = DataCentreState::Out;
    dc.share = 0;
    Ok(next)
}

fn take_back(cfg: &Configuration, name: &DataCentreId) -> Result<Configuration, IntentError> {
    let mut next = cfg.clone();
    let dc = find_data_centre(&mut next, name)?;
    if dc.state != DataCentreState::Out {
        let reason = format!("data centre {name} is {} already", dc.state);
        return Err(IntentError::NoChange(reason));
    }
    dc.state = DataCentreState::Returning;
    dc.share = RAMP[0];
    Ok(next)
}

fn replace_all(
    cfg: &Configuration,
    services: &[Value],
    backends: &[Value],
    data_centres: &[Value],
) -> Result<Configuration, IntentError> {
    let mut faults = Vec::new();
    let keep_backend = |object: &mut Value| {
        let found = cfg
            .backends
            .iter()
            .find(|b| is_called(object, b.name.as_str()));
        if let Some(found) = found {
            keep(object, "state", &found.state);
        }
    };
    let keep_data_centre = |object: &mut Value| {
        let found = cfg
            .data_centres
            .iter()
            .find(|d| is_called(object, d.name.as_str()));
        if let Some(found) = found {
            keep(object, "state", &found.state);
            keep(object, "share", &found.share);
        }
    };
    let mut next = Configuration {
        generation: cfg.generation,
        services: decode(services, ObjectKind::Service, |_| {}, &mut faults),
        backends: decode(backends, ObjectKind::Backend, keep_backend, &mut faults),
        data_centres: decode(
            data_centres,
            ObjectKind::DataCentre,
            keep_data_centre,
            &mut faults,
        ),
    };
    sort(&mut next);
    check_states(cfg, &next, &mut faults);
    if faults.is_empty() {
        return Ok(next);
    }
    // The faults that only show together are reported with the others.
    faults.extend(validate(&next));
    Err(IntentError::Faults(faults))
}

/// A file takes no data centre out and returns none: that is for the intents
/// whose plans show what follows.
fn check_states(old: &Configuration, new: &Configuration, faults: &mut Vec<Fault>) {
    for dc in &new.data_centres {
        let (state, share) = old
            .data_centre(&dc.name)
            .map_or((DataCentreState::In, 100), |d| (d.state, d.share));
        if (state, share) != (dc.state, dc.share) {
            faults.push(Fault {
                object: ObjectRef::new(ObjectKind::DataCentre, &dc.name),
                field: "state".to_owned(),
                value: format!("{} at {}%", dc.state, dc.share),
                remedy: "leave state and share out; use `plan out` or `plan return`".to_owned(),
            });
        }
    }
}

fn decode<T: DeserializeOwned>(
    list: &[Value],
    kind: ObjectKind,
    fill_in: impl Fn(&mut Value),
    faults: &mut Vec<Fault>,
) -> Vec<T> {
    let mut sound = Vec::with_capacity(list.len());
    for value in list {
        let mut value = value.clone();
        fill_in(&mut value);
        let name = value.get("name").and_then(Value::as_str).unwrap_or("");
        let object = ObjectRef::new(kind, name);
        match serde_json::from_value(value) {
            Ok(read) => sound.push(read),
            Err(e) => faults.push(Fault {
                object,
                field: "object".to_owned(),
                value: e.to_string(),
                remedy: "mend the field".to_owned(),
            }),
        }
    }
    sound
}

fn is_called(object: &Value, name: &str) -> bool {
    object.get("name").and_then(Value::as_str) == Some(name)
}

/// Gives `object` the `field` that it leaves out.
fn keep(object: &mut Value, field: &str, in_force: &impl Serialize) {
    let Some(fields) = object.as_object_mut() else {
        return;
    };
    if !fields.contains_key(field) {
        let value = serde_json::to_value(in_force).unwrap_or_default();
        fields.insert(field.to_owned(), value);
    }
}
