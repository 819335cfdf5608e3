//! Calls to the store: polls, host list, missing withdrawals, snapshots.

use super::{ControlAction, ControlState};
use crate::control::gossip_plan::GossipRole;
use crate::control::store_call::{
    SINGLETON_ROW_KEY, SNAPSHOT_TABLE, StoreAnswer, StoreCall, StoreCommand, StorePurpose, StoreReport,
    WITHDRAWN_MARK_TABLE, WITHDRAWN_TABLE, row_check, row_write,
};
use crate::control::store_poll::{PollStep, SnapshotPointer, WithdrawnSummary};
use crate::control::withdrawn_set::key_hash;
use crate::generated::platform_messages::{HostRecord, TableRow, TransactionAnswer};
use crate::peer::PeerAddress;
use crate::prelude::*;
use crate::store_client::StoreCallError;

/// Wait before the poller of a failure domain writes a withdrawal that it learned from a peer; the host that accepted
/// it writes at once.
const POLLER_WRITE_DELAY: Duration = Duration::from_secs(2);

/// Wait before any other host does so.
const OTHER_WRITE_DELAY: Duration = Duration::from_secs(10);

/// Wait after a failed write of a withdrawal.
const WRITE_RETRY: Duration = Duration::from_secs(1);

/// Time after which an unanswered call is given up.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// A call that may be in flight, with the time of the next one.
#[derive(Debug, Clone, Copy)]
struct PendingCall {
    sent_at: Option<BootTime>,
    due_at: BootTime,
}

impl PendingCall {
    fn new(now: BootTime) -> Self {
        Self { sent_at: None, due_at: now }
    }

    /// Whether to call now. A call without an answer is repeated after [`CALL_LIMIT`].
    fn begin(&mut self, now: BootTime) -> bool {
        let is_open = self.sent_at.is_some_and(|sent_at| now.saturating_sub(sent_at) <= CALL_LIMIT);
        if is_open || now < self.due_at {
            return false;
        }
        self.sent_at = Some(now);
        true
    }

    fn end(&mut self, due_at: BootTime) {
        self.sent_at = None;
        self.due_at = due_at;
    }
}

/// Withdrawal that is being written.
#[derive(Debug, Clone)]
struct MarkWrite {
    key_id: KeyId,
    /// Mark that the write sets, and the version that its row then has.
    mark: WithdrawnSummary,
    row_version: u64,
}

/// State of the calls other than the poll and the leases.
#[derive(Debug)]
pub(super) struct StoreFlow {
    role: GossipRole,
    host_list: PendingCall,
    withdrawn_write: PendingCall,
    writing: Option<MarkWrite>,
    snapshot: PendingCall,
    snapshot_version: ConfigurationVersion,
    tokens: u64,
}

impl StoreFlow {
    pub(super) fn new(now: BootTime) -> Self {
        Self {
            role: GossipRole::Poller,
            host_list: PendingCall::new(now),
            withdrawn_write: PendingCall::new(now),
            writing: None,
            snapshot: PendingCall::new(now),
            snapshot_version: 0,
            tokens: 0,
        }
    }

    pub(super) fn set_role(&mut self, role: GossipRole) {
        self.role = role;
    }

    fn poll_period(&self) -> Duration {
        if self.role == GossipRole::Poller { STORE_POLL } else { STORE_POLL_IDLE }
    }

    /// Delays the write of a withdrawal that came from a peer, which its acceptor is writing.
    pub(super) fn note_learned(&mut self, now: BootTime) {
        let delay = if self.role == GossipRole::Poller { POLLER_WRITE_DELAY } else { OTHER_WRITE_DELAY };
        self.withdrawn_write.due_at = self.withdrawn_write.due_at.max(now + delay);
    }

    fn next_token(&mut self, host: &str, incarnation: Incarnation) -> String {
        self.tokens += 1;
        format!("{host}.{incarnation:x}.control.{}", self.tokens)
    }
}

