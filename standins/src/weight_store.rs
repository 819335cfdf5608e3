//! Stand-in for the weight store: serves versions of model weights, with a limit on reads per second.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hyper::body::Bytes;
use serde::{Deserialize, Serialize};

use crate::faults::FaultSpec;
use crate::rate_limit::RateLimit;
use crate::server::{HttpRequest, HttpResponse, StandinServer, immediate};

/// Address, limit and content of a weight store stand-in.
#[derive(Debug, Clone)]
pub struct WeightStoreOptions {
    /// Host and port to listen on; port 0 picks a free one.
    pub address: String,
    /// Reads of weights per second above which the store responds with status 429; 0 means no limit.
    pub reads_per_second: u32,
    /// Size of the content of each version in bytes.
    pub weight_bytes: usize,
    /// Latest version at the start; all versions from 0 to this one can be read.
    pub latest: u64,
}

impl Default for WeightStoreOptions {
    fn default() -> Self {
        Self { address: "127.0.0.1:0".to_owned(), reads_per_second: 20, weight_bytes: 64 * 1024, latest: 1 }
    }
}

/// Latest published version; response to `GET /weights/latest` and body of `PUT /weights/latest`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatestVersion {
    /// Version up to which weights can be read.
    pub version: u64,
}

struct StoreState {
    latest: AtomicU64,
    reads: AtomicU64,
    refused_reads: AtomicU64,
    read_limit: RateLimit,
    content: Bytes,
}

/// Running weight store; the server stops when this value is dropped.
pub struct WeightStoreStandin {
    server: StandinServer,
    state: Arc<StoreState>,
}

impl std::fmt::Debug for WeightStoreStandin {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("WeightStoreStandin").field("server", &self.server).finish_non_exhaustive()
    }
}

impl WeightStoreStandin {
    /// Starts a weight store that serves requests until dropped.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(options: WeightStoreOptions) -> io::Result<Self> {
        let WeightStoreOptions { address, reads_per_second, weight_bytes, latest } = options;
        let state = Arc::new(StoreState {
            latest: AtomicU64::new(latest),
            reads: AtomicU64::new(0),
            refused_reads: AtomicU64::new(0),
            read_limit: RateLimit::new(reads_per_second),
            content: Bytes::from(vec![0; weight_bytes]),
        });
        let shared = Arc::clone(&state);
        let server = StandinServer::start(&address, immediate(move |request| handle_request(request, &shared)))?;
        Ok(Self { server, state })
    }

    /// HTTP server of the stand-in; gives access to addresses, injected faults and crashes.
    #[must_use]
    pub fn server(&self) -> &StandinServer {
        &self.server
    }

    /// Base URL of the main port, without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Injects a fault; on return the port is open or closed accordingly.
    pub fn fault(&self, spec: FaultSpec) {
        self.server.fault(spec);
    }

    /// Publishes all versions up to `version`; a version below the latest one withdraws those above it.
    pub fn set_latest(&self, version: u64) {
        self.state.latest.store(version, Ordering::Release);
    }

    /// Number of successful reads of weights since the start.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.state.reads.load(Ordering::Acquire)
    }

    /// Number of reads of weights refused with status 429 since the start.
    #[must_use]
    pub fn refused_reads(&self) -> u64 {
        self.state.refused_reads.load(Ordering::Acquire)
    }
}

fn handle_request(request: &HttpRequest, state: &StoreState) -> HttpResponse {
    let segments = request.segments();
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let latest = state.latest.load(Ordering::Acquire);
    match (request.method.as_str(), segments.as_slice()) {
        ("GET", ["weights", "latest"]) => HttpResponse::json(200, &LatestVersion { version: latest }),
        ("PUT", ["weights", "latest"]) => match serde_json::from_slice::<LatestVersion>(&request.body) {
            Ok(published) => {
                state.latest.store(published.version, Ordering::Release);
                HttpResponse::json(200, &published)
            }
            Err(error) => HttpResponse::error(400, &error.to_string()),
        },
        ("GET", ["weights", version]) => match version.parse::<u64>() {
            Ok(version) if version <= latest => read_weights(state),
            _ => HttpResponse::error(404, "no such version"),
        },
        _ => HttpResponse::error(404, "no such path"),
    }
}

fn read_weights(state: &StoreState) -> HttpResponse {
    if !state.read_limit.take(1) {
        state.refused_reads.fetch_add(1, Ordering::AcqRel);
        return HttpResponse::error(429, "too many reads");
    }
    state.reads.fetch_add(1, Ordering::AcqRel);
    HttpResponse::bytes(200, "application/octet-stream", state.content.clone())
}
