//! Options of the load.

use std::str::FromStr;
use std::time::Duration;

/// Weights of the kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestMix {
    /// Completions with a whole answer.
    pub completions: u32,
    /// Streamed completions.
    pub streams: u32,
    /// Bookings.
    pub bookings: u32,
    /// Pages on an open route.
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

/// Options of the load.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Caller URLs of hosts, used in turn.
    pub hosts: Vec<String>,
    /// Key of an organisation.
    pub key: String,
    /// Engine to ask directly.
    pub direct_engine: Option<String>,
    /// Plain service to ask directly.
    pub direct_plain: Option<String>,
    /// Model of the completions.
    pub model: String,
    /// Path of bookings.
    pub booking_path: String,
    /// Path of pages.
    pub page_path: String,
    /// Requests per second.
    pub rate: f64,
    /// Most requests at one time.
    pub concurrency: usize,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Kinds of requests.
    pub mix: RequestMix,
    /// Tokens of a completion.
    pub tokens: u32,
    /// Tokens of a stream.
    pub stream_tokens: u32,
    /// Length of a prompt in bytes.
    pub prompt_bytes: usize,
    /// One in this number of requests is sent directly.
    pub direct_every: u32,
    /// Processes whose memory and CPU is reported.
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
