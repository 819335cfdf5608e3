//! Notices of weight loads, from the leader that orders them to all hosts.
//!
//! The entry of an engine shows a new version up to two seconds after the engine has it; a version is the newest one
//! for only about four seconds. With a notice, hosts place work on an engine as soon as its load should be done. An
//! engine whose load takes longer refuses the work, which then goes to another engine.

use serde::{Deserialize, Serialize};

use crate::fleet::fleet_view::FleetView;
use crate::fleet::target_load::LoadTable;
use crate::prelude::*;

/// Start of the keys of the notices in the table of the leader lease; a hyphen and a number follow.
pub const NOTICE_KEY_PREFIX: &str = "loads";

/// Most loads in one row. A load takes 130 bytes, which leaves a margin to the 64 KiB that a row can have.
const MAX_LOADS_PER_ROW: usize = 300;

/// Time after the order by which an engine is expected to have loaded a version: 0.9 s, and a margin for concurrent
/// loads. Work that comes too early is refused, and the host then sends the engine no work of any model for a short
/// backoff.
pub const EXPECTED_LOAD_TIME: Duration = Duration::from_millis(1400);

/// Time after the expected end of a load for which the load stays in the notices; the entry of the engine shows the
/// version by then.
const NOTICE_RETENTION: Duration = Duration::from_secs(5);

/// One weight load of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoadNotice {
    /// Engine that loads the version.
    pub target: TargetId,
    /// Start of the engine's process, as in the entry of the target; the notice is ignored after a restart.
    pub started_ms: Option<u64>,
    /// Model whose weights are loaded.
    pub model: String,
    /// Version that the engine has of the model after the load.
    pub version: WeightVersion,
    /// When the load should be done, by the clock of the store in milliseconds.
    pub done_ms: u64,
}

/// Weight loads in progress: on the leader those to publish, on each host those that were published.
#[derive(Debug, Default)]
pub struct PendingWeightLoads {
    loads: Vec<WeightLoadNotice>,
    /// Whether loads were added since the last [`PendingWeightLoads::rows_to_publish`].
    is_changed: bool,
}

impl PendingWeightLoads {
    /// Adds the loads that are not in the list yet.
    pub fn merge(&mut self, loads: Vec<WeightLoadNotice>) {
        for load in loads {
            if !self.loads.contains(&load) {
                self.loads.push(load);
            }
        }
    }

    /// Adds a load that was ordered at `store_ms`, sets the expected end of the load, and drops loads whose expected
    /// end is more than `NOTICE_RETENTION` ago.
    pub fn add(&mut self, mut load: WeightLoadNotice, store_ms: u64) {
        load.done_ms = store_ms + whole_millis(EXPECTED_LOAD_TIME);
        let oldest = store_ms.saturating_sub(whole_millis(NOTICE_RETENTION));
        self.loads.retain(|known| known.done_ms >= oldest);
        self.loads.push(load);
        self.is_changed = true;
    }

    /// Returns all loads in the list, divided into rows; empty when none was added since the last call.
    pub fn rows_to_publish(&mut self) -> Vec<Vec<WeightLoadNotice>> {
        if !std::mem::take(&mut self.is_changed) {
            return Vec::new();
        }
        self.loads.chunks(MAX_LOADS_PER_ROW).map(<[WeightLoadNotice]>::to_vec).collect()
    }

    /// Removes the loads that should be done by `store_ms`, and records their versions for engines that have not
    /// restarted.
    pub fn apply_completed_loads(&mut self, view: &FleetView, loads: &mut LoadTable, store_ms: u64) {
        let (mut done, unfinished): (Vec<WeightLoadNotice>, Vec<WeightLoadNotice>) =
            std::mem::take(&mut self.loads).into_iter().partition(|load| load.done_ms <= store_ms);
        self.loads = unfinished;
        // Rows arrive in any order; the newest version of an engine is recorded last.
        done.sort_by_key(|load| load.done_ms);
        for load in done {
            let is_same = view.target(&load.target).is_some_and(|target| target.started_ms == load.started_ms);
            if is_same {
                loads.record_version(&load.target, &load.model, load.version);
            }
        }
    }
}
