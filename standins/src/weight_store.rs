//! Stand-in of the weight store: versions of model weights, with a limit on reads per second.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hyper::body::Bytes;
use serde::{Deserialize, Serialize};

use crate::faults::FaultSpec;
use crate::rate_limit::RateLimit;
use crate::server::{HttpRequest, HttpResponse, StandinServer, immediate};

/// Options of a weight store.
#[derive(Debug, Clone)]
pub struct WeightStoreOptions {
    /// Address to listen on.
    pub address: String,
    /// Reads of weights per second beyond which the answer is 429; 0 means no limit.
    pub reads_per_second: u32,
    /// Size of one version in bytes.
    pub weight_bytes: usize,
    /// Latest version at the start; all versions up to it exist.
    pub latest: u64,
}

impl Default for WeightStoreOptions {
    fn default() -> Self {
        Self { address: "127.0.0.1:0".to_owned(), reads_per_second: 20, weight_bytes: 64 * 1024, latest: 1 }
    }
}

/// Latest version, as the answer to `GET` and the body of `PUT /weights/latest`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatestVersion {
    /// The version.
    pub version: u64,
}

struct StoreState {
    latest: AtomicU64,
    reads: AtomicU64,
    limited: AtomicU64,
    limit: RateLimit,
    content: Bytes,
}

/// A running weight store.
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
    /// Starts a weight store.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(options: WeightStoreOptions) -> io::Result<Self> {
        let WeightStoreOptions { address, reads_per_second, weight_bytes, latest } = options;
        let state = Arc::new(StoreState {
            latest: AtomicU64::new(latest),
            reads: AtomicU64::new(0),
            limited: AtomicU64::new(0),
            limit: RateLimit::new(reads_per_second),
            content: Bytes::from(vec![0; weight_bytes]),
        });
        let shared = Arc::clone(&state);
        let server = StandinServer::start(&address, immediate(move |call| answer(call, &shared)))?;
        Ok(Self { server, state })
    }

    /// Server, for its addresses, faults and crashes.
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

    /// Publishes a version.
    pub fn set_latest(&self, version: u64) {
        self.state.latest.store(version, Ordering::Release);
    }

    /// Number of reads of weights answered.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.state.reads.load(Ordering::Acquire)
    }

    /// Number of reads of weights refused with 429.
    #[must_use]
    pub fn limited(&self) -> u64 {
        self.state.limited.load(Ordering::Acquire)
    }
}

fn answer(call: &HttpRequest, state: &StoreState) -> HttpResponse {
    let segments = call.segments();
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let latest = state.latest.load(Ordering::Acquire);
    match (call.method.as_str(), segments.as_slice()) {
        ("GET", ["weights", "latest"]) => HttpResponse::json(200, &LatestVersion { version: latest }),
        ("PUT", ["weights", "latest"]) => match serde_json::from_slice::<LatestVersion>(&call.body) {
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
    if !state.limit.take(1) {
        state.limited.fetch_add(1, Ordering::AcqRel);
        return HttpResponse::error(429, "too many reads");
    }
    state.reads.fetch_add(1, Ordering::AcqRel);
    HttpResponse::bytes(200, "application/octet-stream", state.content.clone())
}
