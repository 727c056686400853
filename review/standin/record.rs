//! The record of a case: what was sent, answered and run, with times from its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self(Arc::new(Inner { start: Instant::now(), file })))
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.0.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, who: &str, what: &str) {
        let mut file = self.0.file.lock().unwrap_or_else(|error| error.into_inner());
        // The verdict does not depend on the record.
        let _ = writeln!(file, "{:8.3} {who}: {what}", self.now());
    }
}
