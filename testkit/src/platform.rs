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
pub enum Weather {
    /// Calls are answered at once.
    #[default]
    Fair,
    /// Calls are answered after a delay.
    Slow(Millis),
    /// Calls have no effect and no answer.
    Down,
    /// Calls take effect and their answers are lost.
    AnswersLost,
}

/// The platform.
#[derive(Clone, Debug, Default)]
pub struct FakePlatform {
    /// How it behaves now.
    pub weather: Weather,
    /// How many calls it has had, watches counted once.
    pub calls: u64,
    last_version: u64,
    objects: BTreeMap<String, StoredObject>,
}

impl FakePlatform {
    /// Returns the object called `key`.
    pub fn object(&self, key: &str) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// Writes an object, whatever its version.
    pub fn force(&mut self, key: &str, value: serde_json::Value) -> StoredObject {
        self.last_version += 1;
        let object = StoredObject {
            version: self.last_version,
            value,
        };
        self.objects.insert(key.to_owned(), object.clone());
        object
    }

    /// Carries out `op` and returns its outcome. A watch that would wait
    /// returns `None`.
    pub fn carry_out(&mut self, op: &PlatformOp) -> Option<PlatformOutcome> {
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

    fn read(&self, key: &str) -> PlatformOutcome {
        match self.objects.get(key) {
            Some(object) => PlatformOutcome::Object(object.clone()),
            None => PlatformOutcome::Absent,
        }
    }

    fn write(&mut self, key: &str, version: u64, value: serde_json::Value) -> PlatformOutcome {
        let current = self.objects.get(key).map_or(0, |o| o.version);
        if current != version {
            return PlatformOutcome::Conflict;
        }
        PlatformOutcome::Object(self.force(key, value))
    }
}
