//! Reserve of free slots for organisations below their fair share.
//!
//! The fair queue decides which request is next, but that request must still wait for a slot when one organisation with
//! many requests holds all of them. The last free slots of a shard are therefore granted only to organisations that use
//! less than their weighted share. The coordinator does not apply the reserve to requests of a training step: their
//! trainer needs throughput, not a short wait.

use crate::prelude::*;

/// Percentage of a shard's slots that is reserved. A quarter also speeds up generation: engines with a quarter of their
/// slots free produce each token faster.
const RESERVE_PERCENT: u32 = 25;

/// An organisation may use the reserve when the slots that it holds, divided by its weight, times this number are at
/// most those of the largest user, divided by that user's weight.
const LARGEST_USE_RATIO: f64 = 2.0;

/// An organisation that holds no slot counts in the shares for this time after its last request.
const ACTIVE_PERIOD: Duration = Duration::from_secs(10);

/// Slots of one dispatch shard that each organisation uses, and the rule for the reserve.
#[derive(Debug, Clone, Default)]
pub struct SlotReserve {
    users: Vec<SlotUser>,
}

#[derive(Debug, Clone)]
struct SlotUser {
    organisation: OrganisationId,
    weight: f64,
    slots_in_use: u32,
    requested_at: BootTime,
}

impl SlotReserve {
    /// Records that an organisation asked for a slot, and sets its weight.
    pub fn record_request(&mut self, now: BootTime, organisation: &str, weight: f64) {
        let position = self.find_or_insert(organisation);
        self.users[position].requested_at = now;
        self.users[position].weight = weight;
    }

    /// Records that an organisation got a slot. The caller must record the release of each granted slot.
    pub fn record_grant(&mut self, organisation: &str) {
        let position = self.find_or_insert(organisation);
        self.users[position].slots_in_use += 1;
    }

    /// Records that an organisation released a slot; ignored when it holds none.
    pub fn record_release(&mut self, organisation: &str) {
        let position = self.find_or_insert(organisation);
        self.users[position].slots_in_use = self.users[position].slots_in_use.saturating_sub(1);
    }

    /// Whether an organisation may get a slot now. `free` is the number of free slots of the shard, `slots` the number
    /// of all its slots. Always true while more slots than the reserve are free, and for an organisation without a
    /// recorded request.
    #[must_use]
    pub fn can_take_slot(&self, now: BootTime, organisation: &str, free: u32, slots: u32) -> bool {
        if u64::from(free) * 100 > u64::from(slots) * u64::from(RESERVE_PERCENT) {
            return true;
        }
        let Ok(position) = self.find(organisation) else { return true };
        let own = &self.users[position];
        let active_users = self.users.iter().filter(|user| user.slots_in_use > 0 || is_recent(user, now));
        let total_weight: f64 = active_users.map(|user| user.weight).sum();
        let is_below_share = f64::from(own.slots_in_use) * total_weight < f64::from(slots) * own.weight;
        // With many organisations a share can be less than one slot. An organisation below such a share is recognised
        // by its use, which is far below that of the largest user.
        let weighted_use = f64::from(own.slots_in_use) / own.weight;
        let largest_weighted_use =
            self.users.iter().map(|user| f64::from(user.slots_in_use) / user.weight).fold(0.0, f64::max);
        is_below_share || weighted_use * LARGEST_USE_RATIO <= largest_weighted_use
    }

    fn find_or_insert(&mut self, organisation: &str) -> usize {
        match self.find(organisation) {
            Ok(position) => position,
            Err(position) => {
                let organisation = organisation.to_owned();
                let user = SlotUser { organisation, weight: 1.0, slots_in_use: 0, requested_at: BootTime::ZERO };
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
    now.saturating_sub(user.requested_at) < ACTIVE_PERIOD
}
