//! The fields in which two configurations differ.

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
    /// The field, or `object` when the object appears or goes.
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

/// The fields of each object of one kind, by name.
type Objects = BTreeMap<String, BTreeMap<String, Value>>;

fn by_name<T: Serialize>(list: &[T]) -> Objects {
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
    let old = by_name(old);
    let new = by_name(new);
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let object = ObjectRef::new(kind, name);
        match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => compare_fields(list, &object, old, new),
            (Some(_), None) => list.push(whole(object, "present", "absent")),
            (None, _) => list.push(whole(object, "absent", "present")),
        }
    }
}

fn whole(object: ObjectRef, old: &str, new: &str) -> Change {
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
            old: before.map_or_else(|| "absent".to_owned(), text),
            new: text(value),
        });
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}
