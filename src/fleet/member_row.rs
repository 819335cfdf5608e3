//! Row that each host renews in the store while it runs, as its heartbeat; the row also carries load and capacity.

use serde::{Deserialize, Serialize};

use crate::fleet::target_limit::LimitNotice;
use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;

/// Table of the hosts' rows, keyed by host name.
pub const MEMBER_TABLE: &str = "hosts";

/// Number of store partitions that the rows are spread over; a store applies 200 transactions per second per partition.
const MEMBER_PARTITIONS: u64 = 8;

/// Store partition that holds a host's row.
#[must_use]
pub fn member_partition(host: &str) -> String {
    format!("m{}", rendezvous_hash(host, "part") % MEMBER_PARTITIONS)
}

/// All store partitions that hold hosts' rows, for readers of the whole table.
#[must_use]
pub fn member_parts() -> Vec<String> {
    (0..MEMBER_PARTITIONS).map(|part| format!("m{part}")).collect()
}

/// Period in which a host renews its row.
pub const MEMBER_RENEWAL: Duration = Duration::from_secs(1);

/// Number of batch job requests and resumable streams that a host runs on one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningCount {
    /// Target that the requests are in flight on.
    pub target: TargetId,
    /// Requests in flight.
    pub count: u32,
}

/// Number of batch job requests of a host that wait to be started on a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingCount {
    /// Service that runs the requests.
    pub service: ServiceId,
    /// Waiting requests.
    pub count: u32,
}

/// Events of item outputs that one core processes per second. On a day with 86 hosts, 219,000 events took 28 s of
/// processor time, all other work included: 7,800 events per second.
const EVENTS_PER_CORE_SECOND: f64 = 8_000.0;

/// Link traffic per event in megabits, rounded up: the host receives an event in 500 bytes, and sends about as much
/// when it stores the progress and the result of the item.
const MEGABITS_PER_EVENT: f64 = 0.01;

/// Events of running items that a host can process per second, bounded by both the processor and the link; at least 1.
#[must_use]
pub fn host_capacity(processor_cores: f64, link_megabits: f64) -> u32 {
    let events = (processor_cores * EVENTS_PER_CORE_SECOND).min(link_megabits / MEGABITS_PER_EVENT);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the range of the type")]
    let events = events.clamp(1.0, f64::from(u32::MAX)) as u32;
    events
}

/// Content of a host's row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Incarnation of the host process; jobs of an earlier incarnation count as ownerless.
    pub incarnation: Incarnation,
    /// Failure domain that the host is in.
    pub domain: DomainId,
    /// Address at which the host relays store calls of its peers; `None` when it relays none.
    #[serde(default)]
    pub peer_address: Option<String>,
    /// Whether the host passes requests of its peers on to targets, and reaches these.
    #[serde(default)]
    pub forwards_requests: bool,
    /// Number of renewals so far; a change shows that the host is live.
    pub beat: u64,
    /// Events of running items that the host can process per second; zero when it publishes none.
    #[serde(default)]
    pub capacity: u32,
    /// Whether a planned stop has begun, after which the host takes no new batch jobs.
    pub is_stopping: bool,
    /// Requests of batch jobs and resumable streams that the host runs, sorted by target.
    pub running: Vec<RunningCount>,
    /// Requests of batch jobs that wait to be started, sorted by service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waiting: Vec<WaitingCount>,
    /// Rate limits of targets that the host knows, without those that an earlier host publishes; sorted by target.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitNotice>,
}
