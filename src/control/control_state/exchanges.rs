//! Gossip exchanges, and the frames that bring a host up to date with the configuration of a peer.

use super::{ControlAction, ControlState};
use crate::control::HostIdentity;
use crate::control::gossip_plan::OpenExchange;
use crate::control::member_table::MemberHeartbeat;
use crate::generated::peer_messages::{
    ChangesAnswer, ChangesRequest, DomainColumns, GossipAnswer, GossipRequest, PeerFrame, SnapshotPart, ViewStamp,
};
use crate::prelude::*;

/// Most gossip answers whose ages are deferred; beyond that the oldest one is dropped.
const MAX_DEFERRED: usize = 16;

/// Ages from a gossip answer that must not be used yet, because the sender knew a change or a withdrawal that this host
/// lacks.
#[derive(Debug, Clone)]
pub(super) struct DeferredFreshness {
    failure_domain: DomainId,
    stamp: ViewStamp,
    columns: DomainColumns,
    sent_at: BootTime,
}

impl ControlState {
    /// Sends a gossip request to a host and records the open exchange.
    pub(super) fn send_gossip_request(&mut self, host: &str, now: BootTime, actions: &mut Vec<ControlAction>) {
        let own_roster_hash = self.members.roster_hash(now);
        let own_domains_hash = self.freshness.domains_hash();
        let exchange = self.exchanges.open(host, own_roster_hash, own_domains_hash, now);
        let request = GossipRequest {
            exchange,
            beat: self.members.own_heartbeat(),
            leaving: self.is_leaving.then_some(true),
            recent: self.recent_withdrawn(now),
            stamp: self.view_stamp(None),
            roster: own_roster_hash,
            domains: own_domains_hash,
        };
        actions.push(ControlAction::Send(host.to_owned(), PeerFrame::GossipRequest(request)));
    }

    /// Version and hash of the withdrawn keys of the own view. `age` is that of the store read in milliseconds;
    /// requests carry none.
    fn view_stamp(&self, age: Option<u32>) -> ViewStamp {
        ViewStamp { version: self.log.version(), hash: self.withdrawn.hash(), age }
    }

    /// Handles a control frame. Frames of a host with the own name are ignored.
    pub(super) fn handle_frame(
        &mut self,
        sender: &HostIdentity,
        frame: PeerFrame,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        if sender.host == self.identity.host {
            return;
        }
        match frame {
            PeerFrame::GossipRequest(request) => self.handle_gossip_request(sender, &request, now, actions),
            PeerFrame::GossipAnswer(answer) => self.handle_gossip_answer(sender, answer, now, actions),
            PeerFrame::ChangesRequest(request) => {
                let answer = self.log.changes_after(request.after_version);
                actions.push(ControlAction::Send(sender.host.clone(), PeerFrame::ChangesAnswer(answer)));
            }
            PeerFrame::ChangesAnswer(answer) => self.handle_changes(sender, &answer, now, actions),
            PeerFrame::SnapshotRequest(request) => {
                let part = self.snapshot_source.part(&request, self.log.configuration());
                actions.push(ControlAction::Send(sender.host.clone(), PeerFrame::SnapshotPart(part)));
            }
            PeerFrame::SnapshotPart(part) => self.handle_snapshot_part(sender, part, now, actions),
            PeerFrame::WithdrawnKeys(keys) => self.handle_withdrawn_keys(sender, &keys, now, actions),
            _ => {}
        }
    }

    fn handle_gossip_request(
        &mut self,
        sender: &HostIdentity,
        request: &GossipRequest,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        let is_member = self.observe_heartbeat(sender, request.beat, request.leaving.unwrap_or(false), now);
        self.merge_withdrawn_keys(sender, &request.recent, now, actions);
        self.handle_stamp(sender, &request.stamp, actions);
        let answer = GossipAnswer {
            exchange: request.exchange,
            beat: self.members.own_heartbeat(),
            recent: self.recent_withdrawn(now),
            stamp: self.view_stamp(self.freshness.store_age(now)),
            domains: self.freshness.domain_columns(request.domains, now),
            members: is_member.then(|| self.members.digest(request.roster, now)),
        };
        actions.push(ControlAction::Send(sender.host.clone(), PeerFrame::GossipAnswer(answer)));
    }

    /// Merges the heartbeat of `sender` if it is a member of the own failure domain. Returns whether it is.
    fn observe_heartbeat(&mut self, sender: &HostIdentity, beat: u32, is_leaving: bool, now: BootTime) -> bool {
        let is_member = sender.failure_domain == self.identity.failure_domain;
        if is_member {
            let incarnation = sender.incarnation;
            let beat = MemberHeartbeat { host: &sender.host, incarnation, beat, is_leaving, is_direct: true };
            self.members.observe(beat, now);
        }
        is_member
    }

