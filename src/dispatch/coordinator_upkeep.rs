//! What a home does when its view changes, when holders report, and as time passes.

use crate::control::control_view::MemberState;
use crate::control::{ControlView, HostIdentity};
use crate::dispatch::coordinated_shard::{CoordinatedShard, QueuedTicket};
use crate::dispatch::coordinated_target::CoordinatedTarget;
use crate::dispatch::coordinator_state::{CoordinatorAnswer, CoordinatorState, PAUSE_LIMIT, moved_answer};
use crate::dispatch::shard_layout::{ShardLayout, domain_visibility, shard_coordinator, shard_targets};
use crate::dispatch::ticket_table::{GrantedPermit, ShardName, TicketKey, TicketState};
use crate::generated::engine_messages::{CacheEvent, EngineLoad};
use crate::generated::peer_messages::PermitRenewal;
use crate::generated::services_text::ServiceEntry;
use crate::prelude::*;

/// A permit whose holder is silent for this long is dropped: three lost renewals.
const HOLDER_SILENCE: Duration = Duration::from_secs(12);

/// Period in which all asks are looked through for lost askers.
const SCAN_PERIOD: Duration = Duration::from_secs(1);

/// A waiting ask whose asker is silent for this long is dropped; askers repeat a waiting ask each second.
const ASKER_SILENCE: Duration = Duration::from_secs(4);

impl CoordinatorState {
    /// Applies the view: pauses, shares, placements, and shards that came or went.
    pub fn refresh(&mut self, view: &Arc<ControlView>, now: BootTime) -> Vec<CoordinatorAnswer> {
        self.note_pause(now);
        if self.view.as_ref().is_some_and(|known| Arc::ptr_eq(known, view)) {
            self.shares.record(now, self.sight);
            return Vec::new();
        }
        self.view = Some(Arc::clone(view));
        self.sight = domain_visibility(view);
        self.shares.record(now, self.sight);
        let known = self.layout.take();
        let same = known.filter(|layout| Arc::ptr_eq(&layout.configuration, &view.configuration));
        let is_same = same.is_some();
        let layout = same.unwrap_or_else(|| ShardLayout::new(&view.configuration));
        let names = own_shards(view, &layout);
        self.layout = Some(layout);
        if is_same && names == self.coordinated_names {
            return Vec::new();
        }
        let answers = self.rebuild_shards(view, now, &names);
        self.coordinated_names = names;
        answers
    }

    /// Applies a holder's list: confirms what it names, adopts permits of a former home, drops the rest.
    pub fn renew(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        from: &HostIdentity,
        renewal: &PermitRenewal,
    ) -> Vec<CoordinatorAnswer> {
        let mut answers = self.refresh(view, now);
        for (ticket, target) in renewal.tickets.iter().zip(&renewal.targets) {
            self.confirm_ask(now, TicketKey::new(from, *ticket), target);
        }
        for key in self.asks.find_of_sender(from, renewal.last_ticket) {
            if renewal.tickets.binary_search(&key.ticket).is_err() {
                self.end_ask(&key, now);
            }
        }
        answers.extend(self.serve_all(view, now));
        answers
    }

    /// Applies a target's load report.
    pub fn report_load(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        target: &str,
        load: &EngineLoad,
    ) -> Vec<CoordinatorAnswer> {
        let mut answers = self.refresh(view, now);
        let is_partitioned = self.shares.is_partitioned();
        let Some(shard) = self.shard_of_target(target) else { return answers };
        let Some(entry) = shard.target_mut(target) else { return answers };
        let handle = entry.handle;
        if entry.apply_load(now, load, is_partitioned) {
            log::info!(target_id = target; "target_restarted");
            shard.prefixes.forget_target(handle);
        }
        answers.extend(self.serve_all(view, now));
        answers
    }

    /// Applies a target's cache events.
    pub fn report_events(&mut self, now: BootTime, target: &str, events: &[CacheEvent]) {
        let Some(shard) = self.shard_of_target(target) else { return };
        let Some(handle) = shard.target_mut(target).map(|entry| entry.handle) else { return };
        for event in events {
            shard.prefixes.apply_event(now, handle, event.sequence, event.prefix_hash, event.stored);
        }
    }

