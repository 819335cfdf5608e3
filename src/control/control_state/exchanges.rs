//! Gossip exchanges and the frames that bring a host up to date.

use super::{ControlAction, ControlState};
use crate::control::HostIdentity;
use crate::control::gossip_plan::OpenExchange;
use crate::control::member_table::MemberBeat;
use crate::generated::peer_messages::{
    ChangesAnswer, ChangesRequest, DomainColumns, GossipAnswer, GossipRequest, PeerFrame, SnapshotPart, ViewStamp,
};
use crate::prelude::*;

/// News kept until the configuration or the withdrawn keys catch up with their sender.
const DEFERRED_LIMIT: usize = 16;

/// News that may not count yet, since their sender knew more than this host.
#[derive(Debug, Clone)]
pub(super) struct DeferredNews {
    failure_domain: DomainId,
    stamp: ViewStamp,
    columns: DomainColumns,
    asked_at: BootTime,
}

impl ControlState {
    /// Asks a host for its news.
    pub(super) fn ask(&mut self, host: &str, now: BootTime, actions: &mut Vec<ControlAction>) {
        let roster = self.members.roster_hash(now);
        let domains = self.freshness.domains_hash();
        let exchange = self.exchanges.open(host, roster, domains, now);
        let request = GossipRequest {
            exchange,
            beat: self.members.own_beat(),
            leaving: self.is_leaving.then_some(true),
            recent: self.recent_withdrawn(now),
            stamp: self.stamp(None),
            roster,
            domains,
        };
        actions.push(ControlAction::Send(host.to_owned(), PeerFrame::GossipRequest(request)));
    }

    fn stamp(&self, age: Option<u32>) -> ViewStamp {
        ViewStamp { version: self.log.version(), hash: self.withdrawn.hash(), age }
    }

    pub(super) fn handle_frame(
        &mut self,
        origin: &HostIdentity,
        frame: PeerFrame,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        if origin.host == self.origin.host {
            return;
        }
        match frame {
            PeerFrame::GossipRequest(request) => self.take_request(origin, &request, now, actions),
            PeerFrame::GossipAnswer(answer) => self.take_answer(origin, answer, now, actions),
            PeerFrame::ChangesRequest(request) => {
                let answer = self.log.changes_after(request.after_version);
                actions.push(ControlAction::Send(origin.host.clone(), PeerFrame::ChangesAnswer(answer)));
            }
            PeerFrame::ChangesAnswer(answer) => self.take_changes(origin, &answer, now, actions),
            PeerFrame::SnapshotRequest(request) => {
                let part = self.snapshot_source.part(&request, self.log.configuration());
                actions.push(ControlAction::Send(origin.host.clone(), PeerFrame::SnapshotPart(part)));
            }
            PeerFrame::SnapshotPart(part) => self.take_part(origin, part, now, actions),
            PeerFrame::WithdrawnKeys(keys) => self.take_withdrawn(origin, &keys, now, actions),
            _ => {}
        }
    }

    fn take_request(
        &mut self,
        origin: &HostIdentity,
        request: &GossipRequest,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        let is_member = self.observe_sender(origin, request.beat, request.leaving.unwrap_or(false), now);
        self.learn_withdrawn(origin, &request.recent, now, actions);
        self.compare_stamp(origin, &request.stamp, actions);
        let answer = GossipAnswer {
            exchange: request.exchange,
            beat: self.members.own_beat(),
            recent: self.recent_withdrawn(now),
            stamp: self.stamp(self.freshness.store_age(now)),
            domains: self.freshness.columns(request.domains, now),
            members: is_member.then(|| self.members.digest(request.roster, now)),
        };
        actions.push(ControlAction::Send(origin.host.clone(), PeerFrame::GossipAnswer(answer)));
    }

    fn observe_sender(&mut self, origin: &HostIdentity, beat: u32, is_leaving: bool, now: BootTime) -> bool {
        let is_member = origin.failure_domain == self.origin.failure_domain;
        if is_member {
            let incarnation = origin.incarnation;
            let beat = MemberBeat { host: &origin.host, incarnation, beat, is_leaving, is_direct: true };
            self.members.observe(beat, now);
        }
        is_member
    }

    fn take_answer(
        &mut self,
        origin: &HostIdentity,
        answer: GossipAnswer,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(exchange) = self.exchanges.close(&origin.host, answer.exchange, now) else { return };
        if self.observe_sender(origin, answer.beat, false, now)
            && let Some(digest) = &answer.members
        {
            self.members.merge(digest, exchange.roster, now);
        }
        self.learn_withdrawn(origin, &answer.recent, now, actions);
        self.compare_stamp(origin, &answer.stamp, actions);
        self.take_news(origin, answer, &exchange, now);
    }

    fn take_news(&mut self, origin: &HostIdentity, answer: GossipAnswer, exchange: &OpenExchange, now: BootTime) {
        if answer.domains.names.is_none() && self.freshness.domains_hash() != exchange.domains {
            return;
        }
        self.deferred.push(DeferredNews {
            failure_domain: origin.failure_domain.clone(),
            stamp: answer.stamp,
            columns: answer.domains,
            asked_at: exchange.asked_at,
        });
        if self.deferred.len() > DEFERRED_LIMIT {
            self.deferred.remove(0);
        }
        self.count_news(now);
    }

    /// Counts the news whose sender knew nothing that this host does not know. News of a sender that knew more would
    /// make this view look as young as the sender's, although it lacks a change or a withdrawal.
    pub(super) fn count_news(&mut self, now: BootTime) {
        let deferred = std::mem::take(&mut self.deferred);
        for news in deferred {
            if self.includes(&news.stamp) {
                self.freshness.relay(&news.failure_domain, news.stamp.age, &news.columns, news.asked_at);
            } else if now.saturating_sub(news.asked_at) <= VIEW_AGE_LIMIT {
                self.deferred.push(news);
            }
        }
    }

    fn includes(&self, stamp: &ViewStamp) -> bool {
        self.log.version() >= stamp.version && self.withdrawn.count_at(stamp.hash).is_some()
    }

    /// Starts what brings the side that is behind up to date.
    fn compare_stamp(&mut self, origin: &HostIdentity, stamp: &ViewStamp, actions: &mut Vec<ControlAction>) {
        if stamp.version > self.log.version() {
            let request = ChangesRequest { after_version: self.log.version() };
            actions.push(ControlAction::Send(origin.host.clone(), PeerFrame::ChangesRequest(request)));
        }
        self.watch.confirm(&origin.failure_domain, stamp.hash, &self.withdrawn);
        self.compare_withdrawn(origin, stamp.hash, actions);
    }

    fn take_changes(
        &mut self,
        origin: &HostIdentity,
        answer: &ChangesAnswer,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        if answer.changes.is_empty() {
            let request = self.snapshot_sink.request();
            actions.push(ControlAction::Send(origin.host.clone(), PeerFrame::SnapshotRequest(request)));
            return;
        }
        if self.log.apply(&answer.changes) {
            self.count_news(now);
        }
    }

    fn take_part(
        &mut self,
        origin: &HostIdentity,
        part: SnapshotPart,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        if part.version <= self.log.version() {
            return;
        }
        let Some(whole) = self.snapshot_sink.take(part) else {
            let request = self.snapshot_sink.request();
            actions.push(ControlAction::Send(origin.host.clone(), PeerFrame::SnapshotRequest(request)));
            return;
        };
        if self.log.install(whole.version, whole.items) {
            log::info!(version = self.log.version(), peer = origin.host.as_str(); "configuration_from_peer");
            self.count_news(now);
        }
    }
}
