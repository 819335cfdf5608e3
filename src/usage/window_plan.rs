//! Decides for which ended windows a host requests the ownership, in order to report them.
//!
//! Rendezvous hashing ranks the live hosts for each window. The first host requests a window as soon as its figures may
//! be frozen, and each further host a delay later, so that any host can report a window without all hosts competing for
//! it.

use crate::prelude::*;
use crate::samples::host_rank::host_rank;
use crate::usage::UsageTiming;
use crate::usage::usage_rows::{WindowStart, window_resource};

/// Delay between the requests of two successive ranks. The delay only reduces competition; a window has one owner at a
/// time, and only the owner reports it.
const RANK_DELAY: Duration = Duration::from_secs(5);

/// Most windows that a host requests or owns at a time.
const MAX_REQUESTED_WINDOWS: usize = 4;

/// Change of the ownership of a window that the host must make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WindowAction {
    /// Request the ownership of a window that is due.
    Request(WindowStart),
    /// Release the ownership, or withdraw the request for it.
    Release(WindowStart),
}

/// Windows whose ownership this host has requested.
#[derive(Debug, Clone, Default)]
pub struct WindowPlan {
    timing: UsageTiming,
    /// Sorted by start.
    requested: Vec<WindowStart>,
}

impl WindowPlan {
    /// Creates a plan without windows.
    #[must_use]
    pub fn new(timing: UsageTiming) -> Self {
        Self { timing, requested: Vec::new() }
    }

    /// Brings the plan in line with `open`, the windows that are not reported yet, and returns the changes to make.
    /// Windows are requested in the order of `open`. `hosts` are the live hosts; `wall` is the wall clock in seconds since
    /// the Unix epoch.
    pub fn update(&mut self, host: &str, hosts: &[HostId], open: Vec<WindowStart>, wall: u64) -> Vec<WindowAction> {
        let mut actions = Vec::new();
        for window in &self.requested {
            if !open.contains(window) {
                actions.push(WindowAction::Release(*window));
            }
        }
        self.requested.retain(|window| open.contains(window));
        for window in open {
            let rank = host_rank(&window_resource(window), host, hosts);
            let rank = u64::try_from(rank).unwrap_or(u64::MAX);
            let delay = self.timing.window + self.timing.freeze_delay;
            let due = window + delay.as_secs() + rank.saturating_mul(RANK_DELAY.as_secs());
            if wall < due || self.requested.len() >= MAX_REQUESTED_WINDOWS {
                continue;
            }
            if let Err(position) = self.requested.binary_search(&window) {
                self.requested.insert(position, window);
                actions.push(WindowAction::Request(window));
            }
        }
        actions
    }

    /// Removes a window that was reported; returns the release of its ownership.
    pub fn finish_window(&mut self, window: WindowStart) -> WindowAction {
        self.requested.retain(|requested| *requested != window);
        WindowAction::Release(window)
    }

    /// Windows whose ownership this host has requested, sorted by start.
    #[must_use]
    pub fn requested(&self) -> &[WindowStart] {
        &self.requested
    }
}
