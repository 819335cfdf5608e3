//! What a home does when its view changes, when holders report, and as time passes.

use crate::control::control_view::MemberState;
use crate::control::{ControlView, PeerOrigin};
use crate::dispatch::ask_table::{AskKey, AskState, GrantedPermit, ShardName};
use crate::dispatch::home_shard::{HomeShard, WaitingAsk};
use crate::dispatch::home_state::{HomeAnswer, HomeState, PAUSE_LIMIT, moved_answer};
use crate::dispatch::home_target::HomeTarget;
use crate::dispatch::shard_view::{ShardLayout, domain_sight, shard_home, shard_targets};
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

impl HomeState {
    /// Applies the view: pauses, shares, placements, and shards that came or went.
    pub fn refresh(&mut self, view: &Arc<ControlView>, now: BootTime) -> Vec<HomeAnswer> {
        self.note_pause(now);
        if self.view.as_ref().is_some_and(|known| Arc::ptr_eq(known, view)) {
            self.shares.record(now, self.sight);
            return Vec::new();
        }
        self.view = Some(Arc::clone(view));
        self.sight = domain_sight(view);
        self.shares.record(now, self.sight);
        let known = self.layout.take();
        let same = known.filter(|layout| Arc::ptr_eq(&layout.configuration, &view.configuration));
        let is_same = same.is_some();
        let layout = same.unwrap_or_else(|| ShardLayout::new(&view.configuration));
        let names = own_shards(view, &layout);
        self.layout = Some(layout);
        if is_same && names == self.home_names {
            return Vec::new();
        }
        let answers = self.rebuild_shards(view, now, &names);
        self.home_names = names;
        answers
    }

    /// Applies a holder's list: confirms what it names, adopts permits of a former home, drops the rest.
    pub fn renew(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        from: &PeerOrigin,
        renewal: &PermitRenewal,
    ) -> Vec<HomeAnswer> {
        let mut answers = self.refresh(view, now);
        for (ticket, target) in renewal.tickets.iter().zip(&renewal.targets) {
            self.confirm_ask(now, AskKey::new(from, *ticket), target);
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
    ) -> Vec<HomeAnswer> {
        let mut answers = self.refresh(view, now);
        let is_divided = self.shares.is_divided();
        let Some(shard) = self.shard_of_target(target) else { return answers };
        let Some(entry) = shard.target_mut(target) else { return answers };
        let handle = entry.handle;
        if entry.apply_load(now, load, is_divided) {
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
    pub fn tick(&mut self, view: &Arc<ControlView>, now: BootTime) -> Vec<HomeAnswer> {
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
            if let Some(AskState::Granted(permit)) = self.end_ask(&key, now) {
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
            target.home_since = now;
        }
        // Renewals wait in the buffers of the links; without this, every holder would look silent.
        for key in self.asks.find_open(|_, _| true) {
            match self.asks.get_mut(&key) {
                Some(AskState::Waiting { heard_at, .. }) => *heard_at = now,
                Some(AskState::Granted(permit)) => permit.heard_at = now,
                Some(AskState::Ended { .. }) | None => {}
            }
        }
    }

    fn rebuild_shards(&mut self, view: &ControlView, now: BootTime, names: &[ShardName]) -> Vec<HomeAnswer> {
        let former = std::mem::take(&mut self.shards);
        let mut targets: Vec<HomeTarget> = Vec::new();
        let mut kept: Vec<HomeShard> = Vec::new();
        let mut moved: Vec<WaitingAsk> = Vec::new();
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

    fn place_targets(&mut self, view: &ControlView, now: BootTime, known: &[HomeTarget]) {
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
                    HomeTarget::new(placed.entry, self.next_handle, in_flight, now)
                };
                target.update(placed.entry, now);
                target.is_in = configuration.is_in(placed.entry);
                self.shards[position].targets.push(target);
            }
        }
        for shard in &mut self.shards {
            shard.targets.sort_unstable_by(|left, right| left.entry.id.cmp(&right.entry.id));
        }
    }

    fn send_away(&mut self, view: &ControlView, now: BootTime, ask: WaitingAsk) -> HomeAnswer {
        let home = shard_home(view, &ask.request.service, &view.failure_domain, ask.request.shard);
        self.asks.set(ask.key.clone(), AskState::Ended { at: now });
        moved_answer(ask.key, home)
    }

    fn confirm_ask(&mut self, now: BootTime, key: AskKey, target: &str) {
        match self.asks.get_mut(&key) {
            Some(AskState::Granted(permit)) => permit.heard_at = now,
            Some(AskState::Waiting { heard_at, .. }) => *heard_at = now,
            Some(AskState::Ended { .. }) | None if !target.is_empty() => self.adopt_permit(now, key, target),
            Some(AskState::Ended { .. }) | None => {}
        }
    }

    /// Counts a permit that a former home granted, or that was dropped here while its holder was silent.
    fn adopt_permit(&mut self, now: BootTime, key: AskKey, target: &str) {
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
        self.asks.set(key, AskState::Granted(permit));
    }
}

/// Names of the shards that the view gives to this host, sorted.
fn own_shards(view: &ControlView, layout: &ShardLayout) -> Vec<ShardName> {
    let mut names = Vec::new();
    for entry in layout.entries.iter().filter(|entry| entry.failure_domain == view.failure_domain) {
        for index in 0..ShardIndex::try_from(entry.shards()).unwrap_or(ShardIndex::MAX) {
            let home = shard_home(view, &entry.service, &view.failure_domain, index);
            if home.as_ref() == Some(&view.host) {
                names.push(ShardName { service: entry.service.clone(), index });
            }
        }
    }
    names.sort_unstable();
    names
}

fn take_shard(kept: &mut Vec<HomeShard>, name: &ShardName, view: &ControlView) -> HomeShard {
    let limit = view.configuration.service(&name.service).map_or(0, queue_limit);
    match kept.iter().position(|shard| shard.name == *name) {
        Some(position) => {
            let mut shard = kept.swap_remove(position);
            shard.queue.set_limit(limit);
            shard
        }
        None => HomeShard::new(name.clone(), limit),
    }
}

fn queue_limit(service: &ServiceEntry) -> usize {
    usize::try_from(service.queue_limit).unwrap_or(usize::MAX)
}

fn is_lost(view: &ControlView, now: BootTime, key: &AskKey, state: &AskState) -> bool {
    let (heard_at, silence) = match state {
        AskState::Waiting { heard_at, .. } => (*heard_at, ASKER_SILENCE),
        AskState::Granted(permit) => (permit.heard_at, HOLDER_SILENCE),
        AskState::Ended { .. } => return false,
    };
    if key.host == view.host {
        return key.incarnation != view.incarnation;
    }
    is_dead(view, key) || now.saturating_sub(heard_at) > silence
}

/// Whether the asker's life is over by the view; only hosts of the own failure domain are known.
pub(super) fn is_dead(view: &ControlView, key: &AskKey) -> bool {
    let Ok(position) = view.members.binary_search_by(|member| member.host.cmp(&key.host)) else { return false };
    let member = &view.members[position];
    member.state == MemberState::Dead || member.incarnation > key.incarnation
}
