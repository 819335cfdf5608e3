//! Runs one item on one target and keeps what it has produced.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::entry::host_context::{HostContext, RunningRequest};
use crate::fleet::fleet_view::TargetEntry;
use crate::fleet::target_load::LoadTable;
use crate::jobs::job_plan::{IdleConnections, PlacementContext, RunOutcome, should_migrate};
use crate::jobs::job_record::{ItemSpec, JobHeader};
use crate::prelude::*;
use crate::relay::connection_pool::{Exchange, ExchangeError, read_body};
use crate::relay::event_reader::{EventReader, StreamEvent};
use crate::relay::target_codec::{SendOptions, TargetRequest};

/// Longest wait for the head of an answer. Runs are only sent to free slots, where they start within milliseconds.
const HEAD_LIMIT: Duration = Duration::from_millis(1200);

/// Longest silence within a stream: many times the gap between events, also at a slow engine.
const GAP_LIMIT: Duration = Duration::from_secs(1);

/// Events over which the pace of a run is measured.
const PACE_EVENTS: u32 = 6;

/// Largest body of a failure that is read to keep its connection, in bytes.
const FAILURE_BODY: usize = 16 * 1024;

/// Output of an item so far.
#[derive(Debug, Default)]
pub struct ItemProgress {
    /// Data of the events, in order.
    pub data: Vec<String>,
    /// Id of the last event.
    pub last_event: Option<u64>,
    /// Versions of the weights, each with the position of the first event that it generated.
    pub version_runs: Vec<VersionRun>,
}

/// A version of the weights and the first event that it generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRun {
    /// Position in the output.
    pub from: usize,
    /// Version.
    pub version: WeightVersion,
}

impl ItemProgress {
    /// Adds the next event; returns false for one that does not follow the last one.
    pub fn add(&mut self, event: StreamEvent, version: Option<WeightVersion>) -> bool {
        let Some(id) = event.id else { return false };
        if self.last_event.is_some_and(|last| id != last + 1) {
            return false;
        }
        if let Some(version) = version {
            self.note_version(VersionRun { from: self.data.len(), version });
        }
        self.last_event = Some(id);
        self.data.push(event.data);
        true
    }

    /// Adds a version that generated the events from a position on.
    pub fn note_version(&mut self, run: VersionRun) {
        if self.version_runs.last().is_none_or(|last| last.version != run.version) {
            self.version_runs.push(run);
        }
    }

    /// Versions of the weights that generated the output, sorted.
    #[must_use]
    pub fn versions(&self) -> Vec<WeightVersion> {
        let mut versions: Vec<WeightVersion> = self.version_runs.iter().map(|run| run.version).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Drops the events from a position on.
    pub fn truncate(&mut self, length: usize) {
        let dropped = self.data.len().saturating_sub(length) as u64;
        self.data.truncate(length);
        self.version_runs.retain(|run| run.from < length);
        self.last_event = self.last_event.filter(|_| length > 0).map(|last| last.saturating_sub(dropped));
    }
}

/// What a run needs.
#[derive(Debug)]
pub struct ItemRun {
    /// Count of the run.
    pub running: RunningRequest,
    /// Shared parts.
    pub context: Arc<HostContext>,
    /// Header of the job.
    pub header: Arc<JobHeader>,
    /// Item.
    pub item: ItemSpec,
    /// Target.
    pub target: TargetEntry,
    /// Time after which the output is of no use.
    pub deadline: Duration,
    /// Whether all of the output must come from one version.
    pub is_single_version: bool,
    /// Output so far.
    pub progress: Arc<Mutex<ItemProgress>>,
}

impl ItemRun {
    /// Runs the item until it ends or the target fails.
    pub async fn run(self) -> RunOutcome {
        let started = Instant::now();
        let (end, events) = self.run_counted().await;
        let now = boot_time();
        let target = self.target.id.as_str();
        self.context.metrics.item_runs.with_label_values(&[end.name()]).inc();
        self.context.with_loads(|loads| match end {
            RunOutcome::Complete => loads.record_success(target, None),
            RunOutcome::Slow => loads.record_slow(target, now),
            RunOutcome::Refused => loads.record_full(target, now),
            RunOutcome::Broken => loads.record_failure(target, now),
            RunOutcome::Misdirected | RunOutcome::Failed | RunOutcome::Impossible => {}
        });
        if end != RunOutcome::Complete {
            log::info!(
                job = self.header.job, item = self.item.id, target = target, domain = self.target.domain,
                end:? = end, events = events, resumed_after:? = self.last_event(),
                elapsed_ms = whole_millis(started.elapsed()),
                targets_age_ms = whole_millis(now.saturating_sub(self.context.view().targets_read_at));
                "item_run_ended"
            );
        }
        end
    }

