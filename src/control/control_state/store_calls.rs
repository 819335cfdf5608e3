//! Store calls of the control state other than those of the leases: polls, host list, writes of withdrawals, and
//! snapshots of the configuration.

use super::{ControlAction, ControlState};
use crate::control::gossip_plan::GossipRole;
use crate::control::store_call::{
    SINGLETON_ROW_KEY, SNAPSHOT_TABLE, StoreAnswer, StoreCall, StoreCommand, StorePurpose, StoreReport,
    WITHDRAWN_SUMMARY_TABLE, WITHDRAWN_TABLE, row_check, row_write,
};
use crate::control::store_poll::{PollStep, SnapshotPointer, WithdrawnSummary};
use crate::control::withdrawn_set::key_hash;
use crate::generated::platform_messages::{HostRecord, TableRow, TransactionAnswer};
use crate::peer::PeerAddress;
use crate::prelude::*;
use crate::store_client::StoreCallError;

/// Delay before the poller of a failure domain writes a withdrawal that it learned from a peer. The host at which the
/// operator withdrew the key writes at once.
const POLLER_WRITE_DELAY: Duration = Duration::from_secs(2);

/// Delay before any other host writes a withdrawal that it learned from a peer.
const OTHER_WRITE_DELAY: Duration = Duration::from_secs(10);

/// Delay after a failed write of a withdrawal.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time after which a call without an answer is repeated; also the delay after a failed snapshot.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// When a kind of call is due. At most one call of the kind is in flight.
#[derive(Debug, Clone, Copy)]
struct CallSchedule {
    /// Start of the call in flight; `None` if there is none.
    sent_at: Option<BootTime>,
    /// Time from which the next call may start.
    due_at: BootTime,
}

impl CallSchedule {
    fn new(now: BootTime) -> Self {
        Self { sent_at: None, due_at: now }
    }

    /// Records the start of a call and returns `true` if one is due and none is in flight. A call without an answer
    /// counts as in flight for [`CALL_TIMEOUT`].
    fn start_if_due(&mut self, now: BootTime) -> bool {
        let is_in_flight = self.sent_at.is_some_and(|sent_at| now.saturating_sub(sent_at) <= CALL_TIMEOUT);
        if is_in_flight || now < self.due_at {
            return false;
        }
        self.sent_at = Some(now);
        true
    }

    /// Records the end of the call in flight.
    fn finish(&mut self, due_at: BootTime) {
        self.sent_at = None;
        self.due_at = due_at;
    }
}

/// Write of a withdrawal that is in flight.
#[derive(Debug, Clone)]
struct WithdrawalWrite {
    key_id: KeyId,
    /// Summary that the write sets.
    summary: WithdrawnSummary,
    /// Version of the summary row after the write.
    row_version: u64,
}

/// State of the store calls other than those of the poll and the leases.
#[derive(Debug)]
pub(super) struct StoreCallStates {
    role: GossipRole,
    host_list_call: CallSchedule,
    withdrawal_call: CallSchedule,
    pending_write: Option<WithdrawalWrite>,
    snapshot_call: CallSchedule,
    /// Version of the snapshot that this host stored last or is storing; 0 before the first and after a failure.
    snapshot_version: ConfigurationVersion,
    /// Transaction tokens used so far; part of the next token, so that each one differs.
    token_count: u64,
}

impl StoreCallStates {
    pub(super) fn new(now: BootTime) -> Self {
        Self {
            role: GossipRole::Poller,
            host_list_call: CallSchedule::new(now),
            withdrawal_call: CallSchedule::new(now),
            pending_write: None,
            snapshot_call: CallSchedule::new(now),
            snapshot_version: 0,
            token_count: 0,
        }
    }

    pub(super) fn set_role(&mut self, role: GossipRole) {
        self.role = role;
    }

    fn poll_period(&self) -> Duration {
        if self.role == GossipRole::Poller { STORE_POLL } else { STORE_POLL_IDLE }
    }

    /// Delays the next write after a withdrawal came from a peer, because the host that accepted it is writing it.
    pub(super) fn delay_withdrawal_write(&mut self, now: BootTime) {
        let delay = if self.role == GossipRole::Poller { POLLER_WRITE_DELAY } else { OTHER_WRITE_DELAY };
        self.withdrawal_call.due_at = self.withdrawal_call.due_at.max(now + delay);
    }

    /// Writer token for a transaction, unique to this incarnation.
    fn next_token(&mut self, host: &str, incarnation: Incarnation) -> String {
        self.token_count += 1;
        format!("{host}.{incarnation:x}.control.{}", self.token_count)
    }
}

