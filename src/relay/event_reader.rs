//! Incremental parser of event streams (`text/event-stream`).
//!
//! The parser returns complete events only, and shows whether a stream broke off within an event.

use crate::prelude::*;

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Number in the last id line of the event; `None` when there is no such line or its value is not a number.
    pub id: Option<u64>,
    /// Values of the data lines, joined by line feeds.
    pub data: String,
    /// Weight version from this event on; `None` when the version of the event before still applies.
    pub version: Option<WeightVersion>,
}

/// Reason why the rest of a stream cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventStreamError {
    /// An event is not valid UTF-8, or more than 1 MiB of an incomplete event is buffered.
    Malformed,
}

/// Maximum size of the buffered part of an incomplete event.
const MAX_BUFFER_BYTES: usize = 1024 * 1024;

/// Parser of one stream; holds the bytes that do not form a complete event yet.
#[derive(Debug)]
pub struct EventReader {
    buffer: Vec<u8>,
    /// Number of buffered bytes that are known not to end an event, so that a long event is searched once.
    searched: usize,
    /// Whether the line at the end of the searched bytes is empty so far.
    is_line_empty: bool,
}

impl Default for EventReader {
    fn default() -> Self {
        Self { buffer: Vec::new(), searched: 0, is_line_empty: true }
    }
}

impl EventReader {
    /// Creates a reader for a stream of which nothing has been read.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether no incomplete event is buffered; if false at the end of the stream, the stream broke off within an
    /// event.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.iter().all(|byte| matches!(byte, b'\n' | b'\r'))
    }

    /// Adds bytes and returns the events that these bytes complete. Events with neither an id nor data are skipped.
    ///
    /// `parse_version` returns the weight version of a line, or `None` for a line that names none; lines with an id or
    /// data are not passed to this function.
    ///
    /// # Errors
    ///
    /// An event is not valid UTF-8, or the rest after the complete events exceeds 1 MiB.
    pub fn push(
        &mut self,
        bytes: &[u8],
        parse_version: fn(&str) -> Option<WeightVersion>,
    ) -> Result<Vec<StreamEvent>, EventStreamError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = self.find_event_end() {
            let text = std::str::from_utf8(&self.buffer[start..end]).map_err(|_| EventStreamError::Malformed)?;
            events.extend(parse_event(text, parse_version));
            start = end;
        }
        self.buffer.drain(..start);
        self.searched -= start;
        if self.buffer.len() > MAX_BUFFER_BYTES { Err(EventStreamError::Malformed) } else { Ok(events) }
    }

    /// Position after the empty line that ends the next event; `None` when that line is missing.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.buffer.get(self.searched) {
            self.searched += 1;
            match byte {
                b'\n' if self.is_line_empty => return Some(self.searched),
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        None
    }
}

fn parse_event(text: &str, parse_version: fn(&str) -> Option<WeightVersion>) -> Option<StreamEvent> {
    let mut event = StreamEvent { id: None, data: String::new(), version: None };
    let mut data_lines = 0;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => event.id = value.parse().ok(),
            "data" => {
                if data_lines > 0 {
                    event.data.push('\n');
                }
                event.data.push_str(value);
                data_lines += 1;
            }
            _ => event.version = parse_version(line).or(event.version),
        }
    }
    (data_lines > 0 || event.id.is_some()).then_some(event)
}
