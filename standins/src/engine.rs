//! Stand-in of a model engine: continuous batching, a prefix cache, weight versions, and faults on demand.
//!
//! The text of a completion depends only on prompt, seed and token index, so that a stream resumed on another engine
//! goes on exactly where the first one ended. `max_tokens` is the length of the whole completion, tokens that were
//! generated elsewhere included.

mod generation;
mod options;
mod prefix_cache;
mod records;
mod state;
mod text;
mod weights;

use std::io;
use std::sync::Arc;

use camphorspring::generated::engine_messages::{CacheEvents, EngineOrder, EngineRequest};
use serde::{Deserialize, Serialize};

use crate::faults::FaultSpec;
use crate::server::{AnswerFuture, HttpRequest, HttpResponse, ResponseContent, StandinServer};
pub use options::{EngineOptions, FreshLimit};
pub use prefix_cache::{BLOCK_BYTES, prefix_hashes};
pub use records::{EngineRecords, OrderTrace};
use state::EngineState;
pub use text::{completion_text, prompt_tokens, token_text};

/// Change of an engine's behaviour, as the body of `POST /control`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum EngineControl {
    /// Closes all connections and refuses new ones.
    Crash,
    /// Starts again with an empty cache and the initial weights.
    Restart,
    /// Empties the cache, and makes first tokens slow for a while.
    TurnCold,
    /// Lets the next weight switches fail.
    FailSwitches {
        /// Number of switches.
        count: u32,
    },
    /// Whether pieces lack the weight version.
    Unstamped {
        /// Whether the version is left out.
        on: bool,
    },
    /// Crashes when a prompt contains this text; nothing crashes it when absent.
    CrashMarker {
        /// Text in the prompt.
        marker: Option<String>,
    },
}

/// Handle of an exported KV cache, as the answer to an export and the body of an import.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// Handle to name in the resuming request.
    pub kv_handle: String,
    /// Tokens that the cache covers, prompt included.
    #[serde(default)]
    pub tokens: u32,
}

/// A running engine.
pub struct EngineStandin {
    server: StandinServer,
    state: Arc<EngineState>,
}

impl std::fmt::Debug for EngineStandin {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("EngineStandin").field("server", &self.server).finish_non_exhaustive()
    }
}

impl EngineStandin {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(options: EngineOptions) -> io::Result<Self> {
        let address = options.address.clone();
        let state = Arc::new(EngineState::new(options));
        let shared = Arc::clone(&state);
        let handler = Arc::new(move |call: HttpRequest| Box::pin(answer(call, Arc::clone(&shared))) as AnswerFuture);
        let server = StandinServer::start(&address, handler)?;
        state.attach_server(server.shared());
        Ok(Self { server, state })
    }

    /// Server, for its addresses.
    #[must_use]
    pub fn server(&self) -> &StandinServer {
        &self.server
    }

    /// Base URL.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Puts a fault in force.
    pub fn fault(&self, order: FaultSpec) {
        self.server.fault(order);
    }

    /// Changes the behaviour; on return a crash or restart has taken place.
    pub fn control(&self, control: EngineControl) {
        let is_crash = control == EngineControl::Crash;
        let is_restart = control == EngineControl::Restart;
        self.state.control(control);
        if is_crash {
            self.server.crash();
        } else if is_restart {
            self.server.restart();
        }
    }

    /// Closes all connections and refuses new ones until [`EngineStandin::restart`].
    pub fn crash(&self) {
        self.control(EngineControl::Crash);
    }

    /// Starts again after a crash.
    pub fn restart(&self) {
        self.control(EngineControl::Restart);
    }

    /// Whether the engine has crashed and not been restarted.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.server.shared().is_crashed()
    }

    /// What the engine has seen since its first start; crashes don't reset it.
    #[must_use]
    pub fn records(&self) -> EngineRecords {
        self.state.records()
    }

    /// Requests in the engine now, waiting ones included.
    #[must_use]
    pub fn open_requests(&self) -> u32 {
        self.state.open_requests()
    }

    /// Version of the weights in use.
    #[must_use]
    pub fn weight_version(&self) -> u64 {
        self.state.weight_version()
    }
}

