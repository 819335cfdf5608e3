//! One attempt to grade the output of an item: sends the grading request to a target of the plain service and takes the
//! score from the response.

use std::time::Instant;

use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};

use crate::entry::host_context::{HostContext, RunningRequest};
use crate::fleet::fleet_view::TargetEntry;
use crate::jobs::grading_queue::GradingOutcome;
use crate::jobs::job_record::GradingSpec;
use crate::prelude::*;
use crate::relay::connection_pool::{Exchange, read_body};
use crate::relay::target_codec::{SendOptions, TargetRequest};
use crate::relay::target_relay::{SendRule, send_to_target};
use crate::relay::target_response::ResponseKind;

/// Largest response body that is read, in bytes; a larger one counts as lost.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// One attempt to grade an output on one target.
#[derive(Debug)]
pub struct GradingRun {
    /// Keeps the attempt counted as running on the target until it is dropped.
    pub running_request: RunningRequest,
    /// State that the tasks of this host share.
    pub context: Arc<HostContext>,
    /// Id of the job, for the log.
    pub job: JobId,
    /// Request to send.
    pub grading: GradingSpec,
    /// Target with a slot that is already counted for the attempt.
    pub target: TargetEntry,
    /// Time after which the attempt counts as lost.
    pub timeout: Duration,
}

impl GradingRun {
    /// Runs the attempt. Counts the outcome in the metrics, updates the load table when it tells something about the
    /// target, and logs an attempt without a score.
    pub async fn run(self) -> GradingOutcome {
        let started = Instant::now();
        let outcome = tokio::time::timeout(self.timeout, self.send_and_read()).await.unwrap_or(GradingOutcome::Lost);
        let (now, elapsed) = (boot_time(), started.elapsed());
        let target = self.target.id.as_str();
        let metrics = &self.context.metrics;
        metrics.gradings.with_label_values(&[outcome.name()]).inc();
        metrics.grading_seconds.observe(elapsed.as_secs_f64());
        self.context.with_loads(|loads| match outcome {
            // Gradings take longer than the requests of callers and are left out of the pace.
            GradingOutcome::Graded(_) => loads.record_success(target, None),
            GradingOutcome::Refused => loads.record_full(target, now),
            GradingOutcome::Lost => loads.record_failure(target, now),
            GradingOutcome::Failed | GradingOutcome::Impossible => {}
        });
        if !matches!(outcome, GradingOutcome::Graded(_)) {
            log::info!(
                job = self.job, request = self.grading.id, target = target, domain = self.target.domain,
                end = outcome.name(), elapsed_ms = whole_millis(elapsed),
                targets_age_ms = whole_millis(now.saturating_sub(self.context.view().targets_read_at));
                "grading_ended"
            );
        }
        outcome
    }

    async fn send_and_read(&self) -> GradingOutcome {
        let Some(body) = (self.context.caller_codec.decode_item_body)(&self.grading.body) else {
            return GradingOutcome::Impossible;
        };
        let request = TargetRequest {
            method: Method::POST,
            path: self.grading.path.clone(),
            host: self.grading.host.clone(),
            headers: HeaderMap::new(),
            request_id: self.grading.id.clone(),
            organisation: None,
            body: body.into(),
        };
        let options = SendOptions { target: &self.target.id, deadline: self.timeout, resume_after: None };
        let Ok(request) = (self.context.target_codec.encode)(&request, &options) else {
            return GradingOutcome::Impossible;
        };
        match send_to_target(&self.context, &self.target, request, SendRule::REPEATED).await {
            Ok(exchange) => self.read_response(exchange).await,
            Err(_) => GradingOutcome::Lost,
        }
    }

    /// Reads the whole response. The score counts only when the response names the request and is complete, since an
    /// earlier response may arrive late on a connection that was in use before.
    async fn read_response(&self, exchange: Exchange) -> GradingOutcome {
        let Exchange { response, connection, .. } = exchange;
        let (head, body) = response.into_parts();
        let (target_head, kind) = self.context.read_head(&self.target, &head, &self.grading.id, true);
        if kind == ResponseKind::Invalid {
            return GradingOutcome::Lost;
        }
        if read_body(body, MAX_BODY_BYTES).await.is_err() {
            return GradingOutcome::Lost;
        }
        self.context.pool.give_back(connection, target_head.idle_limit);
        match (kind, target_head.stamp) {
            (ResponseKind::Refusal | ResponseKind::Misdirection, _) => GradingOutcome::Refused,
            (ResponseKind::Success, Some(score)) => GradingOutcome::Graded(score),
            (ResponseKind::Failure, _) if head.status == StatusCode::INTERNAL_SERVER_ERROR => GradingOutcome::Failed,
            _ => GradingOutcome::Lost,
        }
    }
}
