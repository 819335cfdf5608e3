//! Target orders and usage reports as they arrived.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorspring::generated::platform_messages::{OrderAnswer, TargetOrder, UsageReport};
use serde::{Deserialize, Serialize};

use crate::faults::millis;
use crate::server::HttpResponse;

/// One target order as it arrived.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Time since the platform started in milliseconds.
    pub arrived_ms: u64,
    /// Whether it was accepted.
    pub accepted: bool,
    /// Highest epoch of the failure domain before this order.
    pub highest_epoch: u64,
    /// The order.
    pub order: TargetOrder,
}

/// Target orders and the highest epoch of each failure domain.
#[derive(Debug, Default)]
pub(super) struct OrderIntake {
    highest: BTreeMap<String, u64>,
    records: Vec<OrderRecord>,
}

impl OrderIntake {
    pub(super) fn records(&self) -> &[OrderRecord] {
        &self.records
    }

    pub(super) fn take(&mut self, order: TargetOrder, elapsed: Duration, checks_fencing: bool) -> OrderAnswer {
        let highest = self.highest.entry(order.failure_domain.clone()).or_default();
        let accepted = !checks_fencing || order.epoch >= *highest;
        let record = OrderRecord { arrived_ms: millis(elapsed), accepted, highest_epoch: *highest, order };
        *highest = record.order.epoch.max(*highest);
        let highest_epoch = *highest;
        self.records.push(record);
        OrderAnswer { accepted, highest_epoch }
    }
}

/// One usage report as it arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRecord {
    /// Time since the platform started in milliseconds.
    pub arrived_ms: u64,
    /// Id of the report.
    pub report_id: String,
    /// Whether its bytes equal those of the first report with this id.
    pub equals_first: bool,
    /// Bytes of the report.
    pub text: String,
}

/// Usage reports, with the first bytes of each report id.
#[derive(Debug, Default)]
pub(super) struct UsageIntake {
    first: BTreeMap<String, String>,
    records: Vec<ReportRecord>,
}

impl UsageIntake {
    pub(super) fn records(&self) -> &[ReportRecord] {
        &self.records
    }

    /// Takes a report; one with other bytes than the first of its id is recorded and answered with 409.
    pub(super) fn take(&mut self, body: &[u8], elapsed: Duration) -> HttpResponse {
        let report = match serde_json::from_slice::<UsageReport>(body) {
            Ok(report) => report,
            Err(error) => return HttpResponse::error(400, &error.to_string()),
        };
        let text = String::from_utf8_lossy(body).into_owned();
        let first = self.first.entry(report.report_id.clone()).or_insert_with(|| text.clone());
        let equals_first = *first == text;
        let arrived_ms = millis(elapsed);
        self.records.push(ReportRecord { arrived_ms, report_id: report.report_id, equals_first, text });
        if equals_first {
            HttpResponse::json(200, &serde_json::json!({}))
        } else {
            HttpResponse::error(409, "the report id is taken by other figures")
        }
    }
}