    /// Ends asks of dead or silent hosts and asks whose wait is over, and grants what became possible.
    pub fn tick(&mut self, view: &Arc<ControlView>, now: BootTime) -> Vec<CoordinatorAnswer> {
        let mut answers = self.refresh(view, now);
        if now.saturating_sub(self.scanned_at) >= SCAN_PERIOD {
            self.scanned_at = now;
            self.end_lost_asks(view, now);
        }
        answers.extend(self.serve_all(view, now));
        answers
    }

    fn end_lost_asks(&mut self, view: &ControlView, now: BootTime) {
        for key in self.asks.find_open(|key, state| is_lost(view, now, key, state)) {
            if let Some(TicketState::Granted(permit)) = self.end_ask(&key, now) {
                log::info!(target_id = permit.target.as_str(), holder = key.host.as_str(); "permit_expired");
                if let Some(target) = self.permit_target(&permit) {
                    target.lose_permit(now);
                }
            }
        }
        self.asks.forget_ended(now);
    }

    /// A process that was paused cannot know what the others decided meanwhile.
    fn note_pause(&mut self, now: BootTime) {
        let is_pause = self.last_time.is_some_and(|last| now.saturating_sub(last) > PAUSE_LIMIT);
        self.last_time = Some(now);
        if !is_pause {
            return;
        }
        log::warn!("home_paused");
        self.shares.clear();
        for target in self.shards.iter_mut().flat_map(|shard| &mut shard.targets) {
            target.coordinator_since = now;
        }
        // Renewals wait in the buffers of the links; without this, every holder would look silent.
        for key in self.asks.find_open(|_, _| true) {
            match self.asks.get_mut(&key) {
                Some(TicketState::Waiting { heard_at, .. }) => *heard_at = now,
                Some(TicketState::Granted(permit)) => permit.heard_at = now,
                Some(TicketState::Ended { .. }) | None => {}
            }
        }
    }

    fn rebuild_shards(&mut self, view: &ControlView, now: BootTime, names: &[ShardName]) -> Vec<CoordinatorAnswer> {
        let former = std::mem::take(&mut self.shards);
        let mut targets: Vec<CoordinatedTarget> = Vec::new();
        let mut kept: Vec<CoordinatedShard> = Vec::new();
        let mut moved: Vec<QueuedTicket> = Vec::new();
        for mut shard in former {
            targets.append(&mut shard.targets);
            if names.binary_search(&shard.name).is_ok() {
                kept.push(shard);
            } else {
                moved.extend(shard.queue.drain());
            }
        }
        targets.sort_unstable_by(|left, right| left.entry.id.cmp(&right.entry.id));
        self.shards = names.iter().map(|name| take_shard(&mut kept, name, view)).collect();
        self.place_targets(view, now, &targets);
        moved.into_iter().map(|ask| self.send_away(view, now, ask)).collect()
    }

    fn place_targets(&mut self, view: &ControlView, now: BootTime, known: &[CoordinatedTarget]) {
        let permits = self.asks.count_permits();
        let configuration = &view.configuration;
        for service in &configuration.services {
            for placed in shard_targets(configuration, &service.name, &view.failure_domain) {
                let name = ShardName { service: service.name.clone(), index: placed.shard };
                let Ok(position) = self.shards.binary_search_by(|shard| shard.name.cmp(&name)) else { continue };
                let found = known.binary_search_by(|target| target.entry.id.cmp(&placed.entry.id));
                let mut target = if let Ok(found) = found {
                    known[found].clone()
                } else {
                    let count = permits.binary_search_by(|count| count.target.cmp(&placed.entry.id));
                    let in_flight = count.map_or(0, |count| permits[count].permits);
                    self.next_handle += 1;
                    CoordinatedTarget::new(placed.entry, self.next_handle, in_flight, now)
                };
                target.update(placed.entry, now);
                target.is_in_rotation = configuration.is_in_rotation(placed.entry);
                self.shards[position].targets.push(target);
            }
        }
        for shard in &mut self.shards {
            shard.targets.sort_unstable_by(|left, right| left.entry.id.cmp(&right.entry.id));
        }
    }

