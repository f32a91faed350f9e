//! The platform's store in memory, with restores from a copy.

use std::collections::BTreeMap;

use dragonflytrack::core::steering::{
    peers::FleetRecord,
    store::{
        Change,
        Era,
        Kind,
        Object,
        Position,
        Revision,
        StoreAnswer,
        StoreCall,
        Value, //
    },
};

/// Number of objects on one page of a list.
const PAGE_SIZE: usize = 3;

/// An in-memory store.
#[derive(Debug, Default)]
pub struct FakeStore {
    /// Number of restores.
    era: u64,
    content: StoreContent,
}

/// Everything that a restore from a copy brings back.
#[derive(Clone, Debug, Default)]
pub struct StoreContent {
    revision: u64,
    objects: BTreeMap<(Kind, String), Object>,
    history: Vec<(u64, Kind, Change)>,
    /// Changes up to this revision were compacted.
    forgotten: u64,
    /// Registered records.
    records: Vec<FleetRecord>,
}

impl FakeStore {
    pub(super) fn position(&self) -> Position {
        Position::new(Era(self.era), Revision(self.content.revision))
    }

    /// Copies the content, for a later restore.
    pub fn copy(&self) -> StoreContent {
        self.content.clone()
    }

    /// Restores the content from a copy, which begins a new era.
    pub fn restore(&mut self, copy: StoreContent) {
        self.content = copy;
        self.era += 1;
        let era = Era(self.era);
        for object in self.content.objects.values_mut() {
            object.position.era = era;
        }
        for (_, _, change) in &mut self.content.history {
            change.object.position.era = era;
        }
    }

    /// Returns the number of restores.
    pub(super) fn era(&self) -> Era {
        Era(self.era)
    }

    /// Replaces the record of a data centre.
    pub(super) fn register(&mut self, record: &FleetRecord) {
        let data_centre = &record.contact.data_centre;
        let records = &mut self.content.records;
        records.retain(|r| r.contact.data_centre != *data_centre);
        records.push(record.clone());
    }

    /// Returns whether the store does not have a revision yet.
    fn is_ahead(&self, since: Position) -> bool {
        since.revision.0 > self.content.revision
    }

    /// Returns whether the store lists an object.
    pub fn lists(&self, kind: Kind, name: &str) -> bool {
        let key = (kind, name.to_owned());
        self.content.objects.contains_key(&key)
    }

    /// Writes an object and returns its revision. A write that changes nothing keeps
    /// the revision and makes no event.
    pub fn put(&mut self, kind: Kind, name: &str, value: Option<Value>) -> Position {
        let known = self.content.objects.get(&(kind, name.to_owned()));
        if let Some(known) = known.filter(|o| o.value == value) {
            return known.position;
        }
        self.content.revision += 1;
        let object = Object {
            name: name.to_owned(),
            position: self.position(),
            value,
        };
        self.content
            .objects
            .insert((kind, name.to_owned()), object.clone());
        self.record(kind, object, false);
        self.position()
    }

    /// Removes an object.
    pub fn remove(&mut self, kind: Kind, name: &str) {
        if let Some(mut object) = self.content.objects.remove(&(kind, name.to_owned())) {
            self.content.revision += 1;
            object.position = self.position();
            self.record(kind, object, true);
        }
    }

    /// Compacts the history, as a store may do at any time.
    pub fn compact(&mut self) {
        self.content.forgotten = self.content.revision;
        self.content.history.clear();
    }

    fn record(&mut self, kind: Kind, object: Object, removed: bool) {
        let change = Change { object, removed };
        self.content
            .history
            .push((self.content.revision, kind, change));
    }

    /// Answers a call, or returns `None` if a watch has to wait.
    pub(super) fn answer(&self, call: &StoreCall) -> Option<StoreAnswer> {
        let position = self.position();
        match call {
            StoreCall::List { kind, after, .. } => Some(self.page(*kind, after.as_deref())),
            StoreCall::Watch { since, .. } if self.is_ahead(*since) => {
                Some(StoreAnswer::HistoryGone)
            }
            StoreCall::Watch { since, .. } if since.revision.0 < self.content.forgotten => {
                Some(StoreAnswer::HistoryGone)
            }
            StoreCall::Watch { kind, since, .. } => {
                let changes: Vec<Change> = self
                    .content
                    .history
                    .iter()
                    .filter(|(changed_at, k, _)| *changed_at > since.revision.0 && k == kind)
                    .map(|(_, _, change)| change.clone())
                    .collect();
                (!changes.is_empty()).then_some(StoreAnswer::Changes { changes, position })
            }
            StoreCall::Lookup => Some(StoreAnswer::Records(self.content.records.clone())),
            StoreCall::Register { .. } => Some(StoreAnswer::Registered),
        }
    }

    fn page(&self, kind: Kind, after: Option<&str>) -> StoreAnswer {
        let all = self
            .content
            .objects
            .iter()
            .filter(|((k, name), _)| *k == kind && after.is_none_or(|a| name.as_str() > a))
            .map(|(_, object)| object.clone());
        let mut objects: Vec<Object> = all.collect();
        let has_more = objects.len() > PAGE_SIZE;
        objects.truncate(PAGE_SIZE);
        let last = objects.last().map(|o| o.name.clone());
        StoreAnswer::Page {
            objects,
            next: last.filter(|_| has_more),
            position: self.position(),
        }
    }
}
