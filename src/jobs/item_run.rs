//! Runs one item on one target: sends the request, reads the event stream and appends the events to the output of the
//! item. The output outlives the run, so that the next run of the item resumes after the last event.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::entry::host_context::{HostContext, RunningRequest};
use crate::fleet::fleet_view::TargetEntry;
use crate::fleet::target_load::LoadTable;
use crate::jobs::item_scheduler::{IdleConnections, PlacementContext, RunOutcome, should_migrate};
use crate::jobs::job_record::{ItemSpec, JobHeader};
use crate::prelude::*;
use crate::relay::connection_pool::{Exchange, read_body};
use crate::relay::event_reader::{EventReader, StreamEvent};
use crate::relay::target_codec::{SendOptions, TargetRequest};
use crate::relay::target_relay::{SendRule, record_break, record_unreachable, send_to_target};
use crate::relay::target_response::ResponseKind;

/// Time for connecting and reading the prompt, in which the response may take longer than a pause between two events.
const RESPONSE_HEAD_MARGIN: Duration = Duration::from_millis(200);

/// Largest output of an item in bytes; a page of results holds about as much.
const MAX_OUTPUT_BYTES: usize = 1024 * 1024;

/// Number of events over which the pace of a run is measured.
const PACE_EVENTS: u32 = 6;

/// Largest body of an error response that is read so that the connection can be reused, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 16 * 1024;

/// Output of an item so far.
#[derive(Debug, Default)]
pub struct ItemProgress {
    /// Data of the events, in order.
    pub data: Vec<String>,
    /// Id of the last event; `None` while the output is empty.
    pub last_event: Option<u64>,
    /// Weight versions that generated the events, in order of their positions.
    pub version_spans: Vec<VersionSpan>,
    /// Software of the target that generated the first event, and so all; `None` while the output is empty.
    pub software: Option<SoftwareVersion>,
    /// Whether the target has sent the last event.
    pub is_complete: bool,
    /// How often an output of the item was dropped, to begin anew.
    pub restarts: u32,
}

/// Start of consecutive events that one weight version generated; the span ends where the next one starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSpan {
    /// Position of the first event in the output.
    pub from: usize,
    /// Version that the target named in the head of the response or in the stream.
    pub version: WeightVersion,
}

impl ItemProgress {
    /// Drops the output, so that the next run begins anew.
    pub fn restart(&mut self) {
        *self = Self { restarts: self.restarts + 1, ..Self::default() };
    }

    /// Appends an event; returns false and changes nothing when it has no id or does not follow the last event.
    pub fn append_event(&mut self, event: StreamEvent, version: Option<WeightVersion>) -> bool {
        let Some(id) = event.id else { return false };
        if self.last_event.is_some_and(|last| id != last + 1) {
            return false;
        }
        if let Some(version) = version {
            self.add_version_span(VersionSpan { from: self.data.len(), version });
        }
        self.last_event = Some(id);
        self.data.push(event.data);
        true
    }

    /// Records the weight version of the events from a position on, in the order of positions; ignored when the version
    /// is that of the events before.
    pub fn add_version_span(&mut self, span: VersionSpan) {
        if self.version_spans.last().is_none_or(|last| last.version != span.version) {
            self.version_spans.push(span);
        }
    }

    /// Weight versions that generated the output, sorted and without duplicates.
    #[must_use]
    pub fn versions(&self) -> Vec<WeightVersion> {
        let mut versions: Vec<WeightVersion> = self.version_spans.iter().map(|span| span.version).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Drops the events from position `length` on.
    pub fn truncate(&mut self, length: usize) {
        let dropped = self.data.len().saturating_sub(length) as u64;
        self.data.truncate(length);
        self.is_complete = false;
        self.version_spans.retain(|span| span.from < length);
        self.last_event = self.last_event.filter(|_| length > 0).map(|last| last.saturating_sub(dropped));
        self.software = self.software.take().filter(|_| length > 0);
    }
}

/// One run of an item on one target.
#[derive(Debug)]
pub struct ItemRun {
    /// Keeps the run counted as running on the target until it is dropped.
    pub running_request: RunningRequest,
    /// State that the tasks of this host share.
    pub context: Arc<HostContext>,
    /// Header of the job, as known when the run started.
    pub header: Arc<JobHeader>,
    /// Item as submitted; its id is the id of the request.
    pub item: ItemSpec,
    /// Target with a slot that is already counted for the run.
    pub target: TargetEntry,
    /// Time from the start of the run until the job expires, after which the output is of no use.
    pub time_left: Duration,
    /// Whether a single weight version must generate the whole output.
    pub is_single_version: bool,
    /// Time without a new event after which the run ends.
    pub pause_limit: Duration,
    /// Output of the item so far; the run resumes after its last event.
    pub progress: Arc<Mutex<ItemProgress>>,
}

impl ItemRun {
    /// Runs the item until the output is complete or the run ends early. Counts the outcome in the metrics, updates the
    /// load table when it tells something about the target, and logs a run that is not complete.
    pub async fn run(self) -> RunOutcome {
        let started = Instant::now();
        let was_cut = self.context.links.is_cut();
        let (outcome, event_count) = self.send_and_read().await;
        let is_link_cut = !was_cut && self.context.links.is_cut();
        let now = boot_time();
        let target = self.target.id.as_str();
        self.context.metrics.item_runs.with_label_values(&[outcome.name()]).inc();
        self.context.with_loads(|loads| match outcome {
            RunOutcome::Complete => loads.record_success(target, None),
            RunOutcome::Slow => loads.record_slow(target, now),
            RunOutcome::Refused => loads.record_full(target, now),
            // The stream broke off with the link, and not by a failure of the target.
            RunOutcome::Broken | RunOutcome::Stalled if is_link_cut => {}
            RunOutcome::Broken | RunOutcome::Stalled => loads.record_failure(target, now),
            RunOutcome::Misdirected | RunOutcome::Failed | RunOutcome::Rejected | RunOutcome::Impossible => {}
        });
        if outcome != RunOutcome::Complete {
            log::info!(
                job = self.header.job, item = self.item.id, target = target, domain = self.target.domain,
                software = self.target.software, end:? = outcome, events = event_count, resumed_after:? = self.last_event(),
                elapsed_ms = whole_millis(started.elapsed()),
                targets_age_ms = whole_millis(now.saturating_sub(self.context.view().targets_read_at));
                "item_run_ended"
            );
        }
        outcome
    }

