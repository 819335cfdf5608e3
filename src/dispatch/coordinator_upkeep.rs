//! How a coordinator reacts to view changes, renewals by requesters, reports of targets, and the passing of time.

use crate::control::control_view::MemberState;
use crate::control::{ControlView, HostIdentity};
use crate::dispatch::coordinated_shard::{CoordinatedShard, QueuedTicket};
use crate::dispatch::coordinated_target::CoordinatedTarget;
use crate::dispatch::coordinator_state::{CoordinatorAnswer, CoordinatorState, PAUSE_THRESHOLD, moved_answer};
use crate::dispatch::shard_layout::{ShardLayout, domain_visibility, shard_coordinator, shard_targets};
use crate::dispatch::ticket_table::{GrantedPermit, ShardName, TicketKey, TicketState};
use crate::generated::engine_messages::{CacheEvent, EngineLoad};
use crate::generated::peer_messages::PermitRenewal;
use crate::generated::services_text::ServiceEntry;
use crate::prelude::*;

/// Silence of a permit's holder after which the permit is ended: three renewals were lost.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(12);

/// Period of the scan for tickets whose requester is lost.
const SCAN_PERIOD: Duration = Duration::from_secs(1);

/// Silence of a requester after which its waiting ticket is ended; requesters repeat a waiting request each second.
const REQUESTER_TIMEOUT: Duration = Duration::from_secs(4);

impl CoordinatorState {
    /// Applies the view, which decides the capacity shares, the shards that this host coordinates, and their targets.
    /// Checks first whether this process was paused. Returns answers that redirect the waiting tickets of shards that
    /// now have another coordinator.
    pub fn apply_view(&mut self, view: &Arc<ControlView>, now: BootTime) -> Vec<CoordinatorAnswer> {
        self.detect_pause(now);
        if self.view.as_ref().is_some_and(|known| Arc::ptr_eq(known, view)) {
            self.shares.record(now, self.visibility);
            return Vec::new();
        }
        self.view = Some(Arc::clone(view));
        self.visibility = domain_visibility(view);
        self.shares.record(now, self.visibility);
        let known = self.layout.take();
        let unchanged = known.filter(|layout| Arc::ptr_eq(&layout.configuration, &view.configuration));
        let is_layout_unchanged = unchanged.is_some();
        let layout = unchanged.unwrap_or_else(|| ShardLayout::new(&view.configuration));
        let names = find_own_shards(view, &layout);
        self.layout = Some(layout);
        if is_layout_unchanged && names == self.shard_names {
            return Vec::new();
        }
        let answers = self.rebuild_shards(view, now, &names);
        self.shard_names = names;
        answers
    }

    /// Handles a renewal, which lists a requester's open tickets and held permits: confirms the listed tickets, adopts
    /// listed permits that this coordinator does not count, and ends the sender's other tickets. Tickets above the
    /// renewal's `last_ticket` are newer than the list and stay.
    pub fn handle_renewal(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        from: &HostIdentity,
        renewal: &PermitRenewal,
    ) -> Vec<CoordinatorAnswer> {
        let mut answers = self.apply_view(view, now);
        for (ticket, target) in renewal.tickets.iter().zip(&renewal.targets) {
            self.confirm_ticket(now, TicketKey::new(from, *ticket), target);
        }
        for key in self.ticket_table.find_open_of_sender(from, renewal.last_ticket) {
            if renewal.tickets.binary_search(&key.ticket).is_err() {
                self.end_ticket(&key, now);
            }
        }
        answers.extend(self.serve_all(view, now));
        answers
    }

    /// Applies a target's load report and serves the queues, because slots may have become free.
    pub fn handle_load_report(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        target: &str,
        load: &EngineLoad,
    ) -> Vec<CoordinatorAnswer> {
        let mut answers = self.apply_view(view, now);
        let is_partitioned = self.shares.is_partitioned();
        let Some(shard) = self.shard_of_target(target) else { return answers };
        let Some(coordinated) = shard.target_mut(target) else { return answers };
        let handle = coordinated.handle;
        if coordinated.apply_load(now, load, is_partitioned) {
            log::info!(target_id = target; "target_restarted");
            shard.prefixes.forget_target(handle);
        }
        answers.extend(self.serve_all(view, now));
        answers
    }

    /// Applies a target's cache events to the prefix index of its shard.
    pub fn handle_cache_events(&mut self, now: BootTime, target: &str, events: &[CacheEvent]) {
        let Some(shard) = self.shard_of_target(target) else { return };
        let Some(handle) = shard.target_mut(target).map(|coordinated| coordinated.handle) else { return };
        for event in events {
            shard.prefixes.apply_event(now, handle, event.sequence, event.prefix_hash, event.stored);
        }
    }

    /// Ends the tickets of dead or silent hosts, and grants or refuses waiting tickets.
    pub fn tick(&mut self, view: &Arc<ControlView>, now: BootTime) -> Vec<CoordinatorAnswer> {
        let mut answers = self.apply_view(view, now);
        if now.saturating_sub(self.scanned_at) >= SCAN_PERIOD {
            self.scanned_at = now;
            self.end_lost_tickets(view, now);
        }
        answers.extend(self.serve_all(view, now));
        answers
    }

    fn end_lost_tickets(&mut self, view: &ControlView, now: BootTime) {
        for key in self.ticket_table.find_open(|key, state| is_lost(view, now, key, state)) {
            if let Some(TicketState::Granted(permit)) = self.end_ticket(&key, now) {
                log::info!(target_id = permit.target.as_str(), holder = key.host.as_str(); "permit_expired");
                if let Some(target) = self.permit_target(&permit) {
                    target.record_lost_permit(now);
                }
            }
        }
        self.ticket_table.forget_ended(now);
    }

