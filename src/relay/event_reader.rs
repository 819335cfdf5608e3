//! Parser of a stream of events (`text/event-stream`) that may break off in the middle of an event.

use crate::prelude::*;

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Id.
    pub id: Option<u64>,
    /// Data; several data lines are joined by line feeds.
    pub data: String,
    /// Weight version that the event names, when it changes there.
    pub version: Option<WeightVersion>,
}

/// Why a stream cannot be read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventStreamError {
    /// Bytes that are not text, or an event beyond the size limit.
    Malformed,
}

/// Largest event in bytes.
const EVENT_LIMIT: usize = 1024 * 1024;

/// Bytes of a stream that do not form a complete event yet.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Reader at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the stream ended between two events.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.iter().all(|byte| matches!(byte, b'\n' | b'\r'))
    }

    /// Adds bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// The bytes are not a stream of events.
    pub fn push(
        &mut self,
        bytes: &[u8],
        version_line: fn(&str) -> Option<WeightVersion>,
    ) -> Result<Vec<StreamEvent>, EventStreamError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = event_length(&self.buffer[start..]) {
            let text =
                std::str::from_utf8(&self.buffer[start..start + length]).map_err(|_| EventStreamError::Malformed)?;
            events.extend(parse_event(text, version_line));
            start += length;
        }
        self.buffer.drain(..start);
        if self.buffer.len() > EVENT_LIMIT { Err(EventStreamError::Malformed) } else { Ok(events) }
    }
}

/// Length of the first event with its empty line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut is_line_empty = true;
    for (position, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if is_line_empty => return Some(position + 1),
            b'\n' => is_line_empty = true,
            b'\r' => {}
            _ => is_line_empty = false,
        }
    }
    None
}

fn parse_event(text: &str, version_line: fn(&str) -> Option<WeightVersion>) -> Option<StreamEvent> {
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
            _ => event.version = version_line(line).or(event.version),
        }
    }
    (data_lines > 0 || event.id.is_some()).then_some(event)
}
