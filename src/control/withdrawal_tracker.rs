//! Tracks the withdrawals made at this host: which failure domains have confirmed them, and whether the store has them.

use crate::control::control_view::WithdrawalProgress;
use crate::control::withdrawn_set::WithdrawnSet;
use crate::prelude::*;

/// Time for which the progress of a withdrawal is kept. It is longer than an operator's command waits.
const PROGRESS_RETENTION: Duration = Duration::from_mins(2);

#[derive(Debug)]
struct TrackedKey {
    key_id: KeyId,
    tracked_since: BootTime,
    confirmed: Vec<DomainId>,
}

/// Progress of the latest withdrawals made at this host.
#[derive(Debug, Default)]
pub struct WithdrawalTracker {
    keys: Vec<TrackedKey>,
}

impl WithdrawalTracker {
    /// Starts tracking a withdrawal made at this host, in `own_domain`. A repeated withdrawal starts over.
    pub fn begin(&mut self, key_id: &str, own_domain: &str, now: BootTime) {
        self.keys.retain(|key| key.key_id != key_id);
        let confirmed = vec![own_domain.to_owned()];
        self.keys.push(TrackedKey { key_id: key_id.to_owned(), tracked_since: now, confirmed });
    }

    /// Records that a host of `failure_domain` has the set with this hash, which confirms the withdrawals in that set.
    pub fn confirm(&mut self, failure_domain: &str, hash: u64, withdrawn: &WithdrawnSet) {
        for key in &mut self.keys {
            let is_confirmed = key.confirmed.iter().any(|confirmed| confirmed == failure_domain);
            if !is_confirmed && withdrawn.subset_contains(hash, &key.key_id) {
                key.confirmed.push(failure_domain.to_owned());
            }
        }
    }

    /// Drops withdrawals that were tracked for `PROGRESS_RETENTION`, whether confirmed or not.
    pub fn tick(&mut self, now: BootTime) {
        self.keys.retain(|key| now.saturating_sub(key.tracked_since) < PROGRESS_RETENTION);
    }

    /// Progress of each tracked withdrawal; of `domains`, it names those that have not confirmed the withdrawal.
    #[must_use]
    pub fn progress(&self, domains: &[&str], withdrawn: &WithdrawnSet) -> Vec<WithdrawalProgress> {
        let progress = self.keys.iter().map(|key| WithdrawalProgress {
            key_id: key.key_id.clone(),
            is_stored: !withdrawn.unstored().contains(&key.key_id),
            unconfirmed: unconfirmed_domains(key, domains),
        });
        progress.collect()
    }

    /// Those of `domains` that have not confirmed every tracked withdrawal, sorted.
    #[must_use]
    pub fn pending_domains(&self, domains: &[&str]) -> Vec<DomainId> {
        let mut pending: Vec<DomainId> = self.keys.iter().flat_map(|key| unconfirmed_domains(key, domains)).collect();
        pending.sort_unstable();
        pending.dedup();
        pending
    }
}

fn unconfirmed_domains(key: &TrackedKey, domains: &[&str]) -> Vec<DomainId> {
    let unconfirmed = domains.iter().filter(|domain| !key.confirmed.iter().any(|confirmed| confirmed == **domain));
    unconfirmed.map(|domain| (*domain).to_owned()).collect()
}