impl ControlState {
    pub(super) fn start_due_calls(&mut self, now: BootTime, actions: &mut Vec<ControlAction>) {
        let is_initialised = self.freshness.is_initialised();
        let interval = if is_initialised { self.store_calls.poll_period() } else { STORE_POLL };
        if let Some(call) = self.poll.start(&self.log, now, interval) {
            push_store_call(actions, StorePurpose::Poll, call);
        }
        if self.store_calls.host_list_call.start_if_due(now) {
            push_store_call(actions, StorePurpose::HostList, StoreCall::ListHosts);
        }
        if now >= self.store_calls.withdrawal_call.due_at {
            self.write_withdrawal(now, actions);
        }
    }

    pub(super) fn handle_store_report(&mut self, report: StoreReport, now: BootTime, actions: &mut Vec<ControlAction>) {
        match &report.purpose {
            StorePurpose::Poll => self.handle_poll_result(report.outcome, now, actions),
            StorePurpose::HostList => self.handle_host_list(report.outcome, now, actions),
            StorePurpose::WithdrawnWrite(key_id) => {
                let key_id = key_id.clone();
                self.handle_withdrawal_result(&key_id, report.outcome, now, actions);
            }
            StorePurpose::Snapshot => self.handle_snapshot_result(report.outcome, now, actions),
            _ => actions.extend(self.leases.handle_report(&report, now).into_iter().map(ControlAction::Store)),
        }
    }

    fn handle_poll_result(
        &mut self,
        outcome: Result<StoreAnswer, StoreCallError>,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        match self.poll.take(outcome, &mut self.log, &mut self.withdrawn) {
            PollStep::Call(call) => push_store_call(actions, StorePurpose::Poll, call),
            PollStep::Complete(started_at) => {
                self.freshness.record_store_read(started_at);
                self.start_due_snapshot(now, actions);
            }
            PollStep::Failed => {}
        }
        self.apply_deferred_freshness(now);
    }

    fn handle_host_list(
        &mut self,
        outcome: Result<StoreAnswer, StoreCallError>,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        let interval = if self.listed_hosts.is_empty() { STORE_POLL } else { STORE_POLL_IDLE };
        self.store_calls.host_list_call.finish(now + interval);
        let Ok(StoreAnswer::Hosts(mut hosts)) = outcome else { return };
        hosts.sort_by(|left, right| left.host.cmp(&right.host));
        hosts.dedup_by(|left, right| left.host == right.host);
        // With an empty list, only the own failure domain would have to be heard, and that one always counts as heard.
        // A partitioned host would then look fresh.
        if hosts.is_empty() || hosts == *self.listed_hosts {
            return;
        }
        self.freshness.set_listed(&hosts);
        actions.push(ControlAction::SetAddresses(addresses_of(&hosts, &self.identity.host)));
        self.listed_hosts = Arc::new(hosts);
    }

    /// Writes the oldest withdrawal that the store is not known to have, together with the summary of all withdrawals.
    /// Does nothing while such a write is in flight.
    pub(super) fn write_withdrawal(&mut self, now: BootTime, actions: &mut Vec<ControlAction>) {
        let Some(key_id) = self.withdrawn.unstored().first().cloned() else { return };
        if !self.store_calls.withdrawal_call.start_if_due(now) {
            // A withdrawal made at this host is written at once, also while `delay_withdrawal_write` delays those from
            // peers.
            self.store_calls.withdrawal_call.due_at = now;
            if !self.store_calls.withdrawal_call.start_if_due(now) {
                return;
            }
        }
        let (summary, summary_version) = self.poll.mark();
        let next = WithdrawnSummary { hash: summary.hash ^ key_hash(&key_id), count: summary.count + 1 };
        let call = StoreCall::Transact {
            token: self.store_calls.next_token(&self.identity.host, self.identity.incarnation),
            checks: vec![
                row_check(WITHDRAWN_TABLE, &key_id, 0),
                row_check(WITHDRAWN_SUMMARY_TABLE, SINGLETON_ROW_KEY, summary_version),
            ],
            writes: vec![
                row_write(WITHDRAWN_TABLE, &key_id, &self.identity.host),
                row_write(WITHDRAWN_SUMMARY_TABLE, SINGLETON_ROW_KEY, &next),
            ],
        };
        self.store_calls.pending_write =
            Some(WithdrawalWrite { key_id: key_id.clone(), summary: next, row_version: summary_version + 1 });
        push_store_call(actions, StorePurpose::WithdrawnWrite(key_id), call);
    }

