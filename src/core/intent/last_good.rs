//! Replaces the bad objects of a stored record by their last good versions.

use std::collections::BTreeSet;

use crate::core::{
    configuration::Configuration,
    intent::{
        record::{
            Decoded,
            Record,
            RefusedObject,
            sort, //
        },
        validation::{
            ObjectKind,
            ObjectRef,
            validate, //
        },
    },
};

/// A record whose objects make sense together.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Mended {
    /// The record, with the last good version of each refused object.
    pub(super) record: Record,
    /// The refused objects.
    pub(super) refused: Vec<RefusedObject>,
}

/// Refuses the bad objects of `decoded` and puts those of `last_good` in
/// their place.
pub(super) fn mend(decoded: Decoded, last_good: &Configuration) -> Mended {
    let mut record = decoded.record;
    let mut refused = decoded.refused;
    let mut cfg = Configuration::clone(&record.cfg);
    let mut replaced = BTreeSet::new();
    for bad in &refused {
        replace(&mut cfg, &bad.object, last_good, &mut replaced);
    }
    loop {
        let faults = validate(&cfg);
        if faults.is_empty() {
            break;
        }
        let bad: BTreeSet<_> = faults.iter().map(|f| f.object.clone()).collect();
        for object in bad {
            replace(&mut cfg, &object, last_good, &mut replaced);
            let reasons: Vec<_> = faults
                .iter()
                .filter(|f| f.object == object)
                .map(|f| format!("{} = {}: {}", f.field, f.value, f.remedy))
                .collect();
            refused.push(RefusedObject {
                object,
                reason: reasons.join("; "),
            });
        }
    }
    record.cfg = cfg.into();
    Mended { record, refused }
}

/// Replaces `object` by its last good version. One that has been replaced
/// already is removed, so that [`mend`] comes to an end.
fn replace(
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
            swap(&mut cfg.services, |s| s.name.as_str() == name, good);
        }
        ObjectKind::Backend => {
            let mut good = last_good.backends.iter();
            let good = good.find(|b| is_first && b.name.as_str() == name);
            swap(&mut cfg.backends, |b| b.name.as_str() == name, good);
        }
        ObjectKind::DataCentre => {
            let mut good = last_good.data_centres.iter();
            let good = good.find(|d| is_first && d.name.as_str() == name);
            swap(&mut cfg.data_centres, |d| d.name.as_str() == name, good);
        }
        ObjectKind::Record => {}
    }
    sort(cfg);
}

fn swap<T: Clone>(list: &mut Vec<T>, is_it: impl Fn(&T) -> bool, good: Option<&T>) {
    list.retain(|entry| !is_it(entry));
    list.extend(good.cloned());
}
