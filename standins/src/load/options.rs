//! Options of the load tool, and the parser of the request mix.

use std::str::FromStr;
use std::time::Duration;

/// Relative frequency of each kind of request; at least one is above 0 when parsed from text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestMix {
    /// Weight of completions with one whole response.
    pub completions: u32,
    /// Weight of streamed completions.
    pub streams: u32,
    /// Weight of bookings, which must not be repeated.
    pub bookings: u32,
    /// Weight of pages on a route that needs no key.
    pub pages: u32,
}

impl FromStr for RequestMix {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const ALLOWED: &str = "allowed: four weights such as 60,20,10,10, not all of them 0";
        let weights: Vec<u32> = text.split(',').map(str::parse).collect::<Result<_, _>>().map_err(|_| ALLOWED)?;
        match weights.as_slice() {
            [completions, streams, bookings, pages] if weights.iter().any(|weight| *weight > 0) => {
                Ok(Self { completions: *completions, streams: *streams, bookings: *bookings, pages: *pages })
            }
            _ => Err(ALLOWED),
        }
    }
}

/// Destinations, rate and requests of a run.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Caller URLs of hosts, used in round-robin order; at least one.
    pub hosts: Vec<String>,
    /// Organisation key that is sent as bearer token, except with pages and direct requests.
    pub key: String,
    /// URL of an engine for direct completions and streams; `None` sends all of them through hosts.
    pub direct_engine: Option<String>,
    /// URL of a plain service for direct bookings and pages; `None` sends all of them through hosts.
    pub direct_plain: Option<String>,
    /// Model that completions and streams ask for.
    pub model: String,
    /// Path to which bookings are posted.
    pub booking_path: String,
    /// Path from which pages are read.
    pub page_path: String,
    /// Mean number of requests per second; values below 0.001 count as 0.001.
    pub rate: f64,
    /// Highest number of concurrent requests; 0 counts as 1.
    pub concurrency: usize,
    /// Period in which requests become due.
    pub duration: Duration,
    /// Seed from which the requests and their times are planned.
    pub seed: u64,
    /// Weights from which the kind of each request is drawn.
    pub mix: RequestMix,
    /// Token limit of a completion.
    pub tokens: u32,
    /// Token limit of a stream.
    pub stream_tokens: u32,
    /// Approximate length of a prompt in bytes.
    pub prompt_bytes: usize,
    /// One in this many requests goes directly to a target on average, where a URL for it is given; 0 counts as 1.
    pub direct_every: u32,
    /// Ids of the processes whose memory and CPU usage is reported.
    pub pids: Vec<u32>,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            hosts: Vec::new(),
            key: String::new(),
            direct_engine: None,
            direct_plain: None,
            model: "pile-readiness".to_owned(),
            booking_path: "/desk/bookings".to_owned(),
            page_path: "/track/parcels/4711".to_owned(),
            rate: 50.0,
            concurrency: 64,
            duration: Duration::from_secs(10),
            seed: 1,
            mix: RequestMix { completions: 60, streams: 20, bookings: 10, pages: 10 },
            tokens: 16,
            stream_tokens: 64,
            prompt_bytes: 256,
            direct_every: 4,
            pids: Vec::new(),
        }
    }
}
