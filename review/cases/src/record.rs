//! Record of what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self { file: Mutex::new(File::create(path).expect("the record opens")), started: Instant::now() }
    }

    pub fn write(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {line}");
    }
}
