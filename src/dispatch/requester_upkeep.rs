//! What an entry host does as time passes: repeats, lost homes, the end of waits, and lists of what it holds.

use crate::control::ControlView;
use crate::dispatch::pending_permit::{PendingPermit, PermitRequestId, current_coordinator};
use crate::dispatch::requester_state::{
    FIRST_REPEAT, FIRST_SILENCE, RequesterAction, RequesterState, WAIT_REPEAT, WAIT_SILENCE,
};
use crate::dispatch::shard_layout::{ShardLayout, shard_coordinator};
use crate::generated::peer_messages::PermitRenewal;
use crate::prelude::*;

/// Time for which a home gets lists after the last contact; some renewals of that time may be lost.
const HOME_MEMORY: Duration = Duration::from_mins(1);

/// What is due for an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DueWork {
    Nothing,
    Expire,
    Repeat,
    LeaveCoordinator,
    NewRound,
}

struct DueAsk {
    number: PermitRequestId,
    work: DueWork,
}

impl RequesterState {
    /// Does what is due. Whether homes moved is looked at only when the view is new.
    pub fn tick(
        &mut self,
        view: &ControlView,
        layout: &ShardLayout,
        now: BootTime,
        is_view_new: bool,
    ) -> Vec<RequesterAction> {
        let mut actions = Vec::new();
        let due = |pending: &PendingPermit| due_work(view, layout, now, is_view_new, pending);
        let asks = self.pending.iter().map(|(number, pending)| DueAsk { number: *number, work: due(pending) });
        let due_asks: Vec<DueAsk> = asks.filter(|ask| ask.work != DueWork::Nothing).collect();
        for ask in due_asks {
            self.work_on(view, layout, now, &ask, &mut actions);
        }
        if now.saturating_sub(self.renewed_at) >= PERMIT_RENEWAL {
            self.renewed_at = now;
            self.renew(view, now, &mut actions);
        }
        actions
    }

    fn work_on(
        &mut self,
        view: &ControlView,
        layout: &ShardLayout,
        now: BootTime,
        due: &DueAsk,
        actions: &mut Vec<RequesterAction>,
    ) {
        let Some(mut pending) = self.take_pending(due.number) else { return };
        match due.work {
            DueWork::Nothing => {}
            DueWork::Expire => {
                self.abandon(now, pending.attempt.as_ref(), actions);
                let code = pending.last_code.filter(|_| pending.attempt.is_none()).unwrap_or(ResultCode::QueueTimeout);
                actions.push(RequesterAction::Settle(due.number, Err(code)));
            }
            DueWork::Repeat => {
                if let Some(mut attempt) = pending.attempt.take() {
                    attempt.sent_at = now;
                    let request = pending.request(&attempt, now);
                    actions.push(RequesterAction::Send(attempt.place.home.clone(), request.into()));
                    pending.attempt = Some(attempt);
                }
                self.put_pending(pending);
            }
            DueWork::LeaveCoordinator => {
                let attempt = pending.attempt.take();
                self.abandon(now, attempt.as_ref(), actions);
                log::info!(request_id = pending.ask.request_id.as_str(); "home_left");
                pending.is_transient = true;
                pending.last_code = Some(ResultCode::QueueTimeout);
                self.ask_next(now, pending, actions);
            }
            DueWork::NewRound => self.plan_and_ask(view, layout, now, pending, actions),
        }
    }

    /// Tells every recent home what this host still holds and waits for there.
    fn renew(&mut self, view: &ControlView, now: BootTime, actions: &mut Vec<RequesterAction>) {
        let mut named: Vec<HostId> = Vec::new();
        for held in self.held.values() {
            named.push(held.place.home.clone());
            named.extend(current_coordinator(view, held));
        }
        let waiting = self.pending.values().filter_map(|pending| pending.attempt.as_ref());
        named.extend(waiting.map(|attempt| attempt.place.home.clone()));
        for host in named {
            self.record_coordinator(now, &host);
        }
        self.recent.retain(|home| now.saturating_sub(home.used_at) < HOME_MEMORY);
        for home in &self.recent {
            actions.push(RequesterAction::Send(home.host.clone(), self.renewal_for(view, &home.host).into()));
        }
    }

    fn renewal_for(&self, view: &ControlView, host: &str) -> PermitRenewal {
        let mut items: Vec<RenewalItem<'_>> = Vec::new();
        for held in self.held.values() {
            let is_new_coordinator = || current_coordinator(view, held).is_some_and(|home| home == host);
            if held.place.home == host || is_new_coordinator() {
                items.push(RenewalItem { ticket: held.ticket, target: &held.target });
            }
        }
        for attempt in self.pending.values().filter_map(|pending| pending.attempt.as_ref()) {
            if attempt.place.home == host {
                items.push(RenewalItem { ticket: attempt.ticket, target: "" });
            }
        }
        items.sort_unstable_by_key(|item| item.ticket);
        PermitRenewal {
            tickets: items.iter().map(|item| item.ticket).collect(),
            targets: items.iter().map(|item| item.target.to_owned()).collect(),
            last_ticket: self.next_ticket,
        }
    }
}

struct RenewalItem<'a> {
    ticket: u64,
    target: &'a str,
}

fn due_work(
    view: &ControlView,
    layout: &ShardLayout,
    now: BootTime,
    is_view_new: bool,
    pending: &PendingPermit,
) -> DueWork {
    if now >= pending.expires_at {
        return DueWork::Expire;
    }
    let Some(attempt) = &pending.attempt else {
        return if now >= pending.retry_at { DueWork::NewRound } else { DueWork::Nothing };
    };
    let (repeat, silence) =
        if attempt.is_acknowledged { (WAIT_REPEAT, WAIT_SILENCE) } else { (FIRST_REPEAT, FIRST_SILENCE) };
    let is_out = is_view_new && !has_targets(layout, &pending.ask.service, &attempt.place.failure_domain);
    // In another failure domain only that domain's hosts know the home.
    let is_own = is_view_new && attempt.place.failure_domain == view.failure_domain;
    let is_moved = is_own && {
        let home = shard_coordinator(view, &pending.ask.service, &attempt.place.failure_domain, attempt.place.shard);
        home.as_ref() != Some(&attempt.place.home)
    };
    if is_out || is_moved || now.saturating_sub(attempt.heard_at) >= silence {
        return DueWork::LeaveCoordinator;
    }
    if now.saturating_sub(attempt.sent_at) >= repeat { DueWork::Repeat } else { DueWork::Nothing }
}

fn has_targets(layout: &ShardLayout, service: &str, failure_domain: &str) -> bool {
    let entries = layout.entries_of_service(service).iter();
    entries.filter(|entry| entry.failure_domain == failure_domain).any(|entry| entry.in_rotation_count > 0)
}
