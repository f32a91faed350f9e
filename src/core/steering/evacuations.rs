//! Evacuated data centres.

use hashbrown::HashMap;

use super::{
    position::{
        EraView,
        RESTORE_GRACE, //
    },
    store::{
        Change,
        Object,
        Position,
        Value, //
    },
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

/// Time that operators have after a restore to remove an evacuation again that had
/// ended. They may also have written it again, which changes nothing in the store
/// and must be followed all the same: the time is shorter than that within which an
/// evacuation has to take effect.
const DOUBT_TIME: Millis = Millis::from_secs(3);

/// Evacuated data centres and those that recently returned.
#[derive(Debug, Default)]
pub struct Evacuations {
    evacuated: HashMap<DataCentreId, Position>,
    returned: HashMap<DataCentreId, Returned>,
    /// Evacuations that a restored store does not list, with the time until
    /// which operators may write them again.
    ///
    /// Invariant: each is in `evacuated`.
    not_restored: HashMap<DataCentreId, Time>,
    /// Evacuations that ended and that a restored store lists again, with the
    /// time from which they are believed.
    ///
    /// Invariant: none is in `evacuated`.
    doubted: HashMap<DataCentreId, (Position, Time)>,
    /// Changes since the last call of [`Evacuations::take_changes`].
    changes: Vec<EvacuationChange>,
}

/// What happened to the evacuation of a data centre at this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationStep {
    /// It is in force.
    Begun,
    /// It is no longer in force.
    Ended,
    /// It had ended, and a restored store lists it again.
    Doubted,
}

/// A change of an evacuation at this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationChange {
    /// Evacuated data centre.
    pub data_centre: DataCentreId,
    /// What happened.
    pub step: EvacuationStep,
    /// Position of the evacuation in the history of the store.
    pub position: Position,
}

/// The end of an evacuation.
#[derive(Clone, Copy, Debug)]
struct Returned {
    at: Time,
    /// Position of the evacuation that ended.
    evacuated: Position,
}

impl Evacuations {
    /// Replaces the evacuated data centres with the full list as of `position`.
    pub fn replace(&mut self, objects: &[Object], position: Position, era: EraView, now: Time) {
        let listed: HashMap<DataCentreId, Position> = objects
            .iter()
            .filter_map(|o| Some((evacuated_data_centre(o)?, o.position)))
            .collect();
        let is_unlisted = |(data_centre, since): &(&DataCentreId, &Position)| {
            **since <= position && !listed.contains_key(*data_centre)
        };
        let unlisted: Vec<(DataCentreId, Position)> = self
            .evacuated
            .iter()
            .filter(is_unlisted)
            .map(|(data_centre, since)| (data_centre.clone(), *since))
            .collect();
        for (data_centre, since) in unlisted {
            if since.era < position.era {
                // The copy that the store was restored from may be older.
                self.not_restored
                    .entry(data_centre)
                    .or_insert(now + RESTORE_GRACE);
            } else if !self.not_restored.contains_key(&data_centre) {
                self.end_evacuation(&data_centre, now);
            }
        }
        self.doubted.retain(|d, _| listed.contains_key(d));
        for (data_centre, at) in listed {
            if at.era == position.era {
                self.not_restored.remove(&data_centre);
            } else {
                // Another VM holds it although the store lost it.
                self.not_restored
                    .entry(data_centre.clone())
                    .or_insert(now + RESTORE_GRACE);
            }
            self.begin_evacuation(data_centre, at, era, now);
        }
    }

    /// Applies one change that the store made.
    pub fn change(&mut self, change: &Change, era: EraView, now: Time) {
        let data_centre = DataCentreId::new(&change.object.name);
        let position = change.object.position;
        if !change.removed {
            self.not_restored.remove(&data_centre);
            self.begin_evacuation(data_centre, position, era, now);
            return;
        }
        self.doubted.remove(&data_centre);
        let known = self.evacuated.get(&data_centre);
        if known.is_some_and(|k| *k <= position) {
            self.end_evacuation(&data_centre, now);
        }
    }

