//! Checks and records the target orders and usage reports that the platform receives.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorspring::generated::platform_messages::{OrderAnswer, TargetOrder, UsageReport};
use serde::{Deserialize, Serialize};

use crate::faults::millis;
use crate::server::HttpResponse;

/// A target order with the circumstances of its arrival.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Time since the platform started in milliseconds.
    pub arrived_ms: u64,
    /// Whether the platform accepted the order; `false` means that the order failed the fencing check.
    pub accepted: bool,
    /// Highest epoch that the failure domain had sent before this order; 0 for the first.
    pub highest_epoch: u64,
    /// Order as received.
    pub order: TargetOrder,
}

/// All target orders in order of arrival, with the highest epoch of each failure domain.
#[derive(Debug, Default)]
pub(super) struct OrderLog {
    highest_epochs: BTreeMap<String, u64>,
    records: Vec<OrderRecord>,
}

impl OrderLog {
    pub(super) fn records(&self) -> &[OrderRecord] {
        &self.records
    }

    /// Records an order. It is accepted unless `checks_fencing` is set and its epoch is below the highest of its
    /// domain.
    pub(super) fn record(&mut self, order: TargetOrder, elapsed: Duration, checks_fencing: bool) -> OrderAnswer {
        let highest_so_far = self.highest_epochs.entry(order.failure_domain.clone()).or_default();
        let accepted = !checks_fencing || order.epoch >= *highest_so_far;
        let record = OrderRecord { arrived_ms: millis(elapsed), accepted, highest_epoch: *highest_so_far, order };
        *highest_so_far = record.order.epoch.max(*highest_so_far);
        let highest_epoch = *highest_so_far;
        self.records.push(record);
        OrderAnswer { accepted, highest_epoch }
    }
}

/// A usage report with the circumstances of its arrival.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRecord {
    /// Time since the platform started in milliseconds.
    pub arrived_ms: u64,
    /// Id that the sender gave the report; the same for each repeat.
    pub report_id: String,
    /// Whether the bytes equal those of the first report with this id; true for the first.
    pub equals_first: bool,
    /// Body of the report as received.
    pub text: String,
}

/// All usage reports in order of arrival, with the first text of each report id.
#[derive(Debug, Default)]
pub(super) struct ReportLog {
    first_texts: BTreeMap<String, String>,
    records: Vec<ReportRecord>,
}

impl ReportLog {
    pub(super) fn records(&self) -> &[ReportRecord] {
        &self.records
    }

    /// Records a report. The response is 409 when an earlier report with this id had other bytes; a body that is no
    /// usage report is not recorded and gets 400.
    pub(super) fn record(&mut self, body: &[u8], elapsed: Duration) -> HttpResponse {
        let report = match serde_json::from_slice::<UsageReport>(body) {
            Ok(report) => report,
            Err(error) => return HttpResponse::error(400, &error.to_string()),
        };
        let text = String::from_utf8_lossy(body).into_owned();
        let first_text = self.first_texts.entry(report.report_id.clone()).or_insert_with(|| text.clone());
        let equals_first = *first_text == text;
        let arrived_ms = millis(elapsed);
        self.records.push(ReportRecord { arrived_ms, report_id: report.report_id, equals_first, text });
        if equals_first {
            HttpResponse::json(200, &serde_json::json!({}))
        } else {
            HttpResponse::error(409, "the report id is taken by other figures")
        }
    }
}
