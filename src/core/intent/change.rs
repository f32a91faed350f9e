//! Operators' intents and the configurations that result from them.

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
        ramp::RAMP_SHARES,
        record::sort_objects,
        validation::{
            FieldError,
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

/// A change that an operator requests.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "lowercase", deny_unknown_fields)]
pub enum Intent {
    /// Stops new work for a backend server.
    #[display("drain {backend}")]
    Drain {
        /// The backend server.
        backend: BackendId,
    },
    /// Resumes new work for a draining backend server.
    #[display("undrain {backend}")]
    Undrain {
        /// The backend server.
        backend: BackendId,
    },
    /// Takes a data centre out: it receives no packets, and flows to its
    /// backend servers are abandoned.
    #[display("out {data_centre}")]
    Out {
        /// The data centre.
        data_centre: DataCentreId,
    },
    /// Returns a data centre with a share of new work that grows step by step.
    #[display("return {data_centre}")]
    Return {
        /// The data centre.
        data_centre: DataCentreId,
    },
    /// Replaces all objects. An object without `state` keeps its state in
    /// force.
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

/// The reason why an intent cannot be planned.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq, Serialize)]
pub enum IntentError {
    /// The intent names an object that does not exist.
    #[display("there is no {_0}; see `dragonflytrack services` for the names")]
    #[error(ignore)]
    Unknown(ObjectRef),
    /// The intent would change nothing.
    #[display("nothing to do: {_0}")]
    #[error(ignore)]
    NoChange(String),
    /// Objects are invalid. Every invalid field is listed.
    #[display("{} objects make no sense; mend every field that is listed", _0.len())]
    #[error(ignore)]
    Invalid(Vec<FieldError>),
}

impl IntentError {
    /// Returns the invalid fields.
    pub fn field_errors(&self) -> &[FieldError] {
        match self {
            IntentError::Invalid(errors) => errors,
            IntentError::Unknown(_) | IntentError::NoChange(_) => &[],
        }
    }
}

impl Intent {
    /// Applies the intent to `cfg` and returns the result under the same
    /// generation.
    ///
    /// # Errors
    ///
    /// Fails if the intent names unknown objects, changes nothing, or results
    /// in invalid objects.
    pub fn apply_to(&self, cfg: &Configuration) -> Result<Configuration, IntentError> {
        let next = match self {
            Intent::Drain { backend } => set_backend_state(cfg, backend, BackendState::Draining)?,
            Intent::Undrain { backend } => set_backend_state(cfg, backend, BackendState::Active)?,
            Intent::Out { data_centre } => set_out(cfg, data_centre)?,
            Intent::Return { data_centre } => set_returning(cfg, data_centre)?,
            Intent::Apply {
                services,
                backends,
                data_centres,
            } => replace_all(cfg, services, backends, data_centres)?,
        };
        let errors = validate(&next);
        if !errors.is_empty() {
            return Err(IntentError::Invalid(errors));
        }
        if next == *cfg {
            let reason = "the objects are in force as they are";
            return Err(IntentError::NoChange(reason.to_owned()));
        }
        Ok(next)
    }
}

fn set_backend_state(
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

fn set_out(cfg: &Configuration, name: &DataCentreId) -> Result<Configuration, IntentError> {
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

fn set_returning(cfg: &Configuration, name: &DataCentreId) -> Result<Configuration, IntentError> {
    let mut next = cfg.clone();
    let dc = find_data_centre(&mut next, name)?;
    if dc.state != DataCentreState::Out {
        let reason = format!("data centre {name} is {} already", dc.state);
        return Err(IntentError::NoChange(reason));
    }
    dc.state = DataCentreState::Returning;
    dc.share = RAMP_SHARES[0];
    Ok(next)
}

fn replace_all(
    cfg: &Configuration,
    services: &[Value],
    backends: &[Value],
    data_centres: &[Value],
) -> Result<Configuration, IntentError> {
    let mut errors = Vec::new();
    let fill_backend = |object: &mut Value| {
        let found = cfg
            .backends
            .iter()
            .find(|b| has_name(object, b.name.as_str()));
        if let Some(found) = found {
            set_default(object, "state", &found.state);
        }
    };
    let fill_data_centre = |object: &mut Value| {
        let found = cfg
            .data_centres
            .iter()
            .find(|d| has_name(object, d.name.as_str()));
        if let Some(found) = found {
            set_default(object, "state", &found.state);
            set_default(object, "share", &found.share);
        }
    };
    let mut next = Configuration {
        generation: cfg.generation,
        services: decode(services, ObjectKind::Service, |_| {}, &mut errors),
        backends: decode(backends, ObjectKind::Backend, fill_backend, &mut errors),
        data_centres: decode(
            data_centres,
            ObjectKind::DataCentre,
            fill_data_centre,
            &mut errors,
        ),
    };
    sort_objects(&mut next);
    reject_state_changes(cfg, &next, &mut errors);
    if errors.is_empty() {
        return Ok(next);
    }
    // Reports errors across objects together with those of single objects.
    errors.extend(validate(&next));
    Err(IntentError::Invalid(errors))
}

/// Rejects changes to the state of a data centre. They need the intents `Out`
/// and `Return`, whose plans show the consequences.
fn reject_state_changes(old: &Configuration, new: &Configuration, errors: &mut Vec<FieldError>) {
    for dc in &new.data_centres {
        let (state, share) = old
            .data_centre(&dc.name)
            .map_or((DataCentreState::In, 100), |d| (d.state, d.share));
        if (state, share) != (dc.state, dc.share) {
            errors.push(FieldError {
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
    set_defaults: impl Fn(&mut Value),
    errors: &mut Vec<FieldError>,
) -> Vec<T> {
    let mut decoded = Vec::with_capacity(list.len());
    for value in list {
        let mut value = value.clone();
        set_defaults(&mut value);
        let name = value.get("name").and_then(Value::as_str).unwrap_or("");
        let object = ObjectRef::new(kind, name);
        match serde_json::from_value(value) {
            Ok(entry) => decoded.push(entry),
            Err(e) => errors.push(FieldError {
                object,
                field: "object".to_owned(),
                value: e.to_string(),
                remedy: "mend the field".to_owned(),
            }),
        }
    }
    decoded
}

fn has_name(object: &Value, name: &str) -> bool {
    object.get("name").and_then(Value::as_str) == Some(name)
}

/// Sets `field` of `object` to the value in force if `object` omits it.
fn set_default(object: &mut Value, field: &str, in_force: &impl Serialize) {
    let Some(fields) = object.as_object_mut() else {
        return;
    };
    if !fields.contains_key(field) {
        let value = serde_json::to_value(in_force).unwrap_or_default();
        fields.insert(field.to_owned(), value);
    }
}
