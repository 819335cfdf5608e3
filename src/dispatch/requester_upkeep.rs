//! Periodic work of the requester: resends, lost coordinators, expired waits, and renewals.

use crate::control::ControlView;
use crate::dispatch::pending_permit::{PendingPermit, PermitRequestId, find_current_coordinator};
use crate::dispatch::requester_state::{
    ACKNOWLEDGED_RESEND_INTERVAL, ACKNOWLEDGEMENT_TIMEOUT, COORDINATOR_TIMEOUT, RequesterAction, RequesterState,
    UNACKNOWLEDGED_RESEND_INTERVAL,
};
use crate::dispatch::shard_layout::{ShardLayout, shard_coordinator};
use crate::generated::peer_messages::PermitRenewal;
use crate::prelude::*;

/// Time after the last contact for which a coordinator receives renewals; several renewals may be lost in that time.
const RECENT_COORDINATOR_TIMEOUT: Duration = Duration::from_mins(1);

/// What is due for a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DueWork {
    Nothing,
    Expire,
    Resend,
    LeaveCoordinator,
    StartRound,
}

struct DueRequest {
    id: PermitRequestId,
    work: DueWork,
}

impl RequesterState {
    /// Handles the permit requests that are due, and sends renewals once in each period [`PERMIT_RENEWAL`]. Whether the
    /// own domain's coordinators changed, or a failure domain lost its targets, is checked only when the view is new.
    pub fn tick(
        &mut self,
        view: &ControlView,
        layout: &ShardLayout,
        now: BootTime,
        is_view_new: bool,
    ) -> Vec<RequesterAction> {
        let mut actions = Vec::new();
        let find_work = |pending: &PendingPermit| find_due_work(view, layout, now, is_view_new, pending);
        let requests = self.pending.iter().map(|(id, pending)| DueRequest { id: *id, work: find_work(pending) });
        let due_requests: Vec<DueRequest> = requests.filter(|due| due.work != DueWork::Nothing).collect();
        for due in due_requests {
            self.handle_due_request(view, layout, now, &due, &mut actions);
        }
        if now.saturating_sub(self.renewed_at) >= PERMIT_RENEWAL {
            self.renewed_at = now;
            self.send_renewals(view, now, &mut actions);
        }
        actions
    }

    fn handle_due_request(
        &mut self,
        view: &ControlView,
        layout: &ShardLayout,
        now: BootTime,
        due: &DueRequest,
        actions: &mut Vec<RequesterAction>,
    ) {
        let Some(mut pending) = self.take_pending(due.id) else { return };
        match due.work {
            DueWork::Nothing => {}
            DueWork::Expire => {
                self.cancel_ticket(now, pending.open_ticket.as_ref(), actions);
                let code =
                    pending.failure_code.filter(|_| pending.open_ticket.is_none()).unwrap_or(ResultCode::QueueTimeout);
                actions.push(RequesterAction::Resolve(due.id, Err(code)));
            }
            DueWork::Resend => {
                if let Some(mut open_ticket) = pending.open_ticket.take() {
                    open_ticket.last_sent_at = now;
                    let request = pending.build_request(&open_ticket, now);
                    actions.push(RequesterAction::Send(open_ticket.candidate.coordinator.clone(), request.into()));
                    pending.open_ticket = Some(open_ticket);
                }
                self.insert_pending(pending);
            }
            DueWork::LeaveCoordinator => {
                let open_ticket = pending.open_ticket.take();
                self.cancel_ticket(now, open_ticket.as_ref(), actions);
                log::info!(request_id = pending.requirements.request_id.as_str(); "home_left");
                pending.can_retry = true;
                pending.failure_code = Some(ResultCode::QueueTimeout);
                self.request_next_candidate(now, pending, actions);
            }
            DueWork::StartRound => self.start_round(view, layout, now, pending, actions),
        }
    }

