//! Withdrawals of keys: they take effect on this host first, then go to the peers, and are written to the store last.

use super::{ControlAction, ControlState};
use crate::control::HostIdentity;
use crate::control::gossip_plan::choose_listed_hosts;
use crate::generated::peer_messages::{PeerFrame, WithdrawnKeys};
use crate::prelude::*;

/// Most hosts of a failure domain to which withdrawals are sent at once, and again in each gossip round until the
/// domain has confirmed them or two minutes have passed.
const MAX_RECEIVERS: usize = 2;

/// Time for which gossip frames carry a withdrawal after this host learned it.
const RECENT_PERIOD: Duration = Duration::from_secs(15);

/// Most withdrawals in one gossip frame; the newest ones are kept.
const MAX_RECENT_KEYS: usize = 16;

/// A withdrawal that gossip frames may still carry.
#[derive(Debug, Clone)]
pub(super) struct RecentKey {
    key_id: KeyId,
    learned_at: BootTime,
}

impl ControlState {
    /// Withdraws a key at this host, sends the withdrawal to the peers, and starts the write to the store.
    pub(super) fn withdraw_key(&mut self, key_id: KeyId, now: BootTime, actions: &mut Vec<ControlAction>) {
        self.withdrawal_tracker.begin(&key_id, &self.identity.failure_domain, now);
        let added = self.withdrawn.add(std::slice::from_ref(&key_id));
        if !added.is_empty() {
            log::info!(key_id = key_id.as_str(); "key_withdrawn");
            self.record_recent_keys(&added, now);
        }
        let domain_peers = self.other_members(now);
        push_withdrawn_keys(&domain_peers, &[key_id], actions);
        self.resend_withdrawals(now, actions);
        self.write_withdrawal(now, actions);
    }

    /// Sends the withdrawals made at this host in the last two minutes to some hosts of each other failure domain that
    /// has not confirmed all of them. A gossip request follows; the frames of one link stay in order, so the answer
    /// confirms the keys sent before.
    pub(super) fn resend_withdrawals(&mut self, now: BootTime, actions: &mut Vec<ControlAction>) {
        let domains = self.other_domains();
        let domains: Vec<&str> = domains.iter().map(String::as_str).collect();
        for domain in self.withdrawal_tracker.pending_domains(&domains) {
            let hosts = choose_listed_hosts(
                &self.listed_hosts,
                &domain,
                &self.identity.host,
                MAX_RECEIVERS,
                &mut self.generator,
            );
            let keys: Vec<KeyId> = self
                .withdrawal_tracker
                .progress(&[&domain], &self.withdrawn)
                .into_iter()
                .map(|progress| progress.key_id)
                .collect();
            push_withdrawn_keys(&hosts, &keys, actions);
            for host in hosts {
                self.send_gossip_request(&host, now, actions);
            }
        }
    }

    /// Sends `sender` the withdrawn keys that it lacks, by the hash of the set of `sender`. If the hash is not known
    /// here, `sender` may have keys that this host lacks. This host then sends its whole set, and `sender` answers with
    /// the keys that the whole set lacks. If the whole set does not fit in a frame, only the newest keys are sent, and
    /// `sender` does not answer.
    pub(super) fn send_missing_keys(&self, sender: &HostIdentity, hash: u64, actions: &mut Vec<ControlAction>) {
        if hash == self.withdrawn.hash() {
            return;
        }
        let is_known = self.withdrawn.count_at_hash(hash).is_some();
        let keys = WithdrawnKeys {
            key_ids: self.withdrawn.ids_since_hash(hash),
            whole_set: !is_known && self.withdrawn.fits_frame(),
        };
        actions.push(ControlAction::Send(sender.host.clone(), PeerFrame::WithdrawnKeys(keys)));
    }

    /// Adds keys from a peer. If they are the whole set of the peer, sends back the keys that the set lacks.
    pub(super) fn handle_withdrawn_keys(
        &mut self,
        sender: &HostIdentity,
        keys: &WithdrawnKeys,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        self.merge_withdrawn_keys(sender, &keys.key_ids, now, actions);
        if keys.whole_set {
            let missing = self.withdrawn.missing_from(&keys.key_ids);
            if !missing.is_empty() {
                push_withdrawn_keys(std::slice::from_ref(&sender.host), &missing, actions);
            }
        }
    }

    /// Adds keys that `sender` knows. New keys are passed on to the own failure domain unless `sender` is a member of
    /// it.
    pub(super) fn merge_withdrawn_keys(
        &mut self,
        sender: &HostIdentity,
        key_ids: &[KeyId],
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        let added = self.withdrawn.add(key_ids);
        if added.is_empty() {
            return;
        }
        self.record_recent_keys(&added, now);
        self.store_calls.delay_withdrawal_write(now);
        self.apply_deferred_freshness(now);
        if sender.failure_domain != self.identity.failure_domain {
            // A sender in another failure domain reaches only a few hosts of this one.
            let domain_peers = self.other_members(now);
            push_withdrawn_keys(&domain_peers, &added, actions);
        }
    }

    /// Adds keys to those that gossip frames carry, and drops the oldest beyond [`MAX_RECENT_KEYS`].
    fn record_recent_keys(&mut self, key_ids: &[KeyId], now: BootTime) {
        self.recent_keys.retain(|recent| now.saturating_sub(recent.learned_at) < RECENT_PERIOD);
        self.recent_keys.extend(key_ids.iter().map(|key_id| RecentKey { key_id: key_id.clone(), learned_at: now }));
        let excess = self.recent_keys.len().saturating_sub(MAX_RECENT_KEYS);
        self.recent_keys.drain(..excess);
    }

    /// Withdrawals that every gossip frame carries. `WithdrawnKeys` frames can be lost while gossip passes, for example
    /// when a send queue is full. Gossip keeps the view of the receiver fresh, so it must bring the keys too.
    pub(super) fn recent_withdrawn(&self, now: BootTime) -> Vec<KeyId> {
        let recent = self.recent_keys.iter().filter(|recent| now.saturating_sub(recent.learned_at) < RECENT_PERIOD);
        recent.map(|recent| recent.key_id.clone()).collect()
    }
}

fn push_withdrawn_keys(hosts: &[HostId], key_ids: &[KeyId], actions: &mut Vec<ControlAction>) {
    for host in hosts {
        let keys = WithdrawnKeys { key_ids: key_ids.to_vec(), whole_set: false };
        actions.push(ControlAction::Send(host.clone(), PeerFrame::WithdrawnKeys(keys)));
    }
}
