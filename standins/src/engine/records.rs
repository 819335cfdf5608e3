//! Records of the requests, orders and crashes of an engine, for assertions in tests.

use std::collections::BTreeMap;

use camphorspring::generated::engine_messages::{EngineOrder, EngineRequest};
use camphorspring::http_server::HeaderPair;
use serde::{Deserialize, Serialize};

/// Engine order that was received, with the result of the fencing check.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Order with the epoch that was checked.
    pub order: EngineOrder,
    /// Whether the epoch passed the fencing check; the action may still have failed.
    pub accepted: bool,
}

/// Counts and lists since the first start of an engine; also the response to `GET /records`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineRecords {
    /// Highest number of admitted requests, prefilling or producing tokens, at one time.
    pub highest_running: u32,
    /// Highest number of requests in the engine at one time, including those that wait for admission.
    pub highest_open: u32,
    /// Number of runs by request id, counted on arrival.
    pub runs: BTreeMap<String, u32>,
    /// Number of runs by prompt, counted on arrival.
    pub prompts: BTreeMap<String, u32>,
    /// Distinct headers of completion requests as `name: value`, sorted.
    pub headers: Vec<String>,
    /// Engine orders received, refused ones included, oldest first.
    pub orders: Vec<OrderRecord>,
    /// Arguments of the accepted orders to load an adapter or set a role, latest last.
    pub roles: Vec<String>,
    /// Tokens produced by all runs; resumed tokens don't count.
    pub tokens: u64,
    /// Runs whose stream did not end properly, because of a cancellation, a disconnected reader or a crash.
    pub broken_runs: u64,
    /// Crashes caused by [`super::EngineControl::Crash`] or by a request; a crash of an engine that is already down does not count.
    pub crashes: u32,
}

impl EngineRecords {
    /// Whether any recorded header, name or value, contains `text`.
    #[must_use]
    pub fn has_header_text(&self, text: &str) -> bool {
        self.headers.iter().any(|header| header.contains(text))
    }

    /// Number of runs with exactly this prompt.
    #[must_use]
    pub fn runs_of_prompt(&self, prompt: &str) -> u32 {
        self.prompts.get(prompt).copied().unwrap_or(0)
    }

    /// Number of runs of all requests; a request id that arrived twice counts twice.
    #[must_use]
    pub fn total_runs(&self) -> u64 {
        self.runs.values().map(|runs| u64::from(*runs)).sum()
    }

    pub(super) fn record_run(&mut self, request: &EngineRequest, headers: &[HeaderPair]) {
        *self.runs.entry(request.request_id.clone()).or_default() += 1;
        *self.prompts.entry(request.prompt.clone()).or_default() += 1;
        for pair in headers {
            let header = format!("{}: {}", pair.name, pair.value);
            if let Err(position) = self.headers.binary_search(&header) {
                self.headers.insert(position, header);
            }
        }
    }
}
