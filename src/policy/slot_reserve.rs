//! Slots kept free for organisations below their share.
//!
//! A fair queue decides who is next, but a request still waits for a slot when a flood has taken all of them. The
//! last slots of a shard therefore go only to organisations that use less than their weighted share, and to requests
//! of a step, whose trainer wants throughput and not a short wait.

use crate::prelude::*;

/// Slots that are kept, in percent. Engines with a quarter of their slots free also produce each token faster.
const RESERVE_PERCENT: u32 = 25;

/// An organisation that uses this many times less than the largest user, by weight, may use the kept slots.
const LARGE_USE: f64 = 2.0;

/// An organisation that asked within this time counts in the shares.
const ACTIVE_TIME: Duration = Duration::from_secs(10);

/// Slots of one shard in use, by organisation.
#[derive(Debug, Clone, Default)]
pub struct SlotReserve {
    users: Vec<SlotUser>,
}

#[derive(Debug, Clone)]
struct SlotUser {
    organisation: OrganisationId,
    weight: f64,
    running: u32,
    asked_at: BootTime,
}

impl SlotReserve {
    /// Records that an organisation asked.
    pub fn record_request(&mut self, now: BootTime, organisation: &str, weight: f64) {
        let position = self.position(organisation);
        self.users[position].asked_at = now;
        self.users[position].weight = weight;
    }

    /// Counts a granted slot.
    pub fn record_grant(&mut self, organisation: &str) {
        let position = self.position(organisation);
        self.users[position].running += 1;
    }

    /// Counts a slot that is free again.
    pub fn record_release(&mut self, organisation: &str) {
        let position = self.position(organisation);
        self.users[position].running = self.users[position].running.saturating_sub(1);
    }

    /// Whether an organisation may take one of `free` of all `slots`.
    #[must_use]
    pub fn may_take(&self, now: BootTime, organisation: &str, free: u32, slots: u32) -> bool {
        if u64::from(free) * 100 > u64::from(slots) * u64::from(RESERVE_PERCENT) {
            return true;
        }
        let Ok(position) = self.find(organisation) else { return true };
        let own = &self.users[position];
        let active = self.users.iter().filter(|user| user.running > 0 || is_recent(user, now));
        let weights: f64 = active.map(|user| user.weight).sum();
        let is_below_share = f64::from(own.running) * weights < f64::from(slots) * own.weight;
        // Small shares are less than one slot; whoever uses far less than the largest user is not the flood.
        let own_use = f64::from(own.running) / own.weight;
        let largest_use = self.users.iter().map(|user| f64::from(user.running) / user.weight).fold(0.0, f64::max);
        is_below_share || own_use * LARGE_USE <= largest_use
    }

    fn position(&mut self, organisation: &str) -> usize {
        match self.find(organisation) {
            Ok(position) => position,
            Err(position) => {
                let organisation = organisation.to_owned();
                let user = SlotUser { organisation, weight: 1.0, running: 0, asked_at: BootTime::ZERO };
                self.users.insert(position, user);
                position
            }
        }
    }

    fn find(&self, organisation: &str) -> Result<usize, usize> {
        self.users.binary_search_by(|user| user.organisation.as_str().cmp(organisation))
    }
}

fn is_recent(user: &SlotUser, now: BootTime) -> bool {
    now.saturating_sub(user.asked_at) < ACTIVE_TIME
}
