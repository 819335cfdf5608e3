//! Counts of this host, and reports of windows while it holds the lease.

use crate::duties::leader_calls::SentUsage;
use crate::duties::leader_tasks::{LeaderTasks, SLOW_PERIOD, lock};
use crate::duties::usage_counter::{WindowNumber, wall_time};
use crate::duties::usage_report::{freeze_window, write_counts};
use crate::prelude::*;

/// Time after the end of a window at which its figures are frozen; hosts write theirs within a second.
const FREEZE_DELAY: Duration = Duration::from_millis(3500);

/// Past windows that a new holder looks after.
const PAST_WINDOWS: u64 = 2;

impl LeaderTasks {
    /// Writes the counts of this host, and reports windows while it holds the lease.
    pub async fn run_usage_reporting(self: Arc<Self>) {
        let mut unwritten = Vec::new();
        let mut reported: Vec<WindowNumber> = Vec::new();
        let length = Duration::from_secs_f64(self.context.settings.usage_window_seconds);
        loop {
            tokio::time::sleep(SLOW_PERIOD).await;
            let now = wall_time();
            unwritten.extend(self.context.usage.take_before(self.context.usage.window_at(now)));
            let mut kept = Vec::new();
            for (window, counts) in std::mem::take(&mut unwritten) {
                let (host, life) = (&self.context.settings.host, self.context.incarnation);
                if write_counts(&self.store, host, life, window, &counts).await.is_err() {
                    kept.push((window, counts));
                }
            }
            unwritten = kept;
            if self.fence().is_none() {
                reported.clear();
                continue;
            }
            let ended = self.context.usage.window_at(now.saturating_sub(FREEZE_DELAY + length));
            for window in ended.saturating_sub(PAST_WINDOWS)..=ended {
                if !reported.contains(&window) && self.report_window(window).await {
                    reported.push(window);
                    reported.retain(|known| known + PAST_WINDOWS >= window);
                }
            }
        }
    }

    async fn report_window(self: &Arc<Self>, window: WindowNumber) -> bool {
        let counts = match freeze_window(&self.store, window).await {
            Ok(counts) => counts,
            Err(fault) => {
                log::warn!(window = window, fault = fault.to_string(); "usage_freeze_failed");
                return false;
            }
        };
        let Some((fence, _guard)) = self.begin_act() else { return false };
        let limit = lock(&self.lease).call_limit();
        let organisations = counts.len();
        let holder = self.context.settings.host.clone();
        let sent = (self.calls.send_usage)(SentUsage { window, counts, holder, fence });
        let is_accepted = tokio::time::timeout(limit, sent).await.unwrap_or(false);
        log::info!(window = window, organisations = organisations, fence = fence, accepted = is_accepted; "usage_report");
        is_accepted
    }
}
