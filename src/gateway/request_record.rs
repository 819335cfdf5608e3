//! Record of one request, written when the request ends: a log line, metrics, the objective and the refusal log.

use crate::gateway::Gateway;
use crate::prelude::*;

/// What is known about a request; [`RequestRecord::finish`] reports it once.
pub struct RequestRecord {
    gateway: Arc<Gateway>,
    /// Id in the `x-request-id` header of the response; log lines of a run have the run's own id.
    pub request_id: RequestId,
    /// Organisation of the caller; empty until the key is checked, and on open routes.
    pub organisation: OrganisationId,
    /// Service that the request asks for; empty until it is found, and on routes without a service.
    pub service: ServiceId,
    started_at: BootTime,
    is_finished: bool,
}

impl RequestRecord {
    /// Creates an unfinished record; the latency counts from `started_at`.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, request_id: &str, started_at: BootTime) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            request_id: request_id.to_owned(),
            organisation: OrganisationId::new(),
            service: ServiceId::new(),
            started_at,
            is_finished: false,
        }
    }

    /// Returns a copy for the thread that writes a streamed response, and marks this record as finished.
    #[must_use]
    pub fn hand_over(&mut self) -> Self {
        self.is_finished = true;
        Self {
            gateway: Arc::clone(&self.gateway),
            request_id: self.request_id.clone(),
            organisation: self.organisation.clone(),
            service: self.service.clone(),
            started_at: self.started_at,
            is_finished: false,
        }
    }

    /// Reports the end of the request; later calls do nothing.
    ///
    /// `status` differs from the HTTP status that was sent when a stream fails or the caller has left.
    pub fn finish(&mut self, code: ResultCode, status: u16) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let latency = self.gateway.now().saturating_sub(self.started_at);
        log::info!(
            request_id = self.request_id.as_str(), organisation = self.organisation.as_str(),
            service = self.service.as_str(), code = code.number(), status = status,
            latency_ms = whole_millis(latency);
            "request_finished"
        );
        self.gateway.metrics.record_request(&self.service, &self.organisation, code, latency);
        self.record_objective(code, status, latency);
        if code != ResultCode::Done {
            let now = self.gateway.now();
            self.gateway.dependencies.refusals.record(&self.request_id, code, &self.organisation, &self.service, now);
        }
    }

    fn record_objective(&self, code: ResultCode, status: u16, latency: Duration) {
        let view = self.gateway.view();
        let Some(service) = view.configuration.service(&self.service) else { return };
        // A 4xx status is the caller's error and does not count, except 429: the queue of the service is full.
        let is_caller_error = (400..500).contains(&status) && status != 429;
        if is_caller_error {
            return;
        }
        let Some(objective) = &service.objective else { return };
        let max_latency = Duration::from_millis(objective.latency_ms.into());
        let is_good = code == ResultCode::Done && status < 500 && latency <= max_latency;
        let now = self.gateway.now();
        self.gateway.dependencies.objectives.record(&self.service, &self.organisation, objective, is_good, now);
    }
}
