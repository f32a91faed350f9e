//! The record: the platform object that holds the configuration in force and
//! the plans that were confirmed last.

use std::{
    collections::BTreeSet,
    sync::Arc, //
};

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
use xxhash_rust::xxh3::xxh3_64;

use crate::core::{
    configuration::Configuration,
    intent::validation::{
        ObjectKind,
        ObjectRef, //
    },
    names::{
        Generation,
        PlanId, //
    },
};

/// How many confirmed plans a record lists at most.
pub const MAX_CONFIRMED: usize = 64;

/// The highest generation that is accepted, so that there is room for later
/// ones.
pub const MAX_GENERATION: Generation = Generation(1 << 40);

/// A plan that was confirmed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfirmedPlan {
    /// The plan.
    pub plan: PlanId,
    /// The generation that it created.
    pub generation: Generation,
}

/// An object that was refused, so that its last good version stays in force.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("{object}: {reason}")]
pub struct RefusedObject {
    /// The object.
    pub object: ObjectRef,
    /// The reason, with the remedy.
    pub reason: String,
}

/// The value that the platform stores under
/// [`CONFIGURATION_KEY`](super::CONFIGURATION_KEY).
///
/// Invariant: every record that a VM writes is conditional on the version that
/// it replaces and has a greater generation. So the records of one platform
/// form a chain, and no two of them share a generation.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The objects in force.
    pub cfg: Arc<Configuration>,
    /// The generation of the last decision by operators.
    ///
    /// Ramp steps raise the generation but not this number, so that they do
    /// not invalidate plans.
    ///
    /// Invariant: at most `cfg.generation`.
    pub decision: Generation,
    /// The last confirmed plans, oldest first.
    ///
    /// Invariant: at most [`MAX_CONFIRMED`].
    pub confirmed: Vec<ConfirmedPlan>,
    /// The generation since which `confirmed` is complete.
    ///
    /// A plan that is based on an earlier decision may have taken effect
    /// without still being listed.
    pub remembers_since: Generation,
    /// The objects that were refused when this record was written.
    pub refused: Vec<RefusedObject>,
}

/// The reason why a record as a whole could not be decoded.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RecordError {
    /// The value is not a JSON object.
    #[display("the record is no JSON object; write one with generation and lists")]
    NotAnObject,
    /// A field is missing or of another type.
    #[display("the record's {field} makes no sense: {reason}; mend the field")]
    Field {
        /// The field.
        field: &'static str,
        /// The reason.
        reason: String,
    },
}

/// A decoded record whose objects have not been validated together.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedRecord {
    /// The objects that could be decoded, and the rest of the record.
    pub record: Record,
    /// The objects that could not be decoded.
    pub refused: Vec<RefusedObject>,
}

impl Record {
    /// Returns the generation of the record.
    pub fn generation(&self) -> Generation {
        self.cfg.generation
    }

