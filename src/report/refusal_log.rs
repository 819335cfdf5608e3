//! Recent requests of this host that were refused or failed, for operators who look for the reason.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use crate::generated::caller_messages::{RefusalList, RefusalRecord};
use crate::prelude::*;

/// Most refusals and failures that a host keeps; a further one replaces the oldest.
const MAX_KEPT_REFUSALS: usize = 1000;

#[derive(Debug)]
struct KeptRefusal {
    request_id: RequestId,
    at: BootTime,
    code: ResultCode,
    organisation: OrganisationId,
    service: ServiceId,
}

/// The last refusals and failures of this host; lost at a restart.
#[derive(Debug, Default)]
pub struct RefusalLog {
    refusals: Mutex<VecDeque<KeptRefusal>>,
}

impl RefusalLog {
    /// Records the refusal of a request, or its failure, at `now`.
    pub fn record(&self, request_id: &str, code: ResultCode, organisation: &str, service: &str, now: BootTime) {
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        if refusals.len() == MAX_KEPT_REFUSALS {
            refusals.pop_front();
        }
        refusals.push_back(KeptRefusal {
            request_id: request_id.to_owned(),
            at: now,
            code,
            organisation: organisation.to_owned(),
            service: service.to_owned(),
        });
    }

    /// Returns the refusals and failures that are kept, newest first, with their ages at `now`.
    #[must_use]
    pub fn list(&self, now: BootTime) -> RefusalList {
        let refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        let records = refusals.iter().rev().map(|refusal| RefusalRecord {
            request_id: refusal.request_id.clone(),
            age_ms: whole_millis(now.saturating_sub(refusal.at)),
            code: refusal.code.number(),
            name: refusal.code.entry().name.to_owned(),
            organisation: refusal.organisation.clone(),
            service: refusal.service.clone(),
        });
        RefusalList { refusals: records.collect() }
    }
}