    fn with_progress<T>(&self, work: impl FnOnce(&mut ItemProgress) -> T) -> T {
        work(&mut self.progress.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn last_event(&self) -> Option<u64> {
        self.with_progress(|progress| progress.last_event)
    }

    async fn send_and_read(&self) -> (RunOutcome, u32) {
        let options =
            SendOptions { target: &self.target.id, deadline: self.time_left, resume_after: self.last_event() };
        let Some(request) = self.build_request() else { return (RunOutcome::Impossible, 0) };
        let Ok(request) = (self.context.target_codec.encode)(&request, &options) else {
            return (RunOutcome::Impossible, 0);
        };
        let head_timeout = self.pause_limit + RESPONSE_HEAD_MARGIN;
        let sent = send_to_target(&self.context, &self.target, request, SendRule::ITEM);
        let sent = tokio::time::timeout(head_timeout, sent).await;
        let exchange = match sent {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(_)) => return (RunOutcome::Broken, 0),
            Err(_) => return (RunOutcome::Stalled, 0),
        };
        self.read_response(exchange).await
    }

    fn build_request(&self) -> Option<TargetRequest> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.item.headers {
            let (name, value) = (HeaderName::try_from(name).ok()?, HeaderValue::try_from(value).ok()?);
            headers.append(name, value);
        }
        Some(TargetRequest {
            method: Method::POST,
            path: self.item.path.clone(),
            host: self.header.caller_host.clone(),
            headers: (self.context.caller_codec.strip)(&headers),
            request_id: self.item.id.clone(),
            organisation: self.header.organisation.clone(),
            body: (self.context.caller_codec.decode_item_body)(&self.item.body)?.into(),
        })
    }

    async fn read_response(&self, exchange: Exchange) -> (RunOutcome, u32) {
        let Exchange { response, connection, is_reused } = exchange;
        let (head, mut body) = response.into_parts();
        let (target_head, kind) = self.context.read_head(&self.target, &head, &self.item.id, is_reused);
        if let Some(outcome) = outcome_of_head(kind, head.status, target_head.stamp.is_some()) {
            // The connection of a broken run is not used again.
            if outcome != RunOutcome::Broken
                && let Ok(Ok(_)) = tokio::time::timeout(self.pause_limit, read_body(body, MAX_ERROR_BODY_BYTES)).await
            {
                self.context.pool.give_back(connection, target_head.idle_limit);
            }
            return (outcome, 0);
        }
        let is_direct = connection.address() == self.target.address;
        let mut version = target_head.version;
        let is_framed = head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
        // The head names no version when no events are left to generate, as when the former run broke off after the
        // last event.
        if version.is_some() && !self.accept_version(version) {
            return (RunOutcome::Misdirected, 0);
        }
        let mut reader = EventReader::new();
        let mut event_count = 0;
        let mut measured_from = Instant::now();
        let mut output_bytes = self.with_progress(|progress| progress.data.iter().map(String::len).sum::<usize>());
        // Only whole events count as progress: a stalled target may still send comments or parts of an event.
        let mut stalls_at = tokio::time::Instant::now() + self.pause_limit;
        let mut last_event_at = boot_time();
        loop {
            let frame = match tokio::time::timeout_at(stalls_at, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if reader.is_at_boundary() => break,
                Ok(Some(Err(_)) | None) => {
                    self.record_lost_link(is_direct, last_event_at, "broken");
                    return (RunOutcome::Broken, event_count);
                }
                Err(_) => {
                    self.record_lost_link(is_direct, last_event_at, "silent");
                    return (RunOutcome::Stalled, event_count);
                }
            };
            let Some(data) = frame.data_ref() else { continue };
            let Ok(new_events) = reader.push(data, self.context.target_codec.version_line) else {
                return (RunOutcome::Broken, event_count);
            };
            if !new_events.is_empty() {
                stalls_at = tokio::time::Instant::now() + self.pause_limit;
                last_event_at = boot_time();
                if is_direct {
                    self.context.links.record_answer();
                }
            } else if tokio::time::Instant::now() >= stalls_at {
                // The timeout above never ends while frames are always ready.
                self.record_lost_link(is_direct, last_event_at, "silent");
                return (RunOutcome::Stalled, event_count);
            }
            for event in new_events {
                output_bytes += event.data.len();
                if output_bytes > MAX_OUTPUT_BYTES {
                    self.with_progress(ItemProgress::restart);
                    return (RunOutcome::Broken, event_count);
                }
                version = event.version.or(version);
                if !self.accept_version(version) {
                    return (RunOutcome::Misdirected, event_count);
                }
                let is_appended = self.with_progress(|progress| {
                    let is_appended = progress.append_event(event, version);
                    if is_appended && progress.software.is_none() {
                        progress.software = Some(self.target.software.clone());
                    }
                    is_appended
                });
                if !is_appended {
                    return (RunOutcome::Broken, event_count);
                }
                event_count += 1;
                if event_count == 1 {
                    // The time before the first event went into the prompt and is left out of the pace.
                    measured_from = Instant::now();
                } else if event_count % PACE_EVENTS == 1 {
                    let pace = measured_from.elapsed().as_secs_f64() / f64::from(PACE_EVENTS);
                    measured_from = Instant::now();
                    if self.check_pace(pace) {
                        return (RunOutcome::Slow, event_count);
                    }
                }
            }
        }
        // Every output has an event. A resumed run may have none left, but a body that ends with its connection is then no
        // different from one that was cut off after the head.
        let has_output = self.with_progress(|progress| !progress.data.is_empty());
        if event_count == 0 && !(has_output && is_framed) {
            return (RunOutcome::Broken, 0);
        }
        self.context.pool.give_back(connection, target_head.idle_limit);
        self.with_progress(|progress| progress.is_complete = true);
        (RunOutcome::Complete, event_count)
    }

