//! Timeline of one request, item or batch job from the logs of several hosts.
//!
//! The timeline contains the lines about the id, and the events of the same hosts around that time: starts and stops,
//! reloaded settings, lost and restored change feeds of store tables, changes of the leader lease, and lines left out
//! of a log.

use std::path::Path;

use serde::{Serialize, Serializer};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Fields with the id of the request, batch job or item that a line is about.
const ID_FIELDS: [&str; 3] = ["request", "job", "item"];

/// Events about a host rather than about a request.
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

/// Time before the first line about the id from which host events are included: the largest age of the state that a
/// host acts on, plus a margin.
const HOST_EVENTS_MARGIN_BEFORE: time::Duration = time::Duration::seconds(5);

/// Time after the last line about the id until which host events are included.
const HOST_EVENTS_MARGIN_AFTER: time::Duration = time::Duration::seconds(1);

/// One event line of a log.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LogLine {
    /// When the line was written, by the clock of its host.
    #[serde(with = "time::serde::rfc3339")]
    pub time: OffsetDateTime,
    /// Name of the host that wrote the line.
    pub host: String,
    /// Log level as written, such as `warn`.
    pub level: String,
    /// Name of the event, such as `job_accepted`.
    pub event: String,
    /// Whether the line is about the id, or about the batch job of the item with that id; false for a host event.
    /// [`select_related_lines`] sets it.
    pub is_own: bool,
    /// All other fields as names and values, in the order of the line.
    #[serde(serialize_with = "write_fields")]
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Value of the first of [`Self::fields`] with this name; `None` when there is none.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

fn write_fields<S: Serializer>(fields: &[(String, String)], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_map(fields.iter().map(|(name, value)| (name, value)))
}

/// Parses a line of a log, and ignores what precedes the time, such as the prefix of a log collector. `None` when the
/// line has no valid time, or no level, host or event.
#[must_use]
pub fn parse_line(line: &str) -> Option<LogLine> {
    let start = if line.starts_with("time=") { 0 } else { line.find(" time=")? + 1 };
    let mut fields = parse_fields(&line[start..]);
    let mut take_field = |name: &str| {
        let position = fields.iter().position(|(known, _)| known == name)?;
        Some(fields.remove(position).1)
    };
    let time = OffsetDateTime::parse(&take_field("time")?, &Rfc3339).ok()?;
    let (level, host, event) = (take_field("level")?, take_field("host")?, take_field("event")?);
    Some(LogLine { time, host, level, event, is_own: false, fields })
}

fn parse_fields(text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut rest = text.trim_start();
    while let Some((name, value)) = rest.split_once('=') {
        let end = if value.starts_with('"') { find_quoted_end(value) } else { value.find(' ').unwrap_or(value.len()) };
        let (value, after) = value.split_at(end);
        // Quoted values have the escapes of Rust's debug format. JSON has the same ones except for rare control
        // characters; a value with one of those stays as written.
        let parsed = if value.starts_with('"') { serde_json::from_str(value).ok() } else { None };
        fields.push((name.to_owned(), parsed.unwrap_or_else(|| value.to_owned())));
        rest = after.trim_start();
    }
    fields
}

/// Finds the end of the quoted value at the start of a text; the end is after the closing quote, or the end of the
/// text.
fn find_quoted_end(value: &str) -> usize {
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

fn names_id(line: &LogLine, field_names: &[&str], id: &str) -> bool {
    field_names.iter().any(|name| line.field(name) == Some(id))
}

/// Selects the lines about an id and the events of their hosts around that time, and sorts them by time. The lines
/// about an item include those about its batch job. Empty when no line names the id.
#[must_use]
pub fn select_related_lines(id: &str, mut lines: Vec<LogLine>) -> Vec<LogLine> {
    // For the id of an item, the lines about its batch job as a whole are selected too.
    let item_line = lines.iter().find(|line| names_id(line, &["item"], id));
    let job = item_line.and_then(|line| line.field("job")).map(str::to_owned);
    for line in &mut lines {
        let is_of_job = job.as_deref().is_some_and(|job| names_id(line, &["job"], job));
        line.is_own = names_id(line, &ID_FIELDS, id) || (is_of_job && line.field("item").is_none());
    }
    lines.sort_by_key(|line| line.time);
    let own = || lines.iter().filter(|line| line.is_own);
    let (Some(first), Some(last)) = (own().next(), own().next_back()) else { return Vec::new() };
    let (from, to) = (first.time - HOST_EVENTS_MARGIN_BEFORE, last.time + HOST_EVENTS_MARGIN_AFTER);
    let mut hosts: Vec<String> = own().map(|line| line.host.clone()).collect();
    hosts.sort_unstable();
    hosts.dedup();
    lines.retain(|line| {
        let is_near = (from..=to).contains(&line.time) && hosts.binary_search(&line.host).is_ok();
        line.is_own || (is_near && HOST_EVENTS.contains(&line.event.as_str()))
    });
    lines
}

/// Reads the event lines of a log file. Other lines are left out, and bytes that are not UTF-8 are replaced.
///
/// # Errors
///
/// The file cannot be read.
pub fn read_log(file: &Path) -> std::io::Result<Vec<LogLine>> {
    let bytes = std::fs::read(file)?;
    Ok(String::from_utf8_lossy(&bytes).lines().filter_map(parse_line).collect())
}

/// Formats selected lines as text: seconds since the first line about the id, host, event and fields. Host events are
/// marked with `~`. Empty when no line is about the id.
#[must_use]
pub fn format_timeline(related_lines: &[LogLine]) -> String {
    let Some(first) = related_lines.iter().find(|line| line.is_own) else { return String::new() };
    let width = related_lines.iter().map(|line| line.host.len()).max().unwrap_or_default();
    let rows = related_lines.iter().map(|line| {
        let offset = (line.time - first.time).as_seconds_f64();
        let mark = if line.is_own { ' ' } else { '~' };
        let fields = line.fields.iter().map(|(name, value)| {
            if value.contains(' ') { format!(" {name}={value:?}") } else { format!(" {name}={value}") }
        });
        format!("{offset:+9.3} {:width$} {mark} {}{}\n", line.host, line.event, fields.collect::<String>())
    });
    rows.collect()
}