    fn with_progress<T>(&self, work: impl FnOnce(&mut ItemProgress) -> T) -> T {
        work(&mut self.progress.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn last_event(&self) -> Option<u64> {
        self.with_progress(|progress| progress.last_event)
    }

    async fn run_counted(&self) -> (RunOutcome, u32) {
        let terms = SendOptions { target: &self.target.id, deadline: self.deadline, resume_after: self.last_event() };
        let Some(request) = self.request() else { return (RunOutcome::Impossible, 0) };
        let Ok(request) = (self.context.target_codec.encode)(&request, &terms) else {
            return (RunOutcome::Impossible, 0);
        };
        let sent = tokio::time::timeout(HEAD_LIMIT, self.context.pool.send(self.target.address, request)).await;
        let exchange = match sent {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(ExchangeError::NotConnected | ExchangeError::Broken)) | Err(_) => return (RunOutcome::Broken, 0),
        };
        self.read_answer(exchange).await
    }

    fn request(&self) -> Option<TargetRequest> {
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
            body: (self.context.caller_codec.decode_item_body)(&self.item.body)?,
        })
    }

    async fn read_answer(&self, exchange: Exchange) -> (RunOutcome, u32) {
        let Exchange { response, connection } = exchange;
        let (head, mut body) = response.into_parts();
        let decoded = (self.context.target_codec.decode)(&head);
        if decoded.request_id.as_deref().is_some_and(|id| id != self.item.id) {
            return (RunOutcome::Broken, 0);
        }
        if head.status != StatusCode::OK || decoded.is_not_run {
            let end = match head.status {
                _ if decoded.is_misdirected => RunOutcome::Misdirected,
                _ if decoded.is_not_run => RunOutcome::Refused,
                StatusCode::UNPROCESSABLE_ENTITY => RunOutcome::Impossible,
                _ => RunOutcome::Failed,
            };
            if read_body(body, FAILURE_BODY).await.is_ok() {
                self.context.pool.give_back(connection, decoded.idle_limit);
            }
            return (end, 0);
        }
        let mut version = decoded.version;
        // Without events left to generate, as after a break at the very end, the head names no version.
        if version.is_some() && !self.accepts(version) {
            return (RunOutcome::Misdirected, 0);
        }
        let mut reader = EventReader::new();
        let mut events = 0;
        let mut measured_from = Instant::now();
        loop {
            let frame = match tokio::time::timeout(GAP_LIMIT, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if reader.is_at_boundary() => break,
                Ok(Some(Err(_)) | None) | Err(_) => return (RunOutcome::Broken, events),
            };
            let Some(data) = frame.data_ref() else { continue };
            let Ok(complete) = reader.push(data, self.context.target_codec.version_line) else {
                return (RunOutcome::Broken, events);
            };
            for event in complete {
                version = event.version.or(version);
                if !self.accepts(version) {
                    return (RunOutcome::Misdirected, events);
                }
                if !self.with_progress(|progress| progress.add(event, version)) {
                    return (RunOutcome::Broken, events);
                }
                events += 1;
                if events == 1 {
                    // The time to the first event is that of the prompt.
                    measured_from = Instant::now();
                } else if events % PACE_EVENTS == 1 {
                    let pace = measured_from.elapsed().as_secs_f64() / f64::from(PACE_EVENTS);
                    measured_from = Instant::now();
                    if self.is_too_slow(pace) {
                        return (RunOutcome::Slow, events);
                    }
                }
            }
        }
        self.context.pool.give_back(connection, decoded.idle_limit);
        (RunOutcome::Complete, events)
    }

    /// Records the pace of the target; returns whether the run should go on elsewhere.
    fn is_too_slow(&self, pace: f64) -> bool {
        let view = self.context.view();
        let hosts: Vec<&str> = Vec::new();
        let idle = IdleConnections::default();
        let plan_context = PlacementContext {
            idle: &idle,
            view: &view,
            service: &self.target.service,
            cold_rate: 0.0,
            host: &self.context.settings.host,
            domain: &self.context.settings.failure_domain,
            hosts: &hosts,
            now: boot_time(),
        };
        let header = &self.header;
        let allows =
            |target: &TargetEntry, loads: &LoadTable| loads.allows_version(target, &header.model, header.least_version);
        self.context.with_loads(|loads| {
            loads.record_pace(&self.target.id, pace);
            !self.is_single_version && should_migrate(pace, &self.target.id, &allows, loads, &plan_context)
        })
    }

    /// Whether an event of this version may be used; also remembers what the target has.
    fn accepts(&self, version: Option<WeightVersion>) -> bool {
        let Some(version) = version else { return self.header.model.is_empty() };
        let (target, model) = (self.target.id.as_str(), self.header.model.as_str());
        self.context.with_loads(|loads| loads.record_version(target, model, version));
        if version < self.header.least_version {
            return false;
        }
        if self.is_single_version {
            self.with_progress(|progress| {
                if progress.version_runs.first().is_some_and(|known| known.version != version) {
                    *progress = ItemProgress::default();
                    return false;
                }
                true
            })
        } else {
            true
        }
    }
}
