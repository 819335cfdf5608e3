//! Recent refusals of this host, for operators who are asked why a request failed.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use crate::generated::caller_messages::{RefusalList, RefusalRecord};
use crate::prelude::*;

/// Refusals that a host keeps; a flood of refusals pushes the oldest out.
const KEPT_REFUSALS: usize = 1000;

#[derive(Debug)]
struct KeptRefusal {
    request_id: RequestId,
    at: BootTime,
    code: ResultCode,
    organisation: OrganisationId,
    service: ServiceId,
}

/// The last refusals of this host.
#[derive(Debug, Default)]
pub struct RefusalLog {
    refusals: Mutex<VecDeque<KeptRefusal>>,
}

impl RefusalLog {
    /// Records one refusal.
    pub fn record(&self, request_id: &str, code: ResultCode, organisation: &str, service: &str, now: BootTime) {
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        if refusals.len() == KEPT_REFUSALS {
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

    /// Refusals kept, newest first.
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
