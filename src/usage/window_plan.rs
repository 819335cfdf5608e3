//! Which ended windows a host wants to report.
//!
//! Rendezvous hashing ranks the hosts for each window. The first one wants a window at once, each further one some time
//! later, so that windows are reported whichever hosts are alive without all hosts competing for each of them.

use crate::prelude::*;
use crate::samples::host_rank::host_rank;
use crate::usage::UsageTiming;
use crate::usage::usage_rows::{WindowStart, window_resource};

/// Time between two ranks. It only keeps hosts from competing; the lease decides who reports.
const RANK_DELAY: Duration = Duration::from_secs(5);

/// Windows that a host wants at one time; after a long outage the oldest come first.
const WINDOWS_WANTED: usize = 4;

/// What the host shall do about a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WindowAction {
    /// Ask for the ownership.
    Want(WindowStart),
    /// Give the ownership up.
    Drop(WindowStart),
}

/// Windows that this host wants, sorted.
#[derive(Debug, Clone, Default)]
pub struct WindowPlan {
    timing: UsageTiming,
    wanted: Vec<WindowStart>,
}

impl WindowPlan {
    /// Plan without windows.
    #[must_use]
    pub fn new(timing: UsageTiming) -> Self {
        Self { timing, wanted: Vec::new() }
    }

    /// Compares the windows that are not reported with those wanted. `wall` is the time of the wall clock in seconds.
    pub fn look(&mut self, host: &str, hosts: &[HostId], open: Vec<WindowStart>, wall: u64) -> Vec<WindowAction> {
        let mut actions = Vec::new();
        for window in &self.wanted {
            if !open.contains(window) {
                actions.push(WindowAction::Drop(*window));
            }
        }
        self.wanted.retain(|window| open.contains(window));
        for window in open {
            let rank = host_rank(&window_resource(window), host, hosts);
            let rank = u64::try_from(rank).unwrap_or(u64::MAX);
            let delay = self.timing.window + self.timing.freeze_delay;
            let due = window + delay.as_secs() + rank.saturating_mul(RANK_DELAY.as_secs());
            if wall < due || self.wanted.len() >= WINDOWS_WANTED {
                continue;
            }
            if let Err(position) = self.wanted.binary_search(&window) {
                self.wanted.insert(position, window);
                actions.push(WindowAction::Want(window));
            }
        }
        actions
    }

    /// Takes note that a window was reported.
    pub fn finish(&mut self, window: WindowStart) -> WindowAction {
        self.wanted.retain(|wanted| *wanted != window);
        WindowAction::Drop(window)
    }

    /// Windows that this host wants, sorted.
    #[must_use]
    pub fn wanted(&self) -> &[WindowStart] {
        &self.wanted
    }
}
