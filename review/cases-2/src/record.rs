//! `record.txt`: what was sent, answered and run, with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Record> {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Arc::new(Record { file: Mutex::new(file), started: Instant::now() })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
