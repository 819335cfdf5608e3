//! Leases of memory and connections, and the decision which one yields to another, without I/O.
//!
//! Load handled: more bodies and connections than the machine holds, most of which stop short of their end. Refusing newcomers would
//! let those that stopped keep all others out, so the one that wastes most memory for its time yields.

use crate::prelude::*;

/// Id of a lease; a later lease has a higher one.
pub type LeaseId = u64;

/// Part of the budget that only small leases may use: one divided by this number.
const RESERVED_SHARE: usize = 8;

/// Part of the budget up to which bytes are granted that can be done without: one divided by this number.
const OPTIONAL_SHARE: usize = 2;

/// Size up to which a lease is small, in bytes.
const SMALL_LEASE_BYTES: usize = 128 * 1024;

/// Bytes that must arrive for a lease to make progress, so that single bytes do not keep it alive.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Time without progress after which any lease yields.
const STALL_TIME: Duration = Duration::from_secs(1);

/// What a lease is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseKind {
    /// Connection, whose memory is free once its holder has ended it.
    Connection,
    /// Body, whose memory is free at once when it yields.
    Body,
}

/// When a lease yields to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum YieldRule {
    /// What the lease is for is complete, and has to be carried out.
    Never,
    /// Its holder waits for the other end, which makes progress or not.
    WhenStalled,
    /// What the lease is for is not complete.
    Always,
}

#[derive(Debug)]
struct LeaseRecord {
    id: LeaseId,
    kind: LeaseKind,
    bytes: usize,
    rule: YieldRule,
    has_yielded: bool,
    progress_at: BootTime,
    /// Bytes that have arrived since the last progress.
    progress_bytes: usize,
}

impl LeaseRecord {
    /// Memory that the lease wastes, in bytes times milliseconds. One millisecond is added, so that of leases with progress just now
    /// the largest wastes most.
    fn waste(&self, now: BootTime) -> u128 {
        self.bytes as u128 * (now.saturating_sub(self.progress_at).as_millis() + 1)
    }
}

/// Answer to a request for a further connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionRoom {
    /// The connection may be added.
    Free,
    /// Another connection is ending, after which there is room; the one that has just yielded, if any.
    Ending(Option<LeaseId>),
    /// All connections have requests to answer.
    Refused,
}

/// Answer to a lease that asks for memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseDecision {
    /// Whether the lease gets what it asked for.
    pub is_granted: bool,
    /// Leases that have yielded to it.
    pub yielded: Vec<LeaseId>,
}

/// Leases of a budget, and the sums of what they hold.
#[derive(Debug)]
pub struct LeaseTable {
    max_bytes: usize,
    max_connections: usize,
    next_id: LeaseId,
    /// Leases in use, sorted by id.
    leases: Vec<LeaseRecord>,
    used: usize,
    connections: usize,
    /// Bytes of connections that have yielded and have not ended yet.
    ending_bytes: usize,
    ending_connections: usize,
    /// Bytes that the host needs for what it has accepted. They never yield, and leave the reserved part to small leases.
    kept: usize,
}

impl LeaseTable {
    /// Table without leases, for a budget of this many bytes and connections.
    #[must_use]
    pub fn new(max_bytes: usize, max_connections: usize) -> Self {
        Self {
            max_bytes,
            max_connections,
            next_id: 0,
            leases: Vec::new(),
            used: 0,
            connections: 0,
            ending_bytes: 0,
            ending_connections: 0,
            kept: 0,
        }
    }

    /// Bytes that are leased.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }

    /// Connections that are open.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Size of the budget in bytes.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Counts bytes that the host needs for what it has accepted; returns false when they must wait for the end of others. The
    /// first ones never wait.
    pub fn keep(&mut self, bytes: usize) -> bool {
        let is_kept = self.kept == 0 || self.kept + bytes <= self.max_bytes;
        self.kept += if is_kept { bytes } else { 0 };
        is_kept
    }

    /// Ends the count of [`Self::keep`].
    pub fn release_kept(&mut self, bytes: usize) {
        self.kept -= bytes;
    }

    /// Adds a lease without bytes, which yields to others.
    pub fn add(&mut self, kind: LeaseKind, now: BootTime) -> LeaseId {
        let id = self.next_id;
        self.next_id += 1;
        self.connections += usize::from(kind == LeaseKind::Connection);
        let lease = LeaseRecord {
            id,
            kind,
            bytes: 0,
            rule: YieldRule::Always,
            has_yielded: false,
            progress_at: now,
            progress_bytes: 0,
        };
        self.leases.push(lease);
        id
    }

    /// Makes room for a further connection.
    pub fn make_room_for_connection(&mut self, now: BootTime) -> ConnectionRoom {
        if self.connections < self.max_connections {
            return ConnectionRoom::Free;
        }
        if self.ending_connections > 0 {
            return ConnectionRoom::Ending(None);
        }
        self.end_idle_connection(now).map_or(ConnectionRoom::Refused, |id| ConnectionRoom::Ending(Some(id)))
    }

    /// Ends the connection that wastes most; `None` when all have requests to answer.
    pub fn end_idle_connection(&mut self, now: BootTime) -> Option<LeaseId> {
        let position = self.choose_yielding(LeaseId::MAX, true, Some(LeaseKind::Connection), now)?;
        Some(self.end_lease(position))
    }

