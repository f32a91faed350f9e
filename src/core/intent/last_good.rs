//! Replaces the invalid objects of a stored record by their last good versions.

use std::collections::BTreeSet;

use crate::core::{
    configuration::Configuration,
    intent::{
        record::{
            DecodedRecord,
            Record,
            RefusedObject,
            sort_objects, //
        },
        validation::{
            ObjectKind,
            ObjectRef,
            validate, //
        },
    },
};

/// A record whose objects are valid together.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct CorrectedRecord {
    /// The record, with the last good version of each refused object.
    pub(super) record: Record,
    /// The refused objects.
    pub(super) refused: Vec<RefusedObject>,
}

/// Refuses the invalid objects of `decoded` and replaces them by their versions
/// in `last_good`.
pub(super) fn correct_record(decoded: DecodedRecord, last_good: &Configuration) -> CorrectedRecord {
    let mut record = decoded.record;
    let mut refused = decoded.refused;
    let mut cfg = Configuration::clone(&record.cfg);
    let mut replaced = BTreeSet::new();
    for invalid in &refused {
        replace_object(&mut cfg, &invalid.object, last_good, &mut replaced);
    }
    loop {
        let errors = validate(&cfg);
        if errors.is_empty() {
            break;
        }
        let invalid: BTreeSet<_> = errors.iter().map(|e| e.object.clone()).collect();
        for object in invalid {
            replace_object(&mut cfg, &object, last_good, &mut replaced);
            let reasons: Vec<_> = errors
                .iter()
                .filter(|e| e.object == object)
                .map(|e| format!("{} = {}: {}", e.field, e.value, e.remedy))
                .collect();
            refused.push(RefusedObject {
                object,
                reason: reasons.join("; "),
            });
        }
    }
    record.cfg = cfg.into();
    CorrectedRecord { record, refused }
}

/// Replaces `object` by its last good version. An object that was replaced
/// before is removed instead, so that [`correct_record`] terminates.
fn replace_object(
    cfg: &mut Configuration,
    object: &ObjectRef,
    last_good: &Configuration,
    replaced: &mut BTreeSet<ObjectRef>,
) {
    let is_first = replaced.insert(object.clone());
    let name = object.name.as_str();
    match object.kind {
        ObjectKind::Service => {
            let mut good = last_good.services.iter();
            let good = good.find(|s| is_first && s.name.as_str() == name);
            replace_matching(&mut cfg.services, |s| s.name.as_str() == name, good);
        }
        ObjectKind::Backend => {
            let mut good = last_good.backends.iter();
            let good = good.find(|b| is_first && b.name.as_str() == name);
            replace_matching(&mut cfg.backends, |b| b.name.as_str() == name, good);
        }
        ObjectKind::DataCentre => {
            let mut good = last_good.data_centres.iter();
            let good = good.find(|d| is_first && d.name.as_str() == name);
            replace_matching(&mut cfg.data_centres, |d| d.name.as_str() == name, good);
        }
        ObjectKind::Record => {}
    }
    sort_objects(cfg);
}

fn replace_matching<T: Clone>(list: &mut Vec<T>, is_match: impl Fn(&T) -> bool, good: Option<&T>) {
    list.retain(|entry| !is_match(entry));
    list.extend(good.cloned());
}
