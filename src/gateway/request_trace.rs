//! What is recorded about one request when it ends: one log line, metrics and the objective.

use crate::gateway::Gateway;
use crate::prelude::*;

/// A request whose end is recorded once.
pub struct RequestTrace {
    gateway: Arc<Gateway>,
    /// Id in the answer and in every log line.
    pub request_id: RequestId,
    /// Organisation; empty until it is known, and on open routes.
    pub organisation: OrganisationId,
    /// Service; empty until it is known.
    pub service: ServiceId,
    started_at: BootTime,
    is_finished: bool,
}

impl RequestTrace {
    /// Trace of a request that started at `started_at`.
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

    /// The same trace, handed to the thread that finishes a streamed answer.
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

    /// Records the end of the request.
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
        self.gateway.metrics.note_request(&self.service, &self.organisation, code, latency);
        self.count_objective(code, status, latency);
        if code != ResultCode::Done {
            let now = self.gateway.now();
            self.gateway.parts.refusals.record(&self.request_id, code, &self.organisation, &self.service, now);
        }
    }

    fn count_objective(&self, code: ResultCode, status: u16, latency: Duration) {
        let view = self.gateway.view();
        let Some(service) = view.configuration.service(&self.service) else { return };
        // Refusals for the caller's own mistakes say nothing about the service; a full queue does.
        let is_callers_fault = (400..500).contains(&status) && status != 429;
        if is_callers_fault {
            return;
        }
        let Some(objective) = &service.objective else { return };
        let limit = Duration::from_millis(objective.latency_ms.into());
        let is_good = code == ResultCode::Done && status < 500 && latency <= limit;
        let now = self.gateway.now();
        self.gateway.parts.objectives.record(&self.service, &self.organisation, objective, is_good, now);
    }
}
