//! A resumable stream as a client reads it, over one or more attempts.

use std::fmt;
use std::net::SocketAddr;

use crate::engine::{EVENT_MS, EVENTS};
use crate::http::stream;
use crate::site::{CALLER_HOST, bearer};

/// Time that the client waits for the end of an attempt, in milliseconds (the deadline of the site's kinds of requests).
const DEADLINE_MS: &str = "12000";

pub struct ClientStream {
    name: String,
    events: String,
    event_ms: String,
    /// Data of the events so far.
    pub data: Vec<String>,
    attempts: usize,
    /// Id of the attempt that brought the first event.
    first: Option<String>,
}

/// How an attempt ended.
pub struct End {
    id: String,
    pub status: u16,
    pub whole: bool,
    /// Number of events that the attempt brought.
    pub brought: usize,
    events: usize,
}

impl fmt::Display for End {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end = if self.whole { "whole" } else { "broken off" };
        write!(formatter, "attempt {} has status {}, {end} after event {}", self.id, self.status, self.events)
    }
}

impl ClientStream {
    /// `name` is six characters, unique for each stream.
    pub fn new(name: &str, events: u64, event_ms: u64) -> ClientStream {
        ClientStream {
            name: name.to_owned(),
            events: events.to_string(),
            event_ms: event_ms.to_string(),
            data: Vec::new(),
            attempts: 0,
            first: None,
        }
    }

    /// Asks for the stream, or takes it up after the last event.
    pub fn read(&mut self, host: SocketAddr, prompt: &str) -> End {
        let id = format!("9c41d07b{}{:02}", self.name, self.attempts);
        self.attempts += 1;
        let (bearer, last) = (bearer(), self.data.len().to_string());
        let mut headers = vec![
            ("Host", CALLER_HOST),
            ("Authorization", bearer.as_str()),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", DEADLINE_MS),
            ("X-Model", "daka510000"),
            (EVENTS, self.events.as_str()),
            (EVENT_MS, self.event_ms.as_str()),
        ];
        if let Some(first) = &self.first {
            headers.extend([("Last-Event-Id", last.as_str()), ("Resumes", first.as_str())]);
        }
        let before = self.data.len();
        let data = &mut self.data;
        let (status, whole) = stream(host, "/tesi402/8b", &headers, prompt.as_bytes(), |line| {
            if let Some(event) = line.strip_prefix("data: ") {
                data.push(event.to_owned());
            }
        });
        if before == 0 && !self.data.is_empty() {
            self.first = Some(id.clone());
        }
        End { id, status, whole, brought: self.data.len() - before, events: self.data.len() }
    }
}