    fn begin_evacuation(
        &mut self,
        data_centre: DataCentreId,
        position: Position,
        era: EraView,
        now: Time,
    ) {
        let known = self.evacuated.get(&data_centre);
        if known.is_some_and(|k| *k >= position) {
            return;
        }
        let doubted_until = era.learned_at + DOUBT_TIME;
        let is_doubted = now < doubted_until
            && known.is_none()
            && self.may_have_ended(&data_centre, position, era);
        if !is_doubted {
            self.doubted.remove(&data_centre);
            self.follow(data_centre, position);
            return;
        }
        if !self.doubted.contains_key(&data_centre) {
            self.record(&data_centre, EvacuationStep::Doubted, position);
        }
        self.doubted.insert(data_centre, (position, doubted_until));
    }

    /// Returns whether an evacuation at `position` may be one that ended before the
    /// store was restored. A copy keeps revisions, so one with another revision is
    /// another evacuation; one with the same revision need not be the same.
    fn may_have_ended(&self, data_centre: &DataCentreId, position: Position, era: EraView) -> bool {
        let Some(returned) = self.returned.get(data_centre) else {
            return false;
        };
        let ended = returned.evacuated;
        ended.era < position.era
            && ended.revision == position.revision
            && era.may_be_copied(position)
    }

    /// Puts an evacuation in force.
    fn follow(&mut self, data_centre: DataCentreId, position: Position) {
        if !self.evacuated.contains_key(&data_centre) {
            self.record(&data_centre, EvacuationStep::Begun, position);
        }
        self.evacuated.insert(data_centre, position);
    }

    fn end_evacuation(&mut self, data_centre: &DataCentreId, now: Time) {
        self.not_restored.remove(data_centre);
        let Some(evacuated) = self.evacuated.remove(data_centre) else {
            return;
        };
        self.record(data_centre, EvacuationStep::Ended, evacuated);
        let returned = Returned { at: now, evacuated };
        self.returned.insert(data_centre.clone(), returned);
    }

    /// Believes a restored store where operators had the time to write what it
    /// lost.
    pub fn tick(&mut self, now: Time) {
        let is_due = |until: &Time| now >= *until;
        let lost: Vec<DataCentreId> = self
            .not_restored
            .iter()
            .filter(|(_, until)| is_due(until))
            .map(|(data_centre, _)| data_centre.clone())
            .collect();
        for data_centre in lost {
            self.end_evacuation(&data_centre, now);
        }
        let believed: Vec<(DataCentreId, Position)> = self
            .doubted
            .extract_if(|_, (_, until)| is_due(until))
            .map(|(data_centre, (position, _))| (data_centre, position))
            .collect();
        for (data_centre, position) in believed {
            self.follow(data_centre, position);
        }
    }

    /// Takes the changes since the last call, for the log.
    pub fn take_changes(&mut self) -> Vec<EvacuationChange> {
        std::mem::take(&mut self.changes)
    }

    fn record(&mut self, data_centre: &DataCentreId, step: EvacuationStep, position: Position) {
        self.changes.push(EvacuationChange {
            data_centre: data_centre.clone(),
            step,
            position,
        });
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &DataCentreId) -> bool {
        self.evacuated.contains_key(data_centre)
    }

    /// Returns whether a data centre recently returned.
    pub fn is_returning(&self, data_centre: &DataCentreId, now: Time) -> bool {
        self.returned
            .get(data_centre)
            .is_some_and(|r| now.since(r.at) < RETURN_COLD_TIME)
    }

    /// Exports the evacuated data centres as objects for another VM.
    pub fn export(&self) -> Vec<Object> {
        let object = |(data_centre, position): (&DataCentreId, &Position)| Object {
            name: data_centre.as_str().to_owned(),
            position: *position,
            value: Some(Value::Evacuation(data_centre.clone())),
        };
        let doubted = self.doubted.iter().map(|(d, (position, _))| (d, position));
        self.evacuated.iter().chain(doubted).map(object).collect()
    }
}

fn evacuated_data_centre(object: &Object) -> Option<DataCentreId> {
    match &object.value {
        Some(Value::Evacuation(data_centre)) => Some(data_centre.clone()),
        _ => None,
    }
}
