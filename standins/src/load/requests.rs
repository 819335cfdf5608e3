//! Sends requests, reads their responses, checks generated text and records the outcomes.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use camphorspring::generated::caller_messages::CompletionAnswer;
use camphorspring::generated::engine_messages::{EnginePiece, EngineRequest};
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;

use super::client::{ConnectionPool, OpenResponse};
use super::measures::{LoadMeasures, RequestOutcome};
use super::options::LoadOptions;
use super::plan::{PlannedRequest, RequestKind};
use crate::engine::completion_text;

/// Timeout of one request, from its start to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(2);

/// Sends planned requests to the hosts, or directly to the engine or plain service, and records how they end.
pub(super) struct RequestSender {
    options: LoadOptions,
    hosts: Vec<ConnectionPool>,
    engine: Option<ConnectionPool>,
    plain: Option<ConnectionPool>,
    next_host: AtomicUsize,
    measures: Arc<LoadMeasures>,
}

/// Outcome of a request, and the time at which the measurement of its latency ended.
struct TimedOutcome {
    outcome: RequestOutcome,
    /// Time of the first event with text of a [`RequestKind::Stream`]; end of the request for other kinds and for
    /// streams without text.
    measured_at: Instant,
}

impl TimedOutcome {
    fn now(outcome: RequestOutcome) -> Self {
        Self { outcome, measured_at: Instant::now() }
    }
}

/// Parser of a stream of server-sent events, which collects the generated text.
#[derive(Debug, Default)]
struct EventParser {
    /// Current line up to now.
    line: Vec<u8>,
    /// Text of all events up to now.
    text: String,
    /// Whether the final `[DONE]` was read.
    is_done: bool,
}

impl RequestSender {
    pub(super) fn new(options: &LoadOptions, measures: Arc<LoadMeasures>) -> io::Result<Self> {
        let pool = |url: &String| ConnectionPool::new(url);
        Ok(Self {
            hosts: options.hosts.iter().map(pool).collect::<io::Result<_>>()?,
            engine: options.direct_engine.as_ref().map(pool).transpose()?,
            plain: options.direct_plain.as_ref().map(pool).transpose()?,
            next_host: AtomicUsize::new(0),
            measures,
            options: options.clone(),
        })
    }

    pub(super) fn measures(&self) -> &LoadMeasures {
        &self.measures
    }

    /// Sends a request, reads the response and records the outcome; `due` is the start of the latency.
    pub(super) async fn run_request(&self, planned: PlannedRequest, due: Instant) {
        let result = tokio::time::timeout(REQUEST_TIMEOUT, self.send(&planned)).await;
        let timed_outcome = match result {
            Ok(Ok(timed_outcome)) => timed_outcome,
            Ok(Err(_)) | Err(_) => TimedOutcome::now(RequestOutcome::Failed),
        };
        let latency = timed_outcome.measured_at.saturating_duration_since(due);
        self.measures.record_request(planned.kind, planned.is_direct, timed_outcome.outcome, latency);
    }

    async fn send(&self, planned: &PlannedRequest) -> io::Result<TimedOutcome> {
        let pool = self.choose_pool(planned).ok_or_else(|| io::Error::other("no URL for this request"))?;
        let response = pool.send(self.make_request(pool, planned)?).await?;
        if !(200..300).contains(&response.status) {
            let status = response.status;
            let error_body: serde_json::Value =
                serde_json::from_slice(&pool.read_all(response).await?).unwrap_or_default();
            let code = error_body["code"].as_u64().and_then(|code| u16::try_from(code).ok());
            return Ok(TimedOutcome::now(RequestOutcome::Refused(code.unwrap_or(status))));
        }
        match planned.kind {
            RequestKind::Completion if !planned.is_direct => read_completion(pool, response, planned).await,
            RequestKind::Completion => read_stream(pool, response, planned, |_| {}).await,
            RequestKind::Stream => self.read_counted_stream(pool, response, planned).await,
            RequestKind::Booking | RequestKind::Page => {
                pool.read_all(response).await?;
                Ok(TimedOutcome::now(RequestOutcome::Done))
            }
        }
    }

    fn choose_pool(&self, planned: &PlannedRequest) -> Option<&ConnectionPool> {
        if planned.is_direct {
            return match planned.kind {
                RequestKind::Completion | RequestKind::Stream => self.engine.as_ref(),
                RequestKind::Booking | RequestKind::Page => self.plain.as_ref(),
            };
        }
        let next = self.next_host.fetch_add(1, Ordering::Relaxed);
        self.hosts.get(next % self.hosts.len().max(1))
    }