    /// Detects a pause of this process. Other hosts may have become coordinators of its targets meanwhile, so this host
    /// waits again before it uses its capacity shares.
    fn detect_pause(&mut self, now: BootTime) {
        let has_paused = self.last_event_at.is_some_and(|last| now.saturating_sub(last) > PAUSE_THRESHOLD);
        self.last_event_at = Some(now);
        if !has_paused {
            return;
        }
        log::warn!("home_paused");
        self.shares.clear();
        for target in self.shards.iter_mut().flat_map(|shard| &mut shard.targets) {
            target.coordinator_since = now;
        }
        // Renewals sent during the pause still wait in the buffers of the links, and every holder would seem silent.
        // All tickets therefore count as heard of now.
        for key in self.ticket_table.find_open(|_, _| true) {
            match self.ticket_table.get_mut(&key) {
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
        self.shards = names.iter().map(|name| take_or_create_shard(&mut kept, name, view)).collect();
        self.assign_targets(view, now, &targets);
        moved.into_iter().map(|queued| self.redirect_ticket(view, now, queued)).collect()
    }

    fn assign_targets(&mut self, view: &ControlView, now: BootTime, known: &[CoordinatedTarget]) {
        let permits = self.ticket_table.count_permits();
        let configuration = &view.configuration;
        for service in &configuration.services {
            for shard_target in shard_targets(configuration, &service.name, &view.failure_domain) {
                let name = ShardName { service: service.name.clone(), index: shard_target.shard };
                let Ok(position) = self.shards.binary_search_by(|shard| shard.name.cmp(&name)) else { continue };
                let found = known.binary_search_by(|target| target.entry.id.cmp(&shard_target.entry.id));
                let mut target = if let Ok(found) = found {
                    known[found].clone()
                } else {
                    let permit_position = permits.binary_search_by(|count| count.target.cmp(&shard_target.entry.id));
                    let in_flight = permit_position.map_or(0, |permit_index| permits[permit_index].permits);
                    self.next_handle += 1;
                    CoordinatedTarget::new(shard_target.entry, self.next_handle, in_flight, now)
                };
                target.apply_entry(shard_target.entry, now);
                target.is_in_rotation = configuration.is_in_rotation(shard_target.entry);
                self.shards[position].targets.push(target);
            }
        }
        for shard in &mut self.shards {
            shard.targets.sort_unstable_by(|left, right| left.entry.id.cmp(&right.entry.id));
        }
    }

    fn redirect_ticket(&mut self, view: &ControlView, now: BootTime, queued: QueuedTicket) -> CoordinatorAnswer {
        let coordinator = shard_coordinator(view, &queued.request.service, &view.failure_domain, queued.request.shard);
        self.ticket_table.set(queued.key.clone(), TicketState::Ended { ended_at: now });
        moved_answer(queued.key, coordinator)
    }

    fn confirm_ticket(&mut self, now: BootTime, key: TicketKey, target: &str) {
        match self.ticket_table.get_mut(&key) {
            Some(TicketState::Granted(permit)) => permit.heard_at = now,
            Some(TicketState::Waiting { heard_at, .. }) => *heard_at = now,
            Some(TicketState::Ended { .. }) | None if !target.is_empty() => self.adopt_permit(now, key, target),
            Some(TicketState::Ended { .. }) | None => {}
        }
    }

    /// Counts a permit that a former coordinator granted, or that was ended here while its holder was silent.
    fn adopt_permit(&mut self, now: BootTime, key: TicketKey, target: &str) {
        let Some(shard) = self.shard_of_target(target) else { return };
        let name = shard.name.clone();
        let Some(coordinated) = shard.target_mut(target) else { return };
        coordinated.add_permit();
        let permit = GrantedPermit {
            shard: name,
            target: target.to_owned(),
            organisation: OrganisationId::new(),
            expected_tokens: 0,
            is_cached: false,
            heard_at: now,
        };
        self.ticket_table.set(key, TicketState::Granted(permit));
    }
}

/// Returns the sorted names of the shards that the view assigns to this host.
fn find_own_shards(view: &ControlView, layout: &ShardLayout) -> Vec<ShardName> {
    let mut names = Vec::new();
    for entry in layout.entries.iter().filter(|entry| entry.failure_domain == view.failure_domain) {
        for index in 0..ShardIndex::try_from(entry.count_shards()).unwrap_or(ShardIndex::MAX) {
            let coordinator = shard_coordinator(view, &entry.service, &view.failure_domain, index);
            if coordinator.as_ref() == Some(&view.host) {
                names.push(ShardName { service: entry.service.clone(), index });
            }
        }
    }
    names.sort_unstable();
    names
}

fn take_or_create_shard(kept: &mut Vec<CoordinatedShard>, name: &ShardName, view: &ControlView) -> CoordinatedShard {
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
    let (heard_at, timeout) = match state {
        TicketState::Waiting { heard_at, .. } => (*heard_at, REQUESTER_TIMEOUT),
        TicketState::Granted(permit) => (permit.heard_at, HOLDER_TIMEOUT),
        TicketState::Ended { .. } => return false,
    };
    if key.host == view.host {
        return key.incarnation != view.incarnation;
    }
    is_sender_dead(view, key) || now.saturating_sub(heard_at) > timeout
}

/// Whether the view shows the sender's incarnation as ended: its host is dead or has restarted. Only hosts of this
/// host's own failure domain are members in the view; all others count as alive.
pub(super) fn is_sender_dead(view: &ControlView, key: &TicketKey) -> bool {
    let Ok(position) = view.members.binary_search_by(|member| member.host.cmp(&key.host)) else { return false };
    let member = &view.members[position];
    member.state == MemberState::Dead || member.incarnation > key.incarnation
}
