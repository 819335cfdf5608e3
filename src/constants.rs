//! Named limits and periods.
//!
//! Every value carries its unit in its type (`Duration`) or in its name.

use std::time::Duration;

/// Version of the protocol between hosts, checked in the hello.
pub const PROTOCOL_VERSION: u16 = 1;

/// Oldest view that still admits keyed work; a cut-off host stops within this time.
pub const VIEW_AGE_LIMIT: Duration = Duration::from_secs(4);

/// Period of the gossip between hosts.
pub const GOSSIP_PERIOD: Duration = Duration::from_secs(1);

/// Members of the own failure domain that get a digest in each period.
pub const GOSSIP_FANOUT: usize = 2;

/// Hosts of a failure domain that exchange summaries with other domains.
pub const BRIDGE_HOSTS: usize = 3;

/// A member whose heartbeat has not advanced for this long is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// A member whose heartbeat has not advanced for this long is dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(8);

/// Period in which a permit holder renews its permits.
pub const PERMIT_RENEWAL: Duration = Duration::from_secs(4);

/// Wait before a home uses a larger share of a target: detection of a lost host plus one permit renewal.
pub const SHARE_SETTLE: Duration = Duration::from_secs(12);

/// Most targets in one shard, so that one host's queue stays short.
pub const SHARD_TARGETS: usize = 32;

/// Period of the session renewal of a host that owns a resource.
pub const SESSION_RENEWAL: Duration = Duration::from_secs(3);

/// Time after which an unrenewed session may be taken over.
pub const LEASE_TTL: Duration = Duration::from_secs(10);

/// Time before the end of its lease at which a holder stops acting.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// Longest time that a target order may be in flight.
pub const ORDER_DEADLINE: Duration = Duration::from_secs(1);

/// Period of the store poll by the polling host of a failure domain.
pub const STORE_POLL: Duration = Duration::from_secs(1);

/// Period of the store poll by all other hosts.
pub const STORE_POLL_IDLE: Duration = Duration::from_secs(5);

/// Configuration versions between two snapshots in the object store.
pub const SNAPSHOT_VERSIONS: u64 = 500;

/// Largest frame between hosts in bytes.
pub const PEER_FRAME_LIMIT: usize = 256 * 1024;

/// Largest request body in bytes.
pub const BODY_LIMIT: usize = 1024 * 1024;

/// Largest request head in bytes.
pub const HEADER_LIMIT: usize = 16 * 1024;

/// Time within which a connection must deliver a whole request head.
pub const HEADER_TIME: Duration = Duration::from_secs(5);

/// Time within which a request body must arrive.
pub const BODY_TIME: Duration = Duration::from_secs(10);

/// Time after which a caller that does not read its stream is dropped.
pub const SLOW_READER_LIMIT: Duration = Duration::from_secs(10);

/// Pieces of a streamed body that wait for a slow reader.
pub const STREAM_BUFFER: usize = 64;

/// Longest silence of an engine within a stream.
pub const ENGINE_IDLE_LIMIT: Duration = Duration::from_secs(15);

/// Longest wait for a connection to a target, the platform or a peer.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for an answer of the platform.
pub const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Crashed targets after which a request is quarantined.
pub const CRASH_LIMIT: usize = 2;

/// Retries allowed for each hundred first tries.
pub const RETRY_PERCENT: u32 = 10;

/// Period over which the retry budget is counted.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Error-free time after which a fresh target's limit doubles.
pub const SLOW_START_STEP: Duration = Duration::from_secs(5);

/// Samples in one shard of a step at most.
pub const SHARD_SAMPLES: usize = 256;

/// Samples in one batch of a step at most.
pub const BATCH_SAMPLES: usize = 64;

/// Length of a usage window.
pub const USAGE_WINDOW: Duration = Duration::from_mins(5);

/// Time after the end of a usage window at which its figures are frozen.
pub const USAGE_FREEZE_DELAY: Duration = Duration::from_secs(30);

/// Period in which usage increments are flushed.
pub const USAGE_FLUSH: Duration = Duration::from_secs(5);

/// Longest time that a planned stop waits for requests in flight.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_mins(2);
