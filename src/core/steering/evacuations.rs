//! Evacuated data centres.

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

/// Cold-start time of a data centre after its evacuation. Its backend servers
/// may have restarted meanwhile, and their objects may be read later than the
/// end of the evacuation.
const RETURN_COLD_TIME: Millis = Millis(2_500);

/// Evacuated data centres and those that recently returned.
#[derive(Debug, Default)]
pub struct Evacuations {
    evacuated: HashMap<DataCentreId, Revision>,
    returned_at: HashMap<DataCentreId, Time>,
}

impl Evacuations {
    /// Replaces the evacuated data centres with the full list as of `revision`.
    pub fn replace(&mut self, objects: &[Object], revision: Revision, now: Time) {
        let evacuated: HashMap<DataCentreId, Revision> = objects
            .iter()
            .filter_map(|o| Some((evacuated_data_centre(o)?, o.revision)))
            .collect();
        let ended: Vec<DataCentreId> = self
            .evacuated
            .iter()
            .filter(|(data_centre, since)| {
                **since <= revision && !evacuated.contains_key(*data_centre)
            })
            .map(|(data_centre, _)| data_centre.clone())
            .collect();
        for data_centre in ended {
            self.end_evacuation(&data_centre, now);
        }
        self.evacuated.extend(evacuated);
    }

    /// Applies one change.
    pub fn change(&mut self, change: &Change, now: Time) {
        let data_centre = DataCentreId::new(&change.object.name);
        let known = self.evacuated.get(&data_centre).copied();
        let revision = change.object.revision;
        if !change.removed {
            if known.is_none_or(|k| k < revision) {
                self.evacuated.insert(data_centre, revision);
            }
        } else if known.is_some_and(|k| k <= revision) {
            self.end_evacuation(&data_centre, now);
        }
    }

    fn end_evacuation(&mut self, data_centre: &DataCentreId, now: Time) {
        self.evacuated.remove(data_centre);
        self.returned_at.insert(data_centre.clone(), now);
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &DataCentreId) -> bool {
        self.evacuated.contains_key(data_centre)
    }

    /// Returns whether a data centre recently returned.
    pub fn is_returning(&self, data_centre: &DataCentreId, now: Time) -> bool {
        self.returned_at
            .get(data_centre)
            .is_some_and(|at| now.since(*at) < RETURN_COLD_TIME)
    }

    /// Exports the evacuated data centres as objects for another VM.
    pub fn export(&self) -> Vec<Object> {
        let object = |(data_centre, revision): (&DataCentreId, &Revision)| Object {
            name: data_centre.as_str().to_owned(),
            revision: *revision,
            value: Some(Value::Evacuation(data_centre.clone())),
        };
        self.evacuated.iter().map(object).collect()
    }
}

fn evacuated_data_centre(object: &Object) -> Option<DataCentreId> {
    match &object.value {
        Some(Value::Evacuation(data_centre)) => Some(data_centre.clone()),
        _ => None,
    }
}