    /// Records that a stream over a link of this host ended early.
    fn record_lost_link(&self, is_direct: bool, last_event_at: BootTime, reason: &str) {
        if is_direct {
            record_break(&self.context, &self.target);
            record_unreachable(&self.context, &self.target, last_event_at, reason);
        }
    }

    /// Records the pace of the target, in seconds per event; returns whether the run should migrate.
    fn check_pace(&self, pace: f64) -> bool {
        let view = self.context.view();
        // Runs migrate to warm targets only, so the cold rate is not needed.
        let idle_connections = IdleConnections::default();
        let placement_context = PlacementContext {
            idle_connections: &idle_connections,
            view: &view,
            service: &self.target.service,
            cold_rate: 0.0,
            domain: &self.context.settings.failure_domain,
            clock: self.context.share_clock(&view),
        };
        let header = &self.header;
        let allows_version = |target: &TargetEntry, loads: &LoadTable| {
            target.software == self.target.software && loads.allows_version(target, &header.model, header.least_version)
        };
        self.context.with_loads(|loads| {
            loads.record_pace(&self.target.id, pace);
            !self.is_single_version && should_migrate(pace, &self.target.id, &allows_version, loads, &placement_context)
        })
    }

    /// Records the weight version that the target showed; returns whether its events may be used. Events without a
    /// version may be used when the job names no model. Drops the output so far when it must come from a single version
    /// and this one differs.
    fn accept_version(&self, version: Option<WeightVersion>) -> bool {
        let Some(version) = version else { return self.header.model.is_empty() };
        let (target, model) = (self.target.id.as_str(), self.header.model.as_str());
        self.context.with_loads(|loads| loads.record_version(target, model, version));
        if version < self.header.least_version {
            return false;
        }
        if self.is_single_version {
            self.with_progress(|progress| {
                if progress.version_spans.first().is_some_and(|known| known.version != version) {
                    progress.restart();
                    return false;
                }
                true
            })
        } else {
            true
        }
    }
}

/// Outcome of a run whose response begins with this head; `None` when the output follows.
fn outcome_of_head(kind: ResponseKind, status: StatusCode, is_signed: bool) -> Option<RunOutcome> {
    match (kind, status) {
        (ResponseKind::Success, StatusCode::OK) => None,
        (ResponseKind::Success | ResponseKind::Invalid, _) => Some(RunOutcome::Broken),
        (ResponseKind::Misdirection, _) => Some(RunOutcome::Misdirected),
        (ResponseKind::Refusal, _) => Some(RunOutcome::Refused),
        // Without a signature, the rejection may come from elsewhere; another target may run the item.
        (ResponseKind::Failure, StatusCode::UNPROCESSABLE_ENTITY) if is_signed => Some(RunOutcome::Impossible),
        (ResponseKind::Failure, StatusCode::INTERNAL_SERVER_ERROR | StatusCode::UNPROCESSABLE_ENTITY) => {
            Some(RunOutcome::Failed)
        }
        (ResponseKind::Failure, _) => Some(RunOutcome::Rejected),
    }
}
