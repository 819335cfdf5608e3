//! What an engine has seen, for the checks of tests.

use std::collections::BTreeMap;

use camphorspring::generated::engine_messages::{EngineOrder, EngineRequest};
use camphorspring::http_server::HeaderPair;
use serde::{Deserialize, Serialize};

/// One engine order as it arrived.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderTrace {
    /// The order.
    pub order: EngineOrder,
    /// Whether it passed the fencing check.
    pub accepted: bool,
}

/// What an engine has seen since its first start.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineRecords {
    /// Highest number of requests producing tokens at one time.
    pub highest_running: u32,
    /// Highest number of requests in the engine at one time, waiting ones included.
    pub highest_open: u32,
    /// Number of runs by request id.
    pub runs: BTreeMap<String, u32>,
    /// Number of runs by prompt.
    pub prompts: BTreeMap<String, u32>,
    /// Distinct headers received, as `name: value`, in order.
    pub headers: Vec<String>,
    /// Orders in order of arrival.
    pub orders: Vec<OrderTrace>,
    /// Adapters and roles ordered, latest last.
    pub roles: Vec<String>,
    /// Tokens produced.
    pub tokens: u64,
    /// Runs that ended before their last token, by cancel, disconnect or crash.
    pub broken_runs: u64,
    /// Crashes.
    pub crashes: u32,
}

impl EngineRecords {
    /// Whether any header value contains `text`.
    #[must_use]
    pub fn has_header_text(&self, text: &str) -> bool {
        self.headers.iter().any(|header| header.contains(text))
    }

    /// Number of runs of a prompt.
    #[must_use]
    pub fn runs_of_prompt(&self, prompt: &str) -> u32 {
        self.prompts.get(prompt).copied().unwrap_or(0)
    }

    /// Number of runs of all requests.
    #[must_use]
    pub fn total_runs(&self) -> u64 {
        self.runs.values().map(|runs| u64::from(*runs)).sum()
    }

    pub(super) fn add_run(&mut self, request: &EngineRequest, headers: &[HeaderPair]) {
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
