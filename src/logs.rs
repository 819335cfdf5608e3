//! Log lines of events in key=value form, and the start of logging.
//!
//! The message of a log record is the name of the event; its key-value pairs follow in the order given. Event names
//! and values with spaces, quotes, equals signs or control characters are quoted, and so are empty ones, so that they
//! cannot break a line. The name of the host is written as it is.

pub mod bounded_appender;
pub mod line_budget;

use std::fmt::Write as _;

use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Record};
use log4rs::Config;
use log4rs::append::Append;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Root};
use log4rs::encode::{Encode, Write};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::logs::bounded_appender::BoundedAppender;

/// Encodes a record as one line of key=value pairs.
#[derive(Debug)]
pub struct EventEncoder {
    host: String,
}

impl EventEncoder {
    /// Creates an encoder that writes `host` into every line.
    #[must_use]
    pub fn new(host: &str) -> Self {
        Self { host: host.to_owned() }
    }

    /// Formats the start of a line: the time, the level, the host and the event.
    #[must_use]
    pub fn format_prefix(&self, level: Level, event: &str, now: OffsetDateTime) -> String {
        let mut line = String::with_capacity(160);
        let time = now.format(&Rfc3339).unwrap_or_default();
        let level = level.as_str().to_ascii_lowercase();
        let _ = write!(line, "time={time} level={level} host={} event=", self.host);
        push_value(&mut line, event);
        line
    }

    /// Formats a record as one line, without the line break.
    #[must_use]
    pub fn format(&self, record: &Record<'_>, now: OffsetDateTime) -> String {
        let mut line = self.format_prefix(record.level(), &record.args().to_string(), now);
        let mut visitor = PairVisitor { line: &mut line };
        let _ = record.key_values().visit(&mut visitor);
        line
    }
}

impl Encode for EventEncoder {
    fn encode(&self, writer: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let line = self.format(record, OffsetDateTime::now_utc());
        writeln!(writer, "{line}")?;
        Ok(())
    }
}

struct PairVisitor<'a> {
    line: &'a mut String,
}

impl<'kvs> VisitSource<'kvs> for PairVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let _ = write!(self.line, " {key}=");
        push_value(self.line, &value.to_string());
        Ok(())
    }
}

fn push_value(line: &mut String, value: &str) {
    let is_plain =
        !value.is_empty() && value.chars().all(|c| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=');
    if is_plain {
        line.push_str(value);
    } else {
        let _ = write!(line, "{value:?}");
    }
}

/// Starts logging to standard output at `level`. The number of lines per second is limited, and callers do not wait for
/// the output. If the writer thread cannot be started, callers write without a limit themselves. A second call changes
/// only the level.
pub fn start_logs(host: &str, level: LevelFilter) {
    let appender: Box<dyn Append> = match BoundedAppender::start(host) {
        Ok(appender) => Box::new(appender),
        // Without a writer thread, each caller writes its own lines.
        Err(_) => Box::new(ConsoleAppender::builder().encoder(Box::new(EventEncoder::new(host))).build()),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", appender))
        .build(Root::builder().appender("stdout").build(LevelFilter::Debug));
    if let Ok(config) = config {
        // A second call, as in tests, keeps the first configuration.
        let _ = log4rs::init_config(config);
    }
    // The root level of the configuration stays at debug. The global level is the one that filters, so that a reload of
    // the settings can raise and lower it.
    log::set_max_level(level);
}
