//! What a case writes to `record.txt`: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(directory: &Path) -> Self {
        let file = File::create(directory.join("record.txt")).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.write(text);
        let _ = std::io::stdout().write_all(format!("{text}\n").as_bytes());
    }
}