impl ControlState {
    pub(super) fn tick_store(&mut self, now: BootTime, actions: &mut Vec<ControlAction>) {
        let is_initialised = self.freshness.is_initialised();
        let period = if is_initialised { self.flow.poll_period() } else { STORE_POLL };
        if let Some(call) = self.poll.start(&self.log, now, period) {
            push_call(actions, StorePurpose::Poll, call);
        }
        if self.flow.host_list.begin(now) {
            push_call(actions, StorePurpose::HostList, StoreCall::ListHosts);
        }
        if now >= self.flow.withdrawn_write.due_at {
            self.write_withdrawn(now, actions);
        }
    }

    pub(super) fn handle_store_report(&mut self, report: StoreReport, now: BootTime, actions: &mut Vec<ControlAction>) {
        match &report.purpose {
            StorePurpose::Poll => self.take_poll(report.outcome, now, actions),
            StorePurpose::HostList => self.take_hosts(report.outcome, now, actions),
            StorePurpose::WithdrawnWrite(key_id) => {
                let key_id = key_id.clone();
                self.take_withdrawn_write(&key_id, report.outcome, now, actions);
            }
            StorePurpose::Snapshot => self.take_snapshot(report.outcome, now, actions),
            _ => actions.extend(self.leases.take(&report, now).into_iter().map(ControlAction::Store)),
        }
    }

    fn take_poll(
        &mut self,
        outcome: Result<StoreAnswer, StoreCallError>,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        match self.poll.take(outcome, &mut self.log, &mut self.withdrawn) {
            PollStep::Call(call) => push_call(actions, StorePurpose::Poll, call),
            PollStep::Complete(started_at) => {
                self.freshness.note_store_read(started_at);
                self.start_snapshot(now, actions);
            }
            PollStep::Failed => {}
        }
        self.count_news(now);
    }

    fn take_hosts(
        &mut self,
        outcome: Result<StoreAnswer, StoreCallError>,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        let period = if self.listed.is_empty() { STORE_POLL } else { STORE_POLL_IDLE };
        self.flow.host_list.end(now + period);
        let Ok(StoreAnswer::Hosts(mut hosts)) = outcome else { return };
        hosts.sort_by(|one, other| one.host.cmp(&other.host));
        hosts.dedup_by(|one, other| one.host == other.host);
        // An empty list would leave no failure domain to hear from, and a partitioned host would look fresh.
        if hosts.is_empty() || hosts == *self.listed {
            return;
        }
        self.freshness.set_listed(&hosts);
        actions.push(ControlAction::SetAddresses(addresses_of(&hosts, &self.origin.host)));
        self.listed = Arc::new(hosts);
    }

    /// Writes the oldest withdrawal that the store lacks, with the mark that sums all of them up.
    pub(super) fn write_withdrawn(&mut self, now: BootTime, actions: &mut Vec<ControlAction>) {
        let Some(key_id) = self.withdrawn.unstored().first().cloned() else { return };
        if !self.flow.withdrawn_write.begin(now) {
            // A withdrawal made here does not wait for the delay of one that a peer is writing.
            self.flow.withdrawn_write.due_at = now;
            if !self.flow.withdrawn_write.begin(now) {
                return;
            }
        }
        let (mark, mark_version) = self.poll.mark();
        let next = WithdrawnSummary { hash: mark.hash ^ key_hash(&key_id), count: mark.count + 1 };
        let call = StoreCall::Transact {
            token: self.flow.next_token(&self.origin.host, self.origin.incarnation),
            checks: vec![
                row_check(WITHDRAWN_TABLE, &key_id, 0),
                row_check(WITHDRAWN_MARK_TABLE, SINGLETON_ROW_KEY, mark_version),
            ],
            writes: vec![
                row_write(WITHDRAWN_TABLE, &key_id, &self.origin.host),
                row_write(WITHDRAWN_MARK_TABLE, SINGLETON_ROW_KEY, &next),
            ],
        };
        self.flow.writing = Some(MarkWrite { key_id: key_id.clone(), mark: next, row_version: mark_version + 1 });
        push_call(actions, StorePurpose::WithdrawnWrite(key_id), call);
    }