    /// Returns a hash of the content that is the same on every VM.
    pub fn digest(&self) -> u64 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        xxh3_64(&bytes)
    }

    /// Returns the generation that `plan` created, if the record still lists
    /// the plan.
    pub fn confirmed_generation(&self, plan: &PlanId) -> Option<Generation> {
        let found = self.confirmed.iter().find(|c| c.plan == *plan)?;
        Some(found.generation)
    }

    /// Returns the next record, with `cfg` in force because operators confirmed
    /// `plan`.
    pub fn confirm(&self, cfg: Configuration, plan: &PlanId) -> Record {
        let mut next = self.successor(cfg);
        next.decision = next.generation();
        if next.confirmed.len() >= MAX_CONFIRMED {
            next.remembers_since = next.confirmed.remove(0).generation;
        }
        next.confirmed.push(ConfirmedPlan {
            plan: plan.clone(),
            generation: next.generation(),
        });
        next.refused.clear();
        next
    }

    /// Returns the next record, with `cfg` in force without a new decision of
    /// operators.
    pub fn successor(&self, mut cfg: Configuration) -> Record {
        cfg.generation = Generation(self.generation().0 + 1);
        sort_objects(&mut cfg);
        Record {
            cfg: Arc::new(cfg),
            ..self.clone()
        }
    }

    /// Encodes the record as the platform stores it: the fields of the
    /// configuration and those of the record in one JSON object.
    pub fn to_value(&self) -> Value {
        let mut value = serde_json::to_value(&*self.cfg).unwrap_or_default();
        let Some(fields) = value.as_object_mut() else {
            return value;
        };
        let decision = serde_json::json!(self.decision);
        let confirmed = serde_json::json!(self.confirmed);
        let refused = serde_json::json!(self.refused);
        fields.insert("decision".to_owned(), decision);
        fields.insert("confirmed".to_owned(), confirmed);
        fields.insert("refused".to_owned(), refused);
        let remembers_since = serde_json::json!(self.remembers_since);
        fields.insert("remembers_since".to_owned(), remembers_since);
        value
    }

    /// Decodes a record as the platform stores it. A bare configuration counts
    /// as a decision of operators without a plan.
    ///
    /// # Errors
    ///
    /// Fails if the record as a whole cannot be decoded. Single objects that
    /// cannot be decoded are returned as refused.
    pub fn from_value(value: &Value) -> Result<DecodedRecord, RecordError> {
        let fields = value.as_object().ok_or(RecordError::NotAnObject)?;
        let generation = field(fields, "generation")?.unwrap_or_default();
        if generation == Generation::default() {
            return Err(RecordError::Field {
                field: "generation",
                reason: "it is missing or 0".to_owned(),
            });
        }
        if generation > MAX_GENERATION {
            return Err(RecordError::Field {
                field: "generation",
                reason: format!("{generation} is above {MAX_GENERATION}"),
            });
        }
        let mut refused = Vec::new();
        let mut cfg = Configuration {
            generation,
            services: objects(fields, "services", ObjectKind::Service, &mut refused)?,
            backends: objects(fields, "backends", ObjectKind::Backend, &mut refused)?,
            data_centres: objects(fields, "data_centres", ObjectKind::DataCentre, &mut refused)?,
        };
        sort_objects(&mut cfg);
        let record = Record {
            cfg: Arc::new(cfg),
            decision: field(fields, "decision")?
                .map_or(generation, |d: Generation| d.min(generation)),
            confirmed: field(fields, "confirmed")?.unwrap_or_default(),
            remembers_since: field(fields, "remembers_since")?.unwrap_or(generation),
            refused: field(fields, "refused")?.unwrap_or_default(),
        };
        Ok(DecodedRecord { record, refused })
    }
}

/// Sorts the objects by name, as [`Configuration`] requires.
pub(super) fn sort_objects(cfg: &mut Configuration) {
    cfg.services.sort_by(|a, b| a.name.cmp(&b.name));
    cfg.backends.sort_by(|a, b| a.name.cmp(&b.name));
    cfg.data_centres.sort_by(|a, b| a.name.cmp(&b.name));
}

type Fields = serde_json::Map<String, Value>;

fn field<T: DeserializeOwned>(
    fields: &Fields,
    name: &'static str,
) -> Result<Option<T>, RecordError> {
    let Some(value) = fields.get(name) else {
        return Ok(None);
    };
    let entry = T::deserialize(value).map_err(|e| RecordError::Field {
        field: name,
        reason: e.to_string(),
    })?;
    Ok(Some(entry))
}

fn objects<T: DeserializeOwned>(
    fields: &Fields,
    name: &'static str,
    kind: ObjectKind,
    refused: &mut Vec<RefusedObject>,
) -> Result<Vec<T>, RecordError> {
    let list = fields.get(name).and_then(Value::as_array);
    let list = list.ok_or_else(|| RecordError::Field {
        field: name,
        reason: "it is no list".to_owned(),
    })?;
    let mut names = BTreeSet::new();
    let mut decoded = Vec::with_capacity(list.len());
    for value in list {
        let object = ObjectRef::new(kind, object_name(value));
        match T::deserialize(value) {
            Ok(_) if !names.insert(object.name.clone()) => refused.push(RefusedObject {
                object,
                reason: "name: another object has it already; give another".to_owned(),
            }),
            Ok(entry) => decoded.push(entry),
            Err(e) => refused.push(RefusedObject {
                object,
                reason: format!("{e}; mend the field"),
            }),
        }
    }
    Ok(decoded)
}

fn object_name(value: &Value) -> &str {
    value.get("name").and_then(Value::as_str).unwrap_or("")
}
