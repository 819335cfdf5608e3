//! Withdrawals: act here first, then spread, then write to the store.

use super::{ControlAction, ControlState};
use crate::control::HostIdentity;
use crate::control::gossip_plan::choose_listed;
use crate::generated::peer_messages::{PeerFrame, WithdrawnKeys};
use crate::prelude::*;

/// Hosts of each other failure domain that get a withdrawal at once.
const FIRST_RECEIVERS: usize = 2;

/// Time for which gossip carries a withdrawal.
const RECENT_LIMIT: Duration = Duration::from_secs(15);

/// Most withdrawals in one gossip frame.
const RECENT_KEYS: usize = 16;

/// A withdrawal learned a short time ago.
#[derive(Debug, Clone)]
pub(super) struct RecentKey {
    key_id: KeyId,
    since: BootTime,
}

impl ControlState {
    pub(super) fn withdraw(&mut self, key_id: KeyId, now: BootTime, actions: &mut Vec<ControlAction>) {
        self.watch.begin(&key_id, &self.origin.failure_domain, now);
        let added = self.withdrawn.add(std::slice::from_ref(&key_id));
        if !added.is_empty() {
            log::info!(key_id = key_id.as_str(); "key_withdrawn");
            self.note_recent(&added, now);
        }
        let own_members = self.other_members(now);
        send_withdrawn(&own_members, &[key_id], actions);
        self.resend_withdrawals(now, actions);
        self.write_withdrawn(now, actions);
    }

    /// Sends the withdrawn keys to some hosts of each failure domain that has not confirmed them, and asks for the
    /// confirmation. Frames of one link stay in order, so the answer covers the keys.
    pub(super) fn resend_withdrawals(&mut self, now: BootTime, actions: &mut Vec<ControlAction>) {
        let domains = self.other_domains();
        let domains: Vec<&str> = domains.iter().map(String::as_str).collect();
        for domain in self.watch.pending_domains(&domains) {
            let hosts = choose_listed(&self.listed, &domain, &self.origin.host, FIRST_RECEIVERS, &mut self.generator);
            let keys: Vec<KeyId> =
                self.watch.progress(&[&domain], &self.withdrawn).into_iter().map(|progress| progress.key_id).collect();
            send_withdrawn(&hosts, &keys, actions);
            for host in hosts {
                self.ask(&host, now, actions);
            }
        }
    }

    /// Sends a peer whose set has this hash what it lacks. An unknown hash means that the peer may know more: it gets
    /// the whole set and answers with the rest.
    pub(super) fn compare_withdrawn(&self, origin: &HostIdentity, hash: u64, actions: &mut Vec<ControlAction>) {
        if hash == self.withdrawn.hash() {
            return;
        }
        let is_known = self.withdrawn.count_at(hash).is_some();
        let keys = WithdrawnKeys {
            key_ids: self.withdrawn.ids_after(hash),
            whole_set: !is_known && self.withdrawn.fits_frame(),
        };
        actions.push(ControlAction::Send(origin.host.clone(), PeerFrame::WithdrawnKeys(keys)));
    }

    pub(super) fn take_withdrawn(
        &mut self,
        origin: &HostIdentity,
        keys: &WithdrawnKeys,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        self.learn_withdrawn(origin, &keys.key_ids, now, actions);
        if keys.whole_set {
            let missing = self.withdrawn.missing_from(&keys.key_ids);
            if !missing.is_empty() {
                send_withdrawn(std::slice::from_ref(&origin.host), &missing, actions);
            }
        }
    }

    pub(super) fn learn_withdrawn(
        &mut self,
        origin: &HostIdentity,
        key_ids: &[KeyId],
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        let added = self.withdrawn.add(key_ids);
        if added.is_empty() {
            return;
        }
        self.note_recent(&added, now);
        self.flow.note_learned(now);
        self.count_news(now);
        if origin.failure_domain != self.origin.failure_domain {
            // The sender reaches only a few hosts of this failure domain.
            let own_members = self.other_members(now);
            send_withdrawn(&own_members, &added, actions);
        }
    }

    fn note_recent(&mut self, key_ids: &[KeyId], now: BootTime) {
        self.recent.retain(|recent| now.saturating_sub(recent.since) < RECENT_LIMIT);
        self.recent.extend(key_ids.iter().map(|key_id| RecentKey { key_id: key_id.clone(), since: now }));
        let excess = self.recent.len().saturating_sub(RECENT_KEYS);
        self.recent.drain(..excess);
    }

    /// Withdrawals that every gossip frame carries. The frames that usually bring them can be lost while gossip
    /// passes, for example when a send queue is full, and gossip is what makes others look fresh.
    pub(super) fn recent_withdrawn(&self, now: BootTime) -> Vec<KeyId> {
        let recent = self.recent.iter().filter(|recent| now.saturating_sub(recent.since) < RECENT_LIMIT);
        recent.map(|recent| recent.key_id.clone()).collect()
    }
}

fn send_withdrawn(hosts: &[HostId], key_ids: &[KeyId], actions: &mut Vec<ControlAction>) {
    for host in hosts {
        let keys = WithdrawnKeys { key_ids: key_ids.to_vec(), whole_set: false };
        actions.push(ControlAction::Send(host.clone(), PeerFrame::WithdrawnKeys(keys)));
    }
}