    fn handle_withdrawal_result(
        &mut self,
        key_id: &str,
        outcome: Result<StoreAnswer, StoreCallError>,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        let pending_write =
            self.store_calls.pending_write.take().filter(|pending_write| pending_write.key_id == key_id);
        match outcome {
            Ok(StoreAnswer::Transaction(answer)) => {
                self.store_calls.withdrawal_call.finish(now);
                if answer.applied {
                    self.withdrawn.record_stored(&[key_id.to_owned()]);
                    if let Some(pending_write) = pending_write {
                        self.poll.set_summary(pending_write.summary, pending_write.row_version);
                    }
                } else {
                    self.handle_withdrawal_conflict(key_id, &answer);
                }
                self.write_withdrawal(now, actions);
            }
            // The write is idempotent: when it took effect but the answer was lost, the next attempt finds the row.
            _ => self.store_calls.withdrawal_call.finish(now + WRITE_RETRY_DELAY),
        }
    }

    /// Learns from the conflicting rows whether the store has the withdrawal already, and what the summary is now.
    fn handle_withdrawal_conflict(&mut self, key_id: &str, answer: &TransactionAnswer) {
        for row in &answer.conflicts {
            if row.table == WITHDRAWN_TABLE && row.key == key_id {
                self.withdrawn.record_stored(&[key_id.to_owned()]);
            } else if row.table == WITHDRAWN_SUMMARY_TABLE
                && let Some(summary) = summary_of_row(row)
            {
                self.poll.set_summary(summary, row.version);
            }
        }
    }

    /// Stores a snapshot when the version has passed a multiple of [`SNAPSHOT_VERSIONS`] since the last one of this
    /// host. Only the poller of each failure domain does so; the snapshots of one version have the same content,
    /// whoever stores them.
    fn start_due_snapshot(&mut self, now: BootTime, actions: &mut Vec<ControlAction>) {
        let version = self.log.version();
        let last_multiple = version - version % SNAPSHOT_VERSIONS;
        let is_due = last_multiple > self.store_calls.snapshot_version && self.store_calls.role == GossipRole::Poller;
        if is_due && self.store_calls.snapshot_call.start_if_due(now) {
            let configuration = Arc::clone(self.log.configuration());
            push_store_call(actions, StorePurpose::Snapshot, StoreCall::PutSnapshot(configuration));
            self.store_calls.snapshot_version = version;
        }
    }

    fn handle_snapshot_result(
        &mut self,
        outcome: Result<StoreAnswer, StoreCallError>,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        match outcome {
            Ok(StoreAnswer::Stored) => {
                let call = StoreCall::ReadRow { table: SNAPSHOT_TABLE, key: SINGLETON_ROW_KEY.to_owned() };
                push_store_call(actions, StorePurpose::Snapshot, call);
            }
            Ok(StoreAnswer::Row(row)) => self.write_snapshot_pointer(row.as_ref(), now, actions),
            Ok(_) => self.store_calls.snapshot_call.finish(now),
            Err(_) => {
                self.store_calls.snapshot_call.finish(now + CALL_TIMEOUT);
                self.store_calls.snapshot_version = 0;
            }
        }
    }

    /// Points the pointer row at the snapshot just stored, unless the row names the same or a newer version.
    fn write_snapshot_pointer(&mut self, row: Option<&TableRow>, now: BootTime, actions: &mut Vec<ControlAction>) {
        let pointer = row.and_then(|row| serde_json::from_str::<SnapshotPointer>(&row.value).ok());
        let version = self.store_calls.snapshot_version;
        if version == 0 || pointer.is_some_and(|pointer| pointer.version >= version) {
            self.store_calls.snapshot_call.finish(now);
            return;
        }
        let call = StoreCall::Transact {
            token: self.store_calls.next_token(&self.identity.host, self.identity.incarnation),
            checks: vec![row_check(SNAPSHOT_TABLE, SINGLETON_ROW_KEY, row.map_or(0, |row| row.version))],
            writes: vec![row_write(SNAPSHOT_TABLE, SINGLETON_ROW_KEY, &SnapshotPointer { version })],
        };
        push_store_call(actions, StorePurpose::Snapshot, call);
    }
}

fn push_store_call(actions: &mut Vec<ControlAction>, purpose: StorePurpose, call: StoreCall) {
    actions.push(ControlAction::Store(StoreCommand { purpose, call }));
}

fn summary_of_row(row: &TableRow) -> Option<WithdrawnSummary> {
    serde_json::from_str(&row.value).ok()
}

fn addresses_of(hosts: &[HostRecord], own_host: &str) -> Vec<PeerAddress> {
    let others = hosts.iter().filter(|record| record.host != own_host);
    others.map(|record| PeerAddress { host: record.host.clone(), address: record.peer_address.clone() }).collect()
}