    /// Adds bytes to a lease that can do without them, while enough of the budget is free; returns whether it did.
    pub fn grow_optionally(&mut self, id: LeaseId, bytes: usize) -> bool {
        let position = self.position(id).filter(|_| self.used + self.kept + bytes <= self.max_bytes / OPTIONAL_SHARE);
        let Some(position) = position else { return false };
        self.used += bytes;
        self.leases[position].bytes += bytes;
        true
    }

    /// Adds bytes to a lease that holds them already. Others yield if there is no room; if none does, the sum exceeds the budget, and
    /// nothing else is granted until it does not.
    pub fn grow_by_held(&mut self, id: LeaseId, bytes: usize, now: BootTime) -> LeaseDecision {
        let mut decision = self.grow(id, bytes, now);
        if !decision.is_granted
            && let Some(position) = self.position(id)
        {
            self.used += bytes;
            self.leases[position].bytes += bytes;
            decision.is_granted = true;
        }
        decision
    }

    /// Adds bytes to a lease, to which others yield if there is no room.
    pub fn grow(&mut self, id: LeaseId, bytes: usize, now: BootTime) -> LeaseDecision {
        let mut yielded = Vec::new();
        loop {
            let Some(position) = self.position(id) else { return LeaseDecision { is_granted: false, yielded } };
            let is_small = self.leases[position].bytes + bytes <= SMALL_LEASE_BYTES;
            let reserved = self.max_bytes / RESERVED_SHARE;
            let unavailable =
                if is_small { self.kept.min(self.max_bytes - reserved) } else { self.kept.saturating_add(reserved) };
            if self.used - self.ending_bytes + bytes <= self.max_bytes.saturating_sub(unavailable) {
                self.used += bytes;
                self.leases[position].bytes += bytes;
                return LeaseDecision { is_granted: true, yielded };
            }
            match self.choose_yielding(id, is_small, None, now) {
                Some(position) => yielded.push(self.end_lease(position)),
                None => return LeaseDecision { is_granted: false, yielded },
            }
        }
    }

    /// Takes bytes off a lease.
    pub fn shrink(&mut self, id: LeaseId, bytes: usize) {
        if let Some(position) = self.position(id) {
            let bytes = bytes.min(self.leases[position].bytes);
            self.leases[position].bytes -= bytes;
            self.used -= bytes;
        }
    }

    /// Records that bytes have arrived for a lease.
    pub fn record_progress(&mut self, id: LeaseId, bytes: usize, now: BootTime) {
        let Some(position) = self.position(id) else { return };
        let lease = &mut self.leases[position];
        lease.progress_bytes += bytes;
        if lease.progress_bytes >= PROGRESS_BYTES {
            lease.progress_bytes = 0;
            lease.progress_at = now;
        }
    }

    /// Sets when a lease yields to others; returns false when it has yielded already.
    pub fn set_rule(&mut self, id: LeaseId, rule: YieldRule, now: BootTime) -> bool {
        let Some(position) = self.position(id) else { return false };
        let lease = &mut self.leases[position];
        lease.rule = rule;
        lease.progress_at = now;
        lease.progress_bytes = 0;
        true
    }

    /// Removes a lease, whether it has yielded or not.
    pub fn remove(&mut self, id: LeaseId) {
        let Ok(position) = self.leases.binary_search_by_key(&id, |lease| lease.id) else { return };
        let lease = self.leases.remove(position);
        self.used -= lease.bytes;
        if lease.kind == LeaseKind::Connection {
            self.connections -= 1;
            if lease.has_yielded {
                self.ending_bytes -= lease.bytes;
                self.ending_connections -= 1;
            }
        }
    }

    /// Position of a lease that has not yielded.
    fn position(&self, id: LeaseId) -> Option<usize> {
        let position = self.leases.binary_search_by_key(&id, |lease| lease.id).ok()?;
        (!self.leases[position].has_yielded).then_some(position)
    }

    /// Lease that yields to the lease `id`: the one that wastes most of those that have stalled, or to a small lease also of the
    /// small ones that have not.
    fn choose_yielding(&self, id: LeaseId, is_small: bool, kind: Option<LeaseKind>, now: BootTime) -> Option<usize> {
        let yields = |lease: &LeaseRecord| {
            let has_stalled = now.saturating_sub(lease.progress_at) >= STALL_TIME;
            let is_free = match lease.rule {
                YieldRule::Never => false,
                YieldRule::WhenStalled => has_stalled,
                YieldRule::Always => has_stalled || (is_small && lease.bytes <= SMALL_LEASE_BYTES),
            };
            is_free && lease.id != id && lease.bytes > 0 && kind.is_none_or(|kind| kind == lease.kind)
        };
        let candidates = self.leases.iter().enumerate().filter(|(_, lease)| yields(lease));
        candidates.max_by_key(|(_, lease)| lease.waste(now)).map(|(position, _)| position)
    }

    fn end_lease(&mut self, position: usize) -> LeaseId {
        let lease = &mut self.leases[position];
        lease.rule = YieldRule::Never;
        lease.has_yielded = true;
        match lease.kind {
            LeaseKind::Body => self.used -= std::mem::take(&mut lease.bytes),
            LeaseKind::Connection => {
                self.ending_bytes += lease.bytes;
                self.ending_connections += 1;
            }
        }
        lease.id
    }
}
