//! Log appender whose callers never wait for the output, because a thread of its own writes the lines.
//!
//! Lines beyond the [`LineBudget`] or the queue of the thread are left out and counted. A `log_lines_left_out` line
//! with the count comes before the next allowed line; when the queue has no room for it either, that count is lost.

use std::io::Write as _;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};

use log::{Level, Record};
use log4rs::append::Append;
use time::OffsetDateTime;

use crate::logs::EventEncoder;
use crate::logs::line_budget::LineBudget;
use crate::prelude::*;

/// Most lines queued for the writer thread; further lines are left out.
const MAX_QUEUED_LINES: usize = 1024;

/// Log appender to standard output that does not block.
#[derive(Debug)]
pub struct BoundedAppender {
    encoder: EventEncoder,
    queue: SyncSender<String>,
    budget: Mutex<LineBudget>,
}

impl BoundedAppender {
    /// Creates an appender that writes `host` into every line, and starts the writer thread.
    ///
    /// # Errors
    ///
    /// The operating system cannot start the writer thread.
    pub fn start(host: &str) -> std::io::Result<Self> {
        let (queue, receiver) = sync_channel(MAX_QUEUED_LINES);
        std::thread::Builder::new().name("logs".to_owned()).spawn(move || write_lines(&receiver))?;
        let budget = Mutex::new(LineBudget::new());
        Ok(Self { encoder: EventEncoder::new(host), queue, budget })
    }
}

fn write_lines(receiver: &Receiver<String>) {
    while let Ok(mut line) = receiver.recv() {
        line.push('\n');
        // An error is ignored: there is no other output to report a closed standard output on.
        let _ = std::io::stdout().lock().write_all(line.as_bytes());
    }
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let now = OffsetDateTime::now_utc();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if !budget.try_consume(record.level() <= Level::Warn, boot_time()) {
            return Ok(());
        }
        let left_out = budget.take_left_out();
        if left_out > 0 {
            let head = self.encoder.format_prefix(Level::Warn, "log_lines_left_out", now);
            if self.queue.try_send(format!("{head} count={left_out}")).is_err() {
                budget.record_left_out();
            }
        }
        if self.queue.try_send(self.encoder.format(record, now)).is_err() {
            budget.record_left_out();
        }
        Ok(())
    }

    fn flush(&self) {}
}