    fn send_away(&mut self, view: &ControlView, now: BootTime, ask: QueuedTicket) -> CoordinatorAnswer {
        let home = shard_coordinator(view, &ask.request.service, &view.failure_domain, ask.request.shard);
        self.asks.set(ask.key.clone(), TicketState::Ended { at: now });
        moved_answer(ask.key, home)
    }

    fn confirm_ask(&mut self, now: BootTime, key: TicketKey, target: &str) {
        match self.asks.get_mut(&key) {
            Some(TicketState::Granted(permit)) => permit.heard_at = now,
            Some(TicketState::Waiting { heard_at, .. }) => *heard_at = now,
            Some(TicketState::Ended { .. }) | None if !target.is_empty() => self.adopt_permit(now, key, target),
            Some(TicketState::Ended { .. }) | None => {}
        }
    }

    /// Counts a permit that a former home granted, or that was dropped here while its holder was silent.
    fn adopt_permit(&mut self, now: BootTime, key: TicketKey, target: &str) {
        let Some(shard) = self.shard_of_target(target) else { return };
        let name = shard.name.clone();
        let Some(entry) = shard.target_mut(target) else { return };
        entry.add_permit();
        let permit = GrantedPermit {
            shard: name,
            target: target.to_owned(),
            organisation: OrganisationId::new(),
            expected_tokens: 0,
            is_cached: false,
            heard_at: now,
        };
        self.asks.set(key, TicketState::Granted(permit));
    }
}

/// Names of the shards that the view gives to this host, sorted.
fn own_shards(view: &ControlView, layout: &ShardLayout) -> Vec<ShardName> {
    let mut names = Vec::new();
    for entry in layout.entries.iter().filter(|entry| entry.failure_domain == view.failure_domain) {
        for index in 0..ShardIndex::try_from(entry.shards()).unwrap_or(ShardIndex::MAX) {
            let home = shard_coordinator(view, &entry.service, &view.failure_domain, index);
            if home.as_ref() == Some(&view.host) {
                names.push(ShardName { service: entry.service.clone(), index });
            }
        }
    }
    names.sort_unstable();
    names
}

fn take_shard(kept: &mut Vec<CoordinatedShard>, name: &ShardName, view: &ControlView) -> CoordinatedShard {
    let limit = view.configuration.service(&name.service).map_or(0, queue_limit);
    match kept.iter().position(|shard| shard.name == *name) {
        Some(position) => {
            let mut shard = kept.swap_remove(position);
            shard.queue.set_limit(limit);
            shard
        }
        None => CoordinatedShard::new(name.clone(), limit),
    }
}

fn queue_limit(service: &ServiceEntry) -> usize {
    usize::try_from(service.queue_limit).unwrap_or(usize::MAX)
}

fn is_lost(view: &ControlView, now: BootTime, key: &TicketKey, state: &TicketState) -> bool {
    let (heard_at, silence) = match state {
        TicketState::Waiting { heard_at, .. } => (*heard_at, ASKER_SILENCE),
        TicketState::Granted(permit) => (permit.heard_at, HOLDER_SILENCE),
        TicketState::Ended { .. } => return false,
    };
    if key.host == view.host {
        return key.incarnation != view.incarnation;
    }
    is_dead(view, key) || now.saturating_sub(heard_at) > silence
}

/// Whether the asker's life is over by the view; only hosts of the own failure domain are known.
pub(super) fn is_dead(view: &ControlView, key: &TicketKey) -> bool {
    let Ok(position) = view.members.binary_search_by(|member| member.host.cmp(&key.host)) else { return false };
    let member = &view.members[position];
    member.state == MemberState::Dead || member.incarnation > key.incarnation
}
