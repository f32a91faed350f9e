//! Field-by-field comparison of two configurations.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

use crate::core::{
    configuration::Configuration,
    intent::validation::{
        ObjectKind,
        ObjectRef, //
    },
};

/// A field that a plan changes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The object.
    pub object: ObjectRef,
    /// The field, or `object` if the whole object is added or removed.
    pub field: String,
    /// The value in force, or `absent`.
    pub old: String,
    /// The planned value, or `absent`.
    pub new: String,
}

/// Returns every field in which `old` and `new` differ.
pub fn changes(old: &Configuration, new: &Configuration) -> Vec<Change> {
    let mut list = Vec::new();
    compare(
        &mut list,
        ObjectKind::DataCentre,
        &old.data_centres,
        &new.data_centres,
    );
    compare(&mut list, ObjectKind::Service, &old.services, &new.services);
    compare(&mut list, ObjectKind::Backend, &old.backends, &new.backends);
    list
}

/// The fields of the objects of one kind, by object name.
type Objects = BTreeMap<String, BTreeMap<String, Value>>;

fn fields_by_name<T: Serialize>(list: &[T]) -> Objects {
    let mut objects = Objects::new();
    for entry in list {
        let Ok(Value::Object(fields)) = serde_json::to_value(entry) else {
            continue;
        };
        let name = fields.get("name").and_then(Value::as_str).unwrap_or("");
        objects.insert(name.to_owned(), fields.into_iter().collect());
    }
    objects
}

fn compare<T: Serialize>(list: &mut Vec<Change>, kind: ObjectKind, old: &[T], new: &[T]) {
    let old = fields_by_name(old);
    let new = fields_by_name(new);
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let object = ObjectRef::new(kind, name);
        match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => compare_fields(list, &object, old, new),
            (Some(_), None) => list.push(whole_object(object, "present", "absent")),
            (None, _) => list.push(whole_object(object, "absent", "present")),
        }
    }
}

fn whole_object(object: ObjectRef, old: &str, new: &str) -> Change {
    Change {
        object,
        field: "object".to_owned(),
        old: old.to_owned(),
        new: new.to_owned(),
    }
}

fn compare_fields(
    list: &mut Vec<Change>,
    object: &ObjectRef,
    old: &BTreeMap<String, Value>,
    new: &BTreeMap<String, Value>,
) {
    for (field, value) in new {
        let before = old.get(field);
        if before == Some(value) {
            continue;
        }
        list.push(Change {
            object: object.clone(),
            field: field.clone(),
            old: before.map_or_else(|| "absent".to_owned(), value_text),
            new: value_text(value),
        });
    }
}

fn value_text(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}