    /// Sends every recent coordinator the permits that this host holds and the tickets that wait there.
    fn send_renewals(&mut self, view: &ControlView, now: BootTime, actions: &mut Vec<RequesterAction>) {
        let mut hosts: Vec<HostId> = Vec::new();
        for held in self.held.values() {
            hosts.push(held.candidate.coordinator.clone());
            hosts.extend(find_current_coordinator(view, held));
        }
        let waiting = self.pending.values().filter_map(|pending| pending.open_ticket.as_ref());
        hosts.extend(waiting.map(|open_ticket| open_ticket.candidate.coordinator.clone()));
        for host in hosts {
            self.record_coordinator(now, &host);
        }
        self.recent_coordinators
            .retain(|coordinator| now.saturating_sub(coordinator.contacted_at) < RECENT_COORDINATOR_TIMEOUT);
        for coordinator in &self.recent_coordinators {
            actions.push(RequesterAction::Send(
                coordinator.host.clone(),
                self.build_renewal(view, &coordinator.host).into(),
            ));
        }
    }

    fn build_renewal(&self, view: &ControlView, host: &str) -> PermitRenewal {
        let mut items: Vec<RenewalItem<'_>> = Vec::new();
        for held in self.held.values() {
            let is_new_coordinator =
                || find_current_coordinator(view, held).is_some_and(|coordinator| coordinator == host);
            if held.candidate.coordinator == host || is_new_coordinator() {
                items.push(RenewalItem { ticket: held.ticket, target: &held.target });
            }
        }
        for open_ticket in self.pending.values().filter_map(|pending| pending.open_ticket.as_ref()) {
            if open_ticket.candidate.coordinator == host {
                items.push(RenewalItem { ticket: open_ticket.ticket, target: "" });
            }
        }
        items.sort_unstable_by_key(|item| item.ticket);
        PermitRenewal {
            tickets: items.iter().map(|item| item.ticket).collect(),
            targets: items.iter().map(|item| item.target.to_owned()).collect(),
            last_ticket: self.last_ticket,
        }
    }
}

struct RenewalItem<'a> {
    ticket: u64,
    /// Empty for a ticket that waits.
    target: &'a str,
}

fn find_due_work(
    view: &ControlView,
    layout: &ShardLayout,
    now: BootTime,
    is_view_new: bool,
    pending: &PendingPermit,
) -> DueWork {
    if now >= pending.expires_at {
        return DueWork::Expire;
    }
    let Some(open_ticket) = &pending.open_ticket else {
        return if now >= pending.next_round_at { DueWork::StartRound } else { DueWork::Nothing };
    };
    let (resend_interval, timeout) = if open_ticket.is_acknowledged {
        (ACKNOWLEDGED_RESEND_INTERVAL, COORDINATOR_TIMEOUT)
    } else {
        (UNACKNOWLEDGED_RESEND_INTERVAL, ACKNOWLEDGEMENT_TIMEOUT)
    };
    let is_without_targets =
        is_view_new && !has_targets(layout, &pending.requirements.service, &open_ticket.candidate.failure_domain);
    // Only the hosts of a failure domain know the current coordinators of its shards.
    let is_own_domain = is_view_new && open_ticket.candidate.failure_domain == view.failure_domain;
    let has_moved = is_own_domain && {
        let coordinator = shard_coordinator(
            view,
            &pending.requirements.service,
            &open_ticket.candidate.failure_domain,
            open_ticket.candidate.shard,
        );
        coordinator.as_ref() != Some(&open_ticket.candidate.coordinator)
    };
    if is_without_targets || has_moved || now.saturating_sub(open_ticket.last_heard_at) >= timeout {
        return DueWork::LeaveCoordinator;
    }
    if now.saturating_sub(open_ticket.last_sent_at) >= resend_interval { DueWork::Resend } else { DueWork::Nothing }
}

fn has_targets(layout: &ShardLayout, service: &str, failure_domain: &str) -> bool {
    let entries = layout.entries_of_service(service).iter();
    entries.filter(|entry| entry.failure_domain == failure_domain).any(|entry| entry.in_rotation_count > 0)
}
