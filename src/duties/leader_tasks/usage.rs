//! Writes the usage counts of this host; as the leader, reports the usage of all hosts.

use crate::duties::leader_calls::SentUsage;
use crate::duties::leader_tasks::{LeaderTasks, SLOW_CHECK_INTERVAL, lock};
use crate::duties::usage_counter::{WindowNumber, wall_time};
use crate::duties::usage_report::{freeze_window, write_counts};
use crate::prelude::*;

/// Delay between the end of a window and the freezing of its sum; hosts write their counts within a second of that end.
const FREEZE_DELAY: Duration = Duration::from_millis(3500);

/// Windows before the newest ended one that a new leader reports as well.
const PAST_WINDOWS: u64 = 2;

impl LeaderTasks {
    /// Writes the counts of this host, and reports ended windows while this host holds the lease; runs until the
    /// process ends.
    pub async fn run_usage_reporting(self: Arc<Self>) {
        let mut unwritten = Vec::new();
        let mut reported: Vec<WindowNumber> = Vec::new();
        let window_length = Duration::from_secs_f64(self.context.settings.usage_window_seconds);
        loop {
            tokio::time::sleep(SLOW_CHECK_INTERVAL).await;
            let now = wall_time();
            unwritten.extend(self.context.usage.take_before(self.context.usage.window_at(now)));
            let mut failed_writes = Vec::new();
            for (window, counts) in std::mem::take(&mut unwritten) {
                let (host, incarnation) = (&self.context.settings.host, self.context.incarnation);
                if write_counts(&self.store, host, incarnation, window, &counts).await.is_err() {
                    failed_writes.push((window, counts));
                }
            }
            unwritten = failed_writes;
            if self.fence().is_none() {
                reported.clear();
                continue;
            }
            let newest_ended = self.context.usage.window_at(now.saturating_sub(FREEZE_DELAY + window_length));
            for window in newest_ended.saturating_sub(PAST_WINDOWS)..=newest_ended {
                if !reported.contains(&window) && self.report_window(window).await {
                    reported.push(window);
                    reported.retain(|known| known + PAST_WINDOWS >= window);
                }
            }
        }
    }

    /// Freezes the sum of a window and sends the report; returns whether the report was accepted.
    async fn report_window(self: &Arc<Self>, window: WindowNumber) -> bool {
        let counts = match freeze_window(&self.store, window).await {
            Ok(counts) => counts,
            Err(error) => {
                log::warn!(window = window, fault = error.to_string(); "usage_freeze_failed");
                return false;
            }
        };
        let Some((fence, _guard)) = self.begin_call() else { return false };
        let timeout = lock(&self.lease).call_timeout();
        let organisations = counts.len();
        let holder = self.context.settings.host.clone();
        let sent = (self.calls.send_usage)(SentUsage { window, counts, holder, fence });
        let is_accepted = tokio::time::timeout(timeout, sent).await.unwrap_or(false);
        log::info!(window = window, organisations = organisations, fence = fence, accepted = is_accepted; "usage_report");
        is_accepted
    }
}