/// Request id in a body `{"request_id": ...}`, which some calls have in place of the id in their path.
fn named_request(call: &HttpRequest) -> String {
    let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap_or_default();
    body["request_id"].as_str().unwrap_or_default().to_owned()
}

async fn answer(call: HttpRequest, state: Arc<EngineState>) -> HttpResponse {
    let segments = call.segments();
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    match (call.method.as_str(), segments.as_slice()) {
        ("POST", ["v1", "completions"]) => start_completion(&call, &state),
        ("GET", ["v1", "cache_events"]) => list_cache_events(&call, &state),
        ("GET", ["v1", "load"]) => HttpResponse::json(200, &state.reported_load()),
        ("POST", ["v1", "requests", id, "cancel"]) => {
            HttpResponse::json(200, &serde_json::json!({ "cancelled": state.cancel(id) }))
        }
        ("POST", ["v1", "cancel"]) => {
            HttpResponse::json(200, &serde_json::json!({ "cancelled": state.cancel(&named_request(&call)) }))
        }
        ("POST", ["v1", "kv", "export", id]) => export_cache(id, &state),
        ("POST", ["kv", "export"]) => export_cache(&named_request(&call), &state),
        ("POST", ["v1", "kv", "import"] | ["kv", "import"]) => import_cache(&call, &state),
        ("POST", ["v1", "orders"]) => take_order(&call, &state).await,
        ("GET", ["records"]) => HttpResponse::json(200, &state.records()),
        ("POST", ["control"]) => take_control(&call, &state),
        _ => HttpResponse::error(404, "no such path"),
    }
}

fn start_completion(call: &HttpRequest, state: &Arc<EngineState>) -> HttpResponse {
    let request = match serde_json::from_slice::<EngineRequest>(&call.body) {
        Ok(request) => request,
        Err(error) => return HttpResponse::error(400, &error.to_string()),
    };
    state.record_arrival(&request, &call.headers);
    let (writer, content) = ResponseContent::streamed();
    tokio::spawn(generation::run_request(Arc::clone(state), request, writer));
    HttpResponse::with_content(200, "text/event-stream", content)
}

fn list_cache_events(call: &HttpRequest, state: &EngineState) -> HttpResponse {
    let after = call.query_value("after").and_then(|after| after.parse().ok()).unwrap_or(0);
    HttpResponse::json(200, &CacheEvents { events: state.cache_events(after) })
}

fn export_cache(id: &str, state: &EngineState) -> HttpResponse {
    match state.export_cache(id) {
        Some(transfer) => HttpResponse::json(200, &transfer),
        None => HttpResponse::error(404, "no such request"),
    }
}

fn import_cache(call: &HttpRequest, state: &EngineState) -> HttpResponse {
    match serde_json::from_slice::<KvTransfer>(&call.body) {
        Ok(transfer) => {
            state.import_cache(&transfer);
            HttpResponse::json(200, &transfer)
        }
        Err(error) => HttpResponse::error(400, &error.to_string()),
    }
}

async fn take_order(call: &HttpRequest, state: &Arc<EngineState>) -> HttpResponse {
    match serde_json::from_slice::<EngineOrder>(&call.body) {
        Ok(order) => weights::take_order(order, state).await,
        Err(error) => HttpResponse::error(400, &error.to_string()),
    }
}

fn take_control(call: &HttpRequest, state: &EngineState) -> HttpResponse {
    match serde_json::from_slice::<EngineControl>(&call.body) {
        Ok(control) => {
            state.control(control);
            HttpResponse::json(200, &serde_json::json!({}))
        }
        Err(error) => HttpResponse::error(400, &error.to_string()),
    }
}
