//! The data centres that operators took out.

use hashbrown::HashMap;

use super::store::{
    Change,
    Object,
    Revision,
    Value, //
};
use crate::{
    core::names::DataCentreId,
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How long a data centre that was returned counts as cold. Its backend servers
/// may have started again while it was out, and their objects may be read later
/// than the return.
const RETURN_HOLD: Millis = Millis(2_500);

/// The data centres that are out, and those that came back of late.
#[derive(Debug, Default)]
pub struct Evacuations {
    out: HashMap<DataCentreId, Revision>,
    returned: HashMap<DataCentreId, Time>,
}

impl Evacuations {
    /// Takes in the data centres that are out as of `revision`.
    pub fn replace(&mut self, objects: &[Object], revision: Revision, now: Time) {
        let out: HashMap<DataCentreId, Revision> = objects
            .iter()
            .filter_map(|o| Some((place_of(o)?, o.revision)))
            .collect();
        let back: Vec<DataCentreId> = self
            .out
            .iter()
            .filter(|(place, since)| **since <= revision && !out.contains_key(*place))
            .map(|(place, _)| place.clone())
            .collect();
        for place in back {
            self.put_back(&place, now);
        }
        self.out.extend(out);
    }

    /// Takes in one change.
    pub fn change(&mut self, change: &Change, now: Time) {
        let place = DataCentreId::new(&change.object.name);
        let known = self.out.get(&place).copied();
        let revision = change.object.revision;
        if !change.removed {
            if known.is_none_or(|k| k < revision) {
                self.out.insert(place, revision);
            }
        } else if known.is_some_and(|k| k <= revision) {
            self.put_back(&place, now);
        }
    }

    fn put_back(&mut self, place: &DataCentreId, now: Time) {
        self.out.remove(place);
        self.returned.insert(place.clone(), now);
    }

    /// Tells whether a data centre is out.
    pub fn is_out(&self, place: &DataCentreId) -> bool {
        self.out.contains_key(place)
    }

    /// Tells whether a data centre has just come back.
    pub fn is_returning(&self, place: &DataCentreId, now: Time) -> bool {
        self.returned
            .get(place)
            .is_some_and(|at| now.since(*at) < RETURN_HOLD)
    }

    /// Returns the data centres that are out as objects, for another VM.
    pub fn export(&self) -> Vec<Object> {
        let object = |(place, revision): (&DataCentreId, &Revision)| Object {
            name: place.as_str().to_owned(),
            revision: *revision,
            value: Some(Value::Evacuation(place.clone())),
        };
        self.out.iter().map(object).collect()
    }
}

fn place_of(object: &Object) -> Option<DataCentreId> {
    match &object.value {
        Some(Value::Evacuation(place)) => Some(place.clone()),
        _ => None,
    }
}
