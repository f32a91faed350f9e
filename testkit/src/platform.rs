//! The platform's object API: versions, conditional writes and outages.

use std::collections::BTreeMap;

use dragonflytrack::{
    core::intent::{
        PlatformOp,
        PlatformOutcome,
        StoredObject, //
    },
    kernel::clock::Millis,
};

/// How the platform behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformMode {
    /// Calls are answered at once.
    #[default]
    Normal,
    /// Calls are answered after a delay.
    Slow(Millis),
    /// Calls have no effect and no answer.
    Down,
    /// Calls take effect and their answers are lost.
    AnswersLost,
    /// The next write takes effect without an answer; then it is down.
    DownAfterWrite,
}

/// A write that took effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The object.
    pub key: String,
    /// The version that the write rested on.
    pub base: u64,
    /// The object as it was written.
    pub object: StoredObject,
}

/// The platform.
#[derive(Clone, Debug, Default)]
pub struct FakePlatform {
    /// How it behaves now.
    pub mode: PlatformMode,
    /// How many calls it has had, watches counted once.
    pub calls: u64,
    /// All conditional writes that took effect, in order.
    pub writes: Vec<Write>,
    /// Whether reads may be answered from what [`FakePlatform::serve_stale_reads`]
    /// kept.
    stale: Option<BTreeMap<String, StoredObject>>,
    reads: u64,
    last_version: u64,
    objects: BTreeMap<String, StoredObject>,
}

impl FakePlatform {
    /// Returns the object called `key`.
    pub fn object(&self, key: &str) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// Writes an object, whatever its version.
    pub fn overwrite(&mut self, key: &str, value: serde_json::Value) -> StoredObject {
        self.last_version += 1;
        let object = StoredObject {
            version: self.last_version,
            value,
        };
        self.objects.insert(key.to_owned(), object.clone());
        object
    }

    /// From now on two of three reads show the objects as they are now.
    pub fn serve_stale_reads(&mut self) {
        self.stale = Some(self.objects.clone());
    }

    /// From now on all reads are up to date.
    pub fn serve_current_reads(&mut self) {
        self.stale = None;
    }

    /// Forgets every object, as a platform restored from nothing.
    pub fn clear(&mut self) {
        self.objects.clear();
    }

    /// Tells whether the answer to `op`, which took effect, is lost.
    pub fn loses_answer(&mut self, op: &PlatformOp) -> bool {
        let is_write = matches!(op, PlatformOp::Put { .. });
        if self.mode == PlatformMode::DownAfterWrite && is_write {
            self.mode = PlatformMode::Down;
        }
        matches!(self.mode, PlatformMode::AnswersLost | PlatformMode::Down)
    }

    /// Carries out `op` and returns its outcome. A watch that would wait
    /// returns `None`.
    pub fn execute(&mut self, op: &PlatformOp) -> Option<PlatformOutcome> {
        match op {
            PlatformOp::Get { key } => Some(self.read(key)),
            PlatformOp::Put {
                key,
                version,
                value,
            } => Some(self.write(key, *version, value.clone())),
            PlatformOp::Watch { key, version, .. } => {
                let current = self.objects.get(key).map_or(0, |o| o.version);
                (current != *version).then(|| self.read(key))
            }
        }
    }

    fn read(&mut self, key: &str) -> PlatformOutcome {
        self.reads += 1;
        let objects = match &self.stale {
            Some(stale) if !self.reads.is_multiple_of(3) => stale,
            _ => &self.objects,
        };
        match objects.get(key) {
            Some(object) => PlatformOutcome::Object(object.clone()),
            None => PlatformOutcome::Absent,
        }
    }

    fn write(&mut self, key: &str, version: u64, value: serde_json::Value) -> PlatformOutcome {
        let current = self.objects.get(key).map_or(0, |o| o.version);
        if current != version {
            return PlatformOutcome::Conflict;
        }
        let object = self.overwrite(key, value);
        self.writes.push(Write {
            key: key.to_owned(),
            base: version,
            object: object.clone(),
        });
        PlatformOutcome::Object(object)
    }
}