    fn handle_gossip_answer(
        &mut self,
        sender: &HostIdentity,
        answer: GossipAnswer,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(exchange) = self.exchanges.close(&sender.host, answer.exchange, now) else { return };
        if self.observe_heartbeat(sender, answer.beat, false, now)
            && let Some(digest) = &answer.members
        {
            self.members.merge_digest(digest, exchange.sent_roster_hash, now);
        }
        self.merge_withdrawn_keys(sender, &answer.recent, now, actions);
        self.handle_stamp(sender, &answer.stamp, actions);
        self.record_answer_freshness(sender, answer, &exchange, now);
    }

    /// Defers the ages in an answer, and then applies all that may be used. An answer without the names of the failure
    /// domains is dropped if the own list has changed since the request.
    fn record_answer_freshness(
        &mut self,
        sender: &HostIdentity,
        answer: GossipAnswer,
        exchange: &OpenExchange,
        now: BootTime,
    ) {
        if answer.domains.names.is_none() && self.freshness.domains_hash() != exchange.sent_domains_hash {
            return;
        }
        self.deferred_freshness.push(DeferredFreshness {
            failure_domain: sender.failure_domain.clone(),
            stamp: answer.stamp,
            columns: answer.domains,
            sent_at: exchange.sent_at,
        });
        if self.deferred_freshness.len() > MAX_DEFERRED {
            self.deferred_freshness.remove(0);
        }
        self.apply_deferred_freshness(now);
    }

    /// Uses the deferred ages of all senders that knew nothing beyond what this host knows now. The ages of a sender
    /// that knew more would make this view look as recent as that of the sender, although it lacks a change or a
    /// withdrawal. Ages are dropped when the request was sent more than [`VIEW_AGE_LIMIT`] ago.
    pub(super) fn apply_deferred_freshness(&mut self, now: BootTime) {
        let deferred_freshness = std::mem::take(&mut self.deferred_freshness);
        for entry in deferred_freshness {
            if self.includes_stamp(&entry.stamp) {
                self.freshness.apply_answer_ages(&entry.failure_domain, entry.stamp.age, &entry.columns, entry.sent_at);
            } else if now.saturating_sub(entry.sent_at) <= VIEW_AGE_LIMIT {
                self.deferred_freshness.push(entry);
            }
        }
    }

    /// Whether this host knows everything that a host with this stamp knew.
    fn includes_stamp(&self, stamp: &ViewStamp) -> bool {
        self.log.version() >= stamp.version && self.withdrawn.count_at_hash(stamp.hash).is_some()
    }

    /// Compares the knowledge of `sender` with that of this host: requests missing configuration changes, records which
    /// withdrawals the sender confirms, and sends withdrawn keys if the sets differ.
    fn handle_stamp(&mut self, sender: &HostIdentity, stamp: &ViewStamp, actions: &mut Vec<ControlAction>) {
        if stamp.version > self.log.version() {
            let request = ChangesRequest { after_version: self.log.version() };
            actions.push(ControlAction::Send(sender.host.clone(), PeerFrame::ChangesRequest(request)));
        }
        self.withdrawal_tracker.confirm(&sender.failure_domain, stamp.hash, &self.withdrawn);
        self.send_missing_keys(sender, stamp.hash, actions);
    }

    /// Applies changes from a peer. An answer without changes means that the peer cannot send the change after the own
    /// version; a snapshot is requested instead.
    fn handle_changes(
        &mut self,
        sender: &HostIdentity,
        answer: &ChangesAnswer,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        if answer.changes.is_empty() {
            let request = self.snapshot_sink.request();
            actions.push(ControlAction::Send(sender.host.clone(), PeerFrame::SnapshotRequest(request)));
            return;
        }
        if self.log.apply(&answer.changes) {
            self.apply_deferred_freshness(now);
        }
    }

    /// Installs a snapshot when the last part has arrived, and requests the next part until then.
    fn handle_snapshot_part(
        &mut self,
        sender: &HostIdentity,
        part: SnapshotPart,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        if part.version <= self.log.version() {
            return;
        }
        let Some(snapshot) = self.snapshot_sink.take(part) else {
            let request = self.snapshot_sink.request();
            actions.push(ControlAction::Send(sender.host.clone(), PeerFrame::SnapshotRequest(request)));
            return;
        };
        if self.log.install(snapshot.version, snapshot.items) {
            log::info!(version = self.log.version(), peer = sender.host.as_str(); "configuration_from_peer");
            self.apply_deferred_freshness(now);
        }
    }
}
