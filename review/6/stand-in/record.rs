//! The record of a run: what was sent, answered and run, with the time in milliseconds.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn open() -> Record {
        Record {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: &str) {
        let line = format!("{:>7} {text}", self.now());
        self.lines.lock().unwrap().push(line);
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) {
        self.add(text);
        println!("{:>7} {text}", self.now());
    }

    pub fn text(&self) -> String {
        self.lines.lock().unwrap().join("\n") + "\n"
    }
}