    fn make_request(&self, pool: &ConnectionPool, planned: &PlannedRequest) -> io::Result<Request<Full<Bytes>>> {
        let options = &self.options;
        let request_id = format!("load-{}-{}", options.seed, planned.number);
        let (builder, body) = match planned.kind {
            RequestKind::Completion | RequestKind::Stream => {
                (pool.request_builder("POST", "/v1/completions"), self.make_completion_body(planned, &request_id))
            }
            RequestKind::Booking => {
                let body = serde_json::json!({ "order": request_id }).to_string();
                (pool.request_builder("POST", &options.booking_path).header("idempotency-key", request_id), body)
            }
            RequestKind::Page => (pool.request_builder("GET", &options.page_path), String::new()),
        };
        let mut builder = builder.header("content-type", "application/json");
        if !planned.is_direct && planned.kind != RequestKind::Page {
            builder = builder.header("authorization", format!("Bearer {}", options.key));
        }
        builder.body(Full::new(Bytes::from(body))).map_err(io::Error::other)
    }

    fn make_completion_body(&self, planned: &PlannedRequest, request_id: &str) -> String {
        if planned.is_direct {
            let request = EngineRequest {
                request_id: request_id.to_owned(),
                model: self.options.model.clone(),
                prompt: planned.prompt.clone(),
                max_tokens: planned.tokens,
                seed: planned.seed,
                resume_text: String::new(),
                resume_tokens: 0,
                kv_handle: None,
            };
            return serde_json::to_string(&request).unwrap_or_default();
        }
        let body = serde_json::json!({
            "model": self.options.model, "prompt": planned.prompt, "max_tokens": planned.tokens,
            "seed": planned.seed, "stream": planned.kind == RequestKind::Stream,
        });
        body.to_string()
    }

    /// Reads a stream, which counts as open meanwhile.
    async fn read_counted_stream(
        &self,
        pool: &ConnectionPool,
        response: OpenResponse,
        planned: &PlannedRequest,
    ) -> io::Result<TimedOutcome> {
        let mut first_text_at = None;
        self.measures.record_stream_start();
        let result = read_stream(pool, response, planned, |time| {
            first_text_at.get_or_insert(time);
        })
        .await;
        self.measures.record_stream_end();
        let timed_outcome = result?;
        Ok(TimedOutcome {
            outcome: timed_outcome.outcome,
            measured_at: first_text_at.unwrap_or(timed_outcome.measured_at),
        })
    }
}

async fn read_completion(
    pool: &ConnectionPool,
    response: OpenResponse,
    planned: &PlannedRequest,
) -> io::Result<TimedOutcome> {
    let body = pool.read_all(response).await?;
    let completion: CompletionAnswer = serde_json::from_slice(&body)?;
    let text: String = completion.choices.iter().map(|choice| choice.text.as_str()).collect();
    Ok(TimedOutcome::now(check_text(planned, &text)))
}

/// Reads a stream to its end. `on_text` gets the time of each read that completed an event with text. A stream that
/// ends without `[DONE]` has failed.
async fn read_stream(
    pool: &ConnectionPool,
    mut response: OpenResponse,
    planned: &PlannedRequest,
    mut on_text: impl FnMut(Instant),
) -> io::Result<TimedOutcome> {
    let mut parser = EventParser::default();
    while let Some(data) = pool.read(&mut response).await? {
        if parser.push_bytes(&data, planned.is_direct)? {
            on_text(Instant::now());
        }
    }
    pool.release(response);
    let outcome = if parser.is_done { check_text(planned, &parser.text) } else { RequestOutcome::Failed };
    Ok(TimedOutcome::now(outcome))
}

/// Checks that the text starts as the engine stand-in generates it for the prompt and seed. Any number of words from 1
/// to the token limit is right.
fn check_text(planned: &PlannedRequest, text: &str) -> RequestOutcome {
    let count = u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX);
    let is_right = count > 0 && text == completion_text(&planned.prompt, planned.seed, 0, count.min(planned.tokens));
    if is_right { RequestOutcome::Done } else { RequestOutcome::Wrong }
}

impl EventParser {
    /// Parses the next bytes of the stream; returns whether they complete an event with text. Events of an engine have
    /// another format than those of a host. Fails if an event is not valid JSON of this format.
    fn push_bytes(&mut self, data: &[u8], is_engine_stream: bool) -> io::Result<bool> {
        let mut has_text = false;
        for byte in data {
            if *byte != b'\n' {
                self.line.push(*byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            match line.strip_prefix(b"data: ") {
                Some(b"[DONE]") => self.is_done = true,
                Some(json) => has_text |= self.parse_event(json, is_engine_stream)?,
                None => {}
            }
        }
        Ok(has_text)
    }

    /// Appends the text of an event; returns whether it had any.
    fn parse_event(&mut self, json: &[u8], is_engine_stream: bool) -> io::Result<bool> {
        let length = self.text.len();
        if is_engine_stream {
            let piece: EnginePiece = serde_json::from_slice(json)?;
            self.text.push_str(&piece.text);
        } else {
            let event: CompletionAnswer = serde_json::from_slice(json)?;
            self.text.extend(event.choices.iter().map(|choice| choice.text.as_str()));
        }
        Ok(self.text.len() > length)
    }
}
