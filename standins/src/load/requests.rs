//! Sends one request, reads its answer and checks it.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use camphorspring::generated::caller_messages::CompletionAnswer;
use camphorspring::generated::engine_messages::{EnginePiece, EngineRequest};
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;

use super::client::{ConnectionPool, OpenAnswer};
use super::measures::{LoadMeasures, RequestEnd};
use super::options::LoadOptions;
use super::plan::{PlannedRequest, RequestKind};
use crate::engine::completion_text;

/// Longest time for one request.
const REQUEST_LIMIT: Duration = Duration::from_mins(2);

/// Everything that requests are sent to.
pub(super) struct LoadTarget {
    options: LoadOptions,
    hosts: Vec<ConnectionPool>,
    engine: Option<ConnectionPool>,
    plain: Option<ConnectionPool>,
    next_host: AtomicUsize,
    measures: Arc<LoadMeasures>,
}

/// End of a request with its latency: to the first piece of a stream, to the end of any other answer.
struct RequestOutcome {
    end: RequestEnd,
    measured: Instant,
}

impl RequestOutcome {
    fn now(end: RequestEnd) -> Self {
        Self { end, measured: Instant::now() }
    }
}

/// Text of a stream that is being read, event by event.
#[derive(Debug, Default)]
struct EventReader {
    line: Vec<u8>,
    text: String,
    is_done: bool,
}

impl LoadTarget {
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

    /// Sends a request and counts its end.
    pub(super) async fn run(&self, planned: PlannedRequest, due: Instant) {
        let result = tokio::time::timeout(REQUEST_LIMIT, self.send(&planned)).await;
        let outcome = match result {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => RequestOutcome::now(RequestEnd::Failed),
        };
        let latency = outcome.measured.saturating_duration_since(due);
        self.measures.add(planned.kind, planned.is_direct, outcome.end, latency);
    }

    async fn send(&self, planned: &PlannedRequest) -> io::Result<RequestOutcome> {
        let pool = self.choose_pool(planned).ok_or_else(|| io::Error::other("the URL is invalid"))?;
        let answer = pool.send(self.make_request(pool, planned)?).await?;
        if !(200..300).contains(&answer.status) {
            let status = answer.status;
            let body: serde_json::Value = serde_json::from_slice(&pool.read_all(answer).await?).unwrap_or_default();
            let code = body["code"].as_u64().and_then(|code| u16::try_from(code).ok());
            return Ok(RequestOutcome::now(RequestEnd::Refused(code.unwrap_or(status))));
        }
        match planned.kind {
            RequestKind::Completion if !planned.is_direct => read_completion(pool, answer, planned).await,
            RequestKind::Completion => read_stream(pool, answer, planned, |_| {}).await,
            RequestKind::Stream => self.read_held_stream(pool, answer, planned).await,
            RequestKind::Booking | RequestKind::Page => {
                pool.read_all(answer).await?;
                Ok(RequestOutcome::now(RequestEnd::Done))
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
        let name = format!("load-{}-{}", options.seed, planned.number);
        let (builder, body) = match planned.kind {
            RequestKind::Completion | RequestKind::Stream => {
                (pool.request("POST", "/v1/completions"), self.completion_body(planned, &name))
            }
            RequestKind::Booking => {
                let body = serde_json::json!({ "order": name }).to_string();
                (pool.request("POST", &options.booking_path).header("idempotency-key", name), body)
            }
            RequestKind::Page => (pool.request("GET", &options.page_path), String::new()),
        };
        let mut builder = builder.header("content-type", "application/json");
        if !planned.is_direct && planned.kind != RequestKind::Page {
            builder = builder.header("authorization", format!("Bearer {}", options.key));
        }
        builder.body(Full::new(Bytes::from(body))).map_err(io::Error::other)
    }

    fn completion_body(&self, planned: &PlannedRequest, name: &str) -> String {
        if planned.is_direct {
            let request = EngineRequest {
                request_id: name.to_owned(),
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

    async fn read_held_stream(
        &self,
        pool: &ConnectionPool,
        answer: OpenAnswer,
        planned: &PlannedRequest,
    ) -> io::Result<RequestOutcome> {
        let mut first = None;
        self.measures.open_stream();
        let result = read_stream(pool, answer, planned, |time| {
            first.get_or_insert(time);
        })
        .await;
        self.measures.close_stream();
        let outcome = result?;
        Ok(RequestOutcome { end: outcome.end, measured: first.unwrap_or(outcome.measured) })
    }
}

async fn read_completion(
    pool: &ConnectionPool,
    answer: OpenAnswer,
    planned: &PlannedRequest,
) -> io::Result<RequestOutcome> {
    let body = pool.read_all(answer).await?;
    let answer: CompletionAnswer = serde_json::from_slice(&body)?;
    let text: String = answer.choices.iter().map(|choice| choice.text.as_str()).collect();
    Ok(RequestOutcome::now(check_text(planned, &text)))
}

/// Reads a stream to its end; `on_piece` gets the time of each piece.
async fn read_stream(
    pool: &ConnectionPool,
    mut answer: OpenAnswer,
    planned: &PlannedRequest,
    mut on_piece: impl FnMut(Instant),
) -> io::Result<RequestOutcome> {
    let mut reader = EventReader::default();
    while let Some(data) = pool.read(&mut answer).await? {
        if reader.take(&data, planned.is_direct)? {
            on_piece(Instant::now());
        }
    }
    pool.keep(answer);
    let end = if reader.is_done { check_text(planned, &reader.text) } else { RequestEnd::Failed };
    Ok(RequestOutcome::now(end))
}

fn check_text(planned: &PlannedRequest, text: &str) -> RequestEnd {
    let count = u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX);
    let is_right = count > 0 && text == completion_text(&planned.prompt, planned.seed, 0, count.min(planned.tokens));
    if is_right { RequestEnd::Done } else { RequestEnd::Wrong }
}

impl EventReader {
    /// Takes bytes of the stream; `true` when they complete an event with text.
    fn take(&mut self, data: &[u8], is_engine: bool) -> io::Result<bool> {
        let mut has_text = false;
        for byte in data {
            if *byte != b'\n' {
                self.line.push(*byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            match line.strip_prefix(b"data: ") {
                Some(b"[DONE]") => self.is_done = true,
                Some(json) => has_text |= self.take_event(json, is_engine)?,
                None => {}
            }
        }
        Ok(has_text)
    }

    fn take_event(&mut self, json: &[u8], is_engine: bool) -> io::Result<bool> {
        let length = self.text.len();
        if is_engine {
            let piece: EnginePiece = serde_json::from_slice(json)?;
            self.text.push_str(&piece.text);
        } else {
            let event: CompletionAnswer = serde_json::from_slice(json)?;
            self.text.extend(event.choices.iter().map(|choice| choice.text.as_str()));
        }
        Ok(self.text.len() > length)
    }
}
