//! Notice of the weight loads under way, from the host that orders them to all hosts.
//!
//! The entry of an engine shows a new version up to two seconds after it is there, half of the time for which the
//! version is the newest. With the notice, hosts place work on the engine as soon as its load should be done; one that
//! takes longer refuses the work, which then goes elsewhere.

use serde::{Deserialize, Serialize};

use crate::fleet::fleet_view::FleetView;
use crate::fleet::target_load::LoadTable;
use crate::prelude::*;

/// Start of the keys of the notice in the table of the duties; a number follows.
pub const NOTICE_KEY: &str = "loads";

/// Loads in one row of the notice: 130 bytes each, in rows of 64 KiB at most.
const ROW_LOADS: usize = 300;

/// Time after which an engine is expected to have loaded a version: 0.9 s, and a margin for loads beside it. Work that
/// comes too early is refused, and the engine then pauses for all models.
pub const EXPECTED_LOAD: Duration = Duration::from_millis(1400);

/// Time for which a load stays in the notice; its entry shows the version by then.
const NOTICE_TIME: Duration = Duration::from_secs(5);

/// One load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoadNotice {
    /// Engine.
    pub target: TargetId,
    /// Life of the engine.
    pub started_ms: Option<u64>,
    /// Model.
    pub model: String,
    /// Version.
    pub version: WeightVersion,
    /// When the load should be done, by the clock of the store in milliseconds.
    pub done_ms: u64,
}

/// Loads that are noticed, oldest first.
#[derive(Debug, Default)]
pub struct PendingWeightLoads {
    loads: Vec<WeightLoadNotice>,
    /// Whether loads were added that are not published.
    is_changed: bool,
}

impl PendingWeightLoads {
    /// Adds what was read and is not known yet.
    pub fn merge(&mut self, loads: Vec<WeightLoadNotice>) {
        for load in loads {
            if !self.loads.contains(&load) {
                self.loads.push(load);
            }
        }
    }

    /// Adds a load that was ordered at `store_ms`.
    pub fn add(&mut self, mut load: WeightLoadNotice, store_ms: u64) {
        load.done_ms = store_ms + whole_millis(EXPECTED_LOAD);
        let oldest = store_ms.saturating_sub(whole_millis(NOTICE_TIME));
        self.loads.retain(|known| known.done_ms >= oldest);
        self.loads.push(load);
        self.is_changed = true;
    }

    /// Rows of loads to publish; empty when nothing was added since the last call.
    pub fn take_rows(&mut self) -> Vec<Vec<WeightLoadNotice>> {
        if !std::mem::take(&mut self.is_changed) {
            return Vec::new();
        }
        self.loads.chunks(ROW_LOADS).map(<[WeightLoadNotice]>::to_vec).collect()
    }

    /// Takes out the loads that should be done, and records their versions.
    pub fn apply_completed_loads(&mut self, view: &FleetView, loads: &mut LoadTable, store_ms: u64) {
        let (mut done, open): (Vec<WeightLoadNotice>, Vec<WeightLoadNotice>) =
            std::mem::take(&mut self.loads).into_iter().partition(|load| load.done_ms <= store_ms);
        self.loads = open;
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
