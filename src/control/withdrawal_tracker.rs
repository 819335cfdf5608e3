//! Withdrawals through this host: which failure domains have confirmed them, and whether the store has them.

use crate::control::control_view::WithdrawalProgress;
use crate::control::withdrawn_set::WithdrawnSet;
use crate::prelude::*;

/// Time for which the progress of a withdrawal is kept for the operator who waits for it.
const WATCH_LIMIT: Duration = Duration::from_mins(2);

#[derive(Debug)]
struct WatchedKey {
    key_id: KeyId,
    since: BootTime,
    confirmed: Vec<DomainId>,
}

/// Withdrawals whose progress is followed.
#[derive(Debug, Default)]
pub struct WithdrawalTracker {
    keys: Vec<WatchedKey>,
}

impl WithdrawalTracker {
    /// Follows a withdrawal that was made at this host, in `own_domain`.
    pub fn begin(&mut self, key_id: &str, own_domain: &str, now: BootTime) {
        self.keys.retain(|key| key.key_id != key_id);
        let confirmed = vec![own_domain.to_owned()];
        self.keys.push(WatchedKey { key_id: key_id.to_owned(), since: now, confirmed });
    }

    /// Records that a host of `failure_domain` has a set with this hash.
    pub fn confirm(&mut self, failure_domain: &str, hash: u64, withdrawn: &WithdrawnSet) {
        for key in &mut self.keys {
            let is_known = key.confirmed.iter().any(|confirmed| confirmed == failure_domain);
            if !is_known && withdrawn.is_held_at(hash, &key.key_id) {
                key.confirmed.push(failure_domain.to_owned());
            }
        }
    }

    /// Forgets withdrawals that nobody waits for any more.
    pub fn tick(&mut self, now: BootTime) {
        self.keys.retain(|key| now.saturating_sub(key.since) < WATCH_LIMIT);
    }

    /// Progress of all withdrawals, for the failure domains given.
    #[must_use]
    pub fn progress(&self, domains: &[&str], withdrawn: &WithdrawnSet) -> Vec<WithdrawalProgress> {
        let progress = self.keys.iter().map(|key| WithdrawalProgress {
            key_id: key.key_id.clone(),
            is_stored: !withdrawn.unstored().contains(&key.key_id),
            unconfirmed: unconfirmed_domains(key, domains),
        });
        progress.collect()
    }

    /// Failure domains that have not confirmed some withdrawal.
    #[must_use]
    pub fn pending_domains(&self, domains: &[&str]) -> Vec<DomainId> {
        let mut pending: Vec<DomainId> = self.keys.iter().flat_map(|key| unconfirmed_domains(key, domains)).collect();
        pending.sort_unstable();
        pending.dedup();
        pending
    }
}

fn unconfirmed_domains(key: &WatchedKey, domains: &[&str]) -> Vec<DomainId> {
    let unconfirmed = domains.iter().filter(|domain| !key.confirmed.iter().any(|confirmed| confirmed == **domain));
    unconfirmed.map(|domain| (*domain).to_owned()).collect()
}