    fn take_withdrawn_write(
        &mut self,
        key_id: &str,
        outcome: Result<StoreAnswer, StoreCallError>,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        let writing = self.flow.writing.take().filter(|writing| writing.key_id == key_id);
        match outcome {
            Ok(StoreAnswer::Transaction(answer)) => {
                self.flow.withdrawn_write.end(now);
                if answer.applied {
                    self.withdrawn.mark_stored(&[key_id.to_owned()]);
                    if let Some(writing) = writing {
                        self.poll.set_mark(writing.mark, writing.row_version);
                    }
                } else {
                    self.take_write_conflict(key_id, &answer);
                }
                self.write_withdrawn(now, actions);
            }
            // The write is idempotent: after a lost answer its repetition finds the row.
            _ => self.flow.withdrawn_write.end(now + WRITE_RETRY),
        }
    }

    fn take_write_conflict(&mut self, key_id: &str, answer: &TransactionAnswer) {
        for row in &answer.conflicts {
            if row.table == WITHDRAWN_TABLE && row.key == key_id {
                self.withdrawn.mark_stored(&[key_id.to_owned()]);
            } else if row.table == WITHDRAWN_MARK_TABLE
                && let Some(mark) = mark_of_row(row)
            {
                self.poll.set_mark(mark, row.version);
            }
        }
    }

    /// Stores a snapshot when [`SNAPSHOT_VERSIONS`] have passed; the poller of each failure domain does, and the
    /// object of one version has the same content from each.
    fn start_snapshot(&mut self, now: BootTime, actions: &mut Vec<ControlAction>) {
        let version = self.log.version();
        let newest = version - version % SNAPSHOT_VERSIONS;
        let is_due = newest > self.flow.snapshot_version && self.flow.role == GossipRole::Poller;
        if is_due && self.flow.snapshot.begin(now) {
            let configuration = Arc::clone(self.log.configuration());
            push_call(actions, StorePurpose::Snapshot, StoreCall::PutSnapshot(configuration));
            self.flow.snapshot_version = version;
        }
    }

    fn take_snapshot(
        &mut self,
        outcome: Result<StoreAnswer, StoreCallError>,
        now: BootTime,
        actions: &mut Vec<ControlAction>,
    ) {
        match outcome {
            Ok(StoreAnswer::Stored) => {
                let call = StoreCall::ReadRow { table: SNAPSHOT_TABLE, key: SINGLETON_ROW_KEY.to_owned() };
                push_call(actions, StorePurpose::Snapshot, call);
            }
            Ok(StoreAnswer::Row(row)) => self.write_snapshot_mark(row.as_ref(), now, actions),
            Ok(_) => self.flow.snapshot.end(now),
            Err(_) => {
                self.flow.snapshot.end(now + CALL_LIMIT);
                self.flow.snapshot_version = 0;
            }
        }
    }

    fn write_snapshot_mark(&mut self, row: Option<&TableRow>, now: BootTime, actions: &mut Vec<ControlAction>) {
        let mark = row.and_then(|row| serde_json::from_str::<SnapshotPointer>(&row.value).ok());
        let version = self.flow.snapshot_version;
        if version == 0 || mark.is_some_and(|mark| mark.version >= version) {
            self.flow.snapshot.end(now);
            return;
        }
        let call = StoreCall::Transact {
            token: self.flow.next_token(&self.origin.host, self.origin.incarnation),
            checks: vec![row_check(SNAPSHOT_TABLE, SINGLETON_ROW_KEY, row.map_or(0, |row| row.version))],
            writes: vec![row_write(SNAPSHOT_TABLE, SINGLETON_ROW_KEY, &SnapshotPointer { version })],
        };
        push_call(actions, StorePurpose::Snapshot, call);
    }
}

fn push_call(actions: &mut Vec<ControlAction>, purpose: StorePurpose, call: StoreCall) {
    actions.push(ControlAction::Store(StoreCommand { purpose, call }));
}

fn mark_of_row(row: &TableRow) -> Option<WithdrawnSummary> {
    serde_json::from_str(&row.value).ok()
}

fn addresses_of(hosts: &[HostRecord], own_host: &str) -> Vec<PeerAddress> {
    let others = hosts.iter().filter(|record| record.host != own_host);
    others.map(|record| PeerAddress { host: record.host.clone(), address: record.peer_address.clone() }).collect()
}
