//! Rate limits that targets announce in their responses, as far as this host knows them.
//!
//! A target in need names the rate that it takes from all hosts together, in each response and for as long as the need
//! lasts. The host that gets a response knows the limit at once, and publishes it in its row for the other hosts. A host
//! that knows of no limit sends as usual, and learns of the limit with its first response at the latest.
//!
//! The newest notice of a target counts, by the store's clock, which all hosts share. The end of a limit is a notice too,
//! so that an earlier one which arrives later does not bring the limit back.

use serde::{Deserialize, Serialize};

use crate::fleet::fleet_view::FleetView;
use crate::prelude::*;

/// Time for which a notice is remembered and published after the limit has ended, or while the target has no entry. A notice
/// takes about two seconds to reach all hosts, and an entry may be missing for as long after a store outage.
const NOTICE_RETENTION: Duration = Duration::from_secs(20);

/// Number of hosts that publish a notice, so that one which starts again finds it in the row of another.
const PUBLISHER_COUNT: usize = 2;

/// Age of the last response from which on a limit may have ended. The target is then chosen like the others again, within its
/// limit, so that a response shows whether the limit still holds.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(5);

/// What a host knows of the rate limit of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Target that announced the limit.
    pub target: TargetId,
    /// Rate that the target takes from all hosts together; `None` when it has stopped announcing a limit.
    pub rate: Option<MilliRate>,
    /// Time of the response by the store's clock, in milliseconds.
    pub at_ms: u64,
}

/// Newest notice of each target that announces a limit, or did so recently.
#[derive(Debug, Default)]
pub struct LimitTable {
    /// Sorted by target.
    notices: Vec<LimitNotice>,
}

impl LimitTable {
    /// Rate that a target takes from all hosts together; `None` when no limit is known.
    #[must_use]
    pub fn rate(&self, target: &str) -> Option<MilliRate> {
        let position = self.find(target).ok()?;
        self.notices[position].rate
    }

    /// Whether a response has announced the limit of a target lately.
    #[must_use]
    pub fn is_confirmed(&self, target: &str, store_time: Duration) -> bool {
        self.find(target).is_ok_and(|position| {
            let notice = &self.notices[position];
            let age_ms = whole_millis(store_time).saturating_sub(notice.at_ms);
            notice.rate.is_some() && age_ms < whole_millis(MAX_CONFIRMATION_AGE)
        })
    }

    /// Number of targets with a known limit.
    #[must_use]
    pub fn limited_targets(&self) -> usize {
        self.notices.iter().filter(|notice| notice.rate.is_some()).count()
    }

    /// Takes over a notice unless a newer one of the target is known; returns whether the limit changed.
    pub fn merge(&mut self, notice: LimitNotice) -> bool {
        match self.find(&notice.target) {
            Ok(position) => {
                let known = &mut self.notices[position];
                if known.at_ms > notice.at_ms {
                    return false;
                }
                let is_changed = known.rate != notice.rate;
                *known = notice;
                is_changed
            }
            // Without a known limit there is none to end.
            Err(_) if notice.rate.is_none() => false,
            Err(position) => {
                self.notices.insert(position, notice);
                true
            }
        }
    }

    /// Drops old notices of targets that are not in the view, and ends of limits that are old.
    pub fn retain_known(&mut self, view: &FleetView, store_time: Duration) {
        let store_ms = whole_millis(store_time);
        self.notices.retain(|notice| {
            let is_recent = store_ms.saturating_sub(notice.at_ms) < whole_millis(NOTICE_RETENTION);
            is_recent || (notice.rate.is_some() && view.target(&notice.target).is_some())
        });
    }

    /// Notices that the host must publish: those that fewer than two hosts whose names sort before its own publish already.
    #[must_use]
    pub fn notices_to_publish(&self, view: &FleetView, own_host: &str) -> Vec<LimitNotice> {
        let earlier: Vec<&LimitNotice> = view
            .live_members()
            .filter(|member| member.host.as_str() < own_host)
            .flat_map(|member| &member.row.limits)
            .collect();
        let is_published = |notice: &LimitNotice| {
            let same = earlier.iter().filter(|known| known.target == notice.target && known.rate == notice.rate);
            same.count() >= PUBLISHER_COUNT
        };
        self.notices.iter().filter(|notice| !is_published(notice)).cloned().collect()
    }

    fn find(&self, target: &str) -> Result<usize, usize> {
        self.notices.binary_search_by(|notice| notice.target.as_str().cmp(target))
    }
}
