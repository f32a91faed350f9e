//! A fake of the platform's object API with versions, conditional writes and
//! outages.

use std::collections::BTreeMap;

use dragonflytrack::{
    core::intent::{
        PlatformOp,
        PlatformOutcome,
        StoredObject, //
    },
    kernel::clock::Millis,
};

/// How the platform responds to calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformMode {
    /// Calls are answered immediately.
    #[default]
    Normal,
    /// Calls are answered after a delay.
    Slow(Millis),
    /// Calls have no effect and get no answer.
    Down,
    /// Calls take effect but their answers are lost.
    AnswersLost,
    /// The next write takes effect without an answer, and the mode becomes
    /// [`PlatformMode::Down`].
    DownAfterWrite,
}

/// A successful conditional write.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The key of the object.
    pub key: String,
    /// The version that the write replaced. Zero if there was no object.
    pub base: u64,
    /// The object after the write.
    pub object: StoredObject,
}

/// A fake platform.
#[derive(Clone, Debug, Default)]
pub struct FakePlatform {
    /// How it responds to calls now.
    pub mode: PlatformMode,
    /// The number of calls it has received. A watch counts once.
    pub calls: u64,
    /// All successful conditional writes, in order.
    pub writes: Vec<Write>,
    /// The objects that stale reads return.
    stale: Option<BTreeMap<String, StoredObject>>,
    reads: u64,
    last_version: u64,
    objects: BTreeMap<String, StoredObject>,
}

impl FakePlatform {
    /// Returns the object `key`.
    pub fn object(&self, key: &str) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// Writes an object regardless of its current version.
    pub fn overwrite(&mut self, key: &str, value: serde_json::Value) -> StoredObject {
        self.last_version += 1;
        let object = StoredObject {
            version: self.last_version,
            value,
        };
        self.objects.insert(key.to_owned(), object.clone());
        object
    }

    /// Makes two of three reads return the objects as of now, until
    /// [`FakePlatform::serve_current_reads`].
    pub fn serve_stale_reads(&mut self) {
        self.stale = Some(self.objects.clone());
    }

    /// Makes all reads return the current objects.
    pub fn serve_current_reads(&mut self) {
        self.stale = None;
    }

    /// Removes all objects, like a platform that lost its store. Versions go on
    /// rising.
    pub fn clear(&mut self) {
        self.objects.clear();
    }

    /// Returns whether the answer to the executed `op` is lost. After a write in
    /// [`PlatformMode::DownAfterWrite`] the platform is down.
    pub fn loses_answer(&mut self, op: &PlatformOp) -> bool {
        let is_write = matches!(op, PlatformOp::Put { .. });
        if self.mode == PlatformMode::DownAfterWrite && is_write {
            self.mode = PlatformMode::Down;
        }
        matches!(self.mode, PlatformMode::AnswersLost | PlatformMode::Down)
    }

    /// Executes `op` and returns its outcome, or `None` for a watch whose object
    /// has not changed.
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
