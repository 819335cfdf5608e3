//! Story of one request, item or batch job from the logs of several hosts.
//!
//! A line belongs to the story when it names the id. Around them stand the lines that tell what the same hosts lost or
//! gained in that time: starts and stops, the store, the duties, and lines left out of a log.

use std::path::Path;

use serde::{Serialize, Serializer};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Fields that name what a line is about.
const ID_FIELDS: [&str; 3] = ["request", "job", "item"];

/// Events that tell of a host rather than of a request.
const HOST_EVENTS: [&str; 9] = [
    "host_started",
    "stop_requested",
    "host_stopped",
    "settings_reloaded",
    "store_feed_lost",
    "store_feed_back",
    "duty_lease_changed",
    "duty_lease_write_failed",
    "log_lines_left_out",
];

/// Time before the first line of a story in which its hosts are looked at: the longest age of a belief, and a margin.
const TIME_BEFORE: time::Duration = time::Duration::seconds(5);

/// Time after the last line of a story in which its hosts are looked at.
const TIME_AFTER: time::Duration = time::Duration::seconds(1);

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LogLine {
    /// When it was written, by the clock of its host.
    #[serde(with = "time::serde::rfc3339")]
    pub time: OffsetDateTime,
    /// Host.
    pub host: String,
    /// Level.
    pub level: String,
    /// Event.
    pub event: String,
    /// Whether it names the id.
    pub is_own: bool,
    /// All other fields with their values, in their order.
    #[serde(serialize_with = "write_fields")]
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Value of a field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

fn write_fields<S: Serializer>(fields: &[(String, String)], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_map(fields.iter().map(|(name, value)| (name, value)))
}

/// Parses a line; `None` when it is no event. What stands before the time, such as the mark of a collector, is skipped.
#[must_use]
pub fn parse_line(line: &str) -> Option<LogLine> {
    let start = if line.starts_with("time=") { 0 } else { line.find(" time=")? + 1 };
    let mut fields = parse_fields(&line[start..]);
    let mut take = |name: &str| {
        let position = fields.iter().position(|(known, _)| known == name)?;
        Some(fields.remove(position).1)
    };
    let time = OffsetDateTime::parse(&take("time")?, &Rfc3339).ok()?;
    let (level, host, event) = (take("level")?, take("host")?, take("event")?);
    Some(LogLine { time, host, level, event, is_own: false, fields })
}

fn parse_fields(text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut rest = text.trim_start();
    while let Some((name, value)) = rest.split_once('=') {
        let end = if value.starts_with('"') { quoted_end(value) } else { value.find(' ').unwrap_or(value.len()) };
        let (value, after) = value.split_at(end);
        // A quoted value is written with the escapes that JSON has too, but for rare control characters.
        let parsed = if value.starts_with('"') { serde_json::from_str(value).ok() } else { None };
        fields.push((name.to_owned(), parsed.unwrap_or_else(|| value.to_owned())));
        rest = after.trim_start();
    }
    fields
}

/// End of a quoted value, its quotes included.
fn quoted_end(value: &str) -> usize {
    let mut is_escaped = false;
    for (position, character) in value.char_indices().skip(1) {
        match character {
            '"' if !is_escaped => return position + 1,
            '\\' => is_escaped = !is_escaped,
            _ => is_escaped = false,
        }
    }
    value.len()
}

fn has_id(line: &LogLine, names: &[&str], id: &str) -> bool {
    names.iter().any(|name| line.field(name) == Some(id))
}

/// Lines that tell the story of an id, by time.
#[must_use]
pub fn select_related_lines(id: &str, mut lines: Vec<LogLine>) -> Vec<LogLine> {
    // The job of an item is part of its story.
    let item_line = lines.iter().find(|line| has_id(line, &["item"], id));
    let job = item_line.and_then(|line| line.field("job")).map(str::to_owned);
    for line in &mut lines {
        let is_of_job = job.as_deref().is_some_and(|job| has_id(line, &["job"], job));
        line.is_own = has_id(line, &ID_FIELDS, id) || (is_of_job && line.field("item").is_none());
    }
    lines.sort_by_key(|line| line.time);
    let own = || lines.iter().filter(|line| line.is_own);
    let (Some(first), Some(last)) = (own().next(), own().next_back()) else { return Vec::new() };
    let (from, to) = (first.time - TIME_BEFORE, last.time + TIME_AFTER);
    let mut hosts: Vec<String> = own().map(|line| line.host.clone()).collect();
    hosts.sort_unstable();
    hosts.dedup();
    lines.retain(|line| {
        let is_near = (from..=to).contains(&line.time) && hosts.binary_search(&line.host).is_ok();
        line.is_own || (is_near && HOST_EVENTS.contains(&line.event.as_str()))
    });
    lines
}

/// Reads the lines of a log file.
///
/// # Errors
///
/// The file cannot be read.
pub fn read_log(file: &Path) -> std::io::Result<Vec<LogLine>> {
    let bytes = std::fs::read(file)?;
    Ok(String::from_utf8_lossy(&bytes).lines().filter_map(parse_line).collect())
}

/// Story as text: seconds since its first own line, host, event and fields. Lines about a host are marked with `~`.
#[must_use]
pub fn format_timeline(story: &[LogLine]) -> String {
    let Some(first) = story.iter().find(|line| line.is_own) else { return String::new() };
    let width = story.iter().map(|line| line.host.len()).max().unwrap_or_default();
    let rows = story.iter().map(|line| {
        let offset = (line.time - first.time).as_seconds_f64();
        let mark = if line.is_own { ' ' } else { '~' };
        let fields = line.fields.iter().map(|(name, value)| {
            if value.contains(' ') { format!(" {name}={value:?}") } else { format!(" {name}={value}") }
        });
        format!("{offset:+9.3} {:width$} {mark} {}{}\n", line.host, line.event, fields.collect::<String>())
    });
    rows.collect()
}
