//! Limits and periods that several modules use.
//!
//! Times are of type `Duration`. The comment of a size says when the unit is bytes; all other numbers are counts.

use std::time::Duration;

/// Version of the protocol between hosts. A hello with another version is refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// Largest age of a host's view of the control state. With an older view the host refuses requests that need a key, so
/// a partitioned host stops admitting them within this time.
pub const VIEW_AGE_LIMIT: Duration = Duration::from_secs(4);

/// Period in which a host sends its gossip to other hosts.
pub const GOSSIP_PERIOD: Duration = Duration::from_secs(1);

/// Number of hosts of its failure domain that a host asks for news in each gossip period: one bridge and random other
/// hosts. A bridge asks all other bridges instead of one.
pub const GOSSIP_FANOUT: usize = 2;

/// Number of bridges: hosts of a failure domain that exchange news with other domains.
pub const BRIDGE_HOSTS: usize = 3;

/// Time without an advancing heartbeat after which a member of the own failure domain is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// Time without an advancing heartbeat after which a member of the own failure domain is dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(8);

/// Period in which a requester renews its permits at the coordinators.
pub const PERMIT_RENEWAL: Duration = Duration::from_secs(4);

/// Delay before a coordinator uses a larger capacity share of a target: the time in which a lost host is detected,
/// [`DEAD_AFTER`], plus one [`PERMIT_RENEWAL`].
pub const SHARE_INCREASE_DELAY: Duration = Duration::from_secs(12);

/// Most targets in one dispatch shard. One host keeps the queue for all targets of a shard, so few targets keep it
/// short.
pub const SHARD_TARGETS: usize = 32;

/// Period in which a host renews its session, on which all its leases depend.
pub const SESSION_RENEWAL: Duration = Duration::from_secs(3);

/// Validity of a lease after the last renewal of its owner's session. The owner stops acting [`LEASE_MARGIN`] earlier,
/// and another host may take over [`LEASE_MARGIN`] later.
pub const LEASE_TTL: Duration = Duration::from_secs(10);

/// Margin before and after the end of [`LEASE_TTL`] in which no host acts as the owner.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// Timeout of a target order, which tells the platform which targets to run. A new owner waits as long before its first
/// order, so that no order of the owner before it is still in flight.
pub const ORDER_DEADLINE: Duration = Duration::from_secs(1);

/// Shorter period of store reads. The one poller of each failure domain polls in this period, and so does a host that
/// has not learned the configuration yet. A host without a host list reads that list in this period.
pub const STORE_POLL: Duration = Duration::from_secs(1);

/// Longer period of store reads, for the polls of all other hosts and for reading the host list again.
pub const STORE_POLL_IDLE: Duration = Duration::from_secs(5);

/// Number of configuration versions between two snapshots in the object store.
pub const SNAPSHOT_VERSIONS: u64 = 500;

/// Largest frame between hosts, in bytes.
pub const PEER_FRAME_LIMIT: usize = 256 * 1024;

/// Largest body of a request, in bytes.
pub const BODY_LIMIT: usize = 1024 * 1024;

/// Largest head of a request, in bytes.
pub const HEADER_LIMIT: usize = 16 * 1024;

/// Time within which a whole request head must arrive.
pub const HEADER_TIME: Duration = Duration::from_secs(5);

/// Time within which a whole request body must arrive.
pub const BODY_TIME: Duration = Duration::from_secs(10);

/// Time after which the connection of a caller that does not read its response is closed.
pub const SLOW_READER_LIMIT: Duration = Duration::from_secs(10);

/// Most pieces of a streamed body that are queued for a slow reader.
pub const STREAM_BUFFER: usize = 64;

/// Time without any data from an engine after which its stream counts as broken.
pub const ENGINE_IDLE_LIMIT: Duration = Duration::from_secs(15);

/// Timeout for opening a connection to a target, the platform or another host.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for opening a connection to a target in an installation. An answer takes one round trip of a few milliseconds; an
/// opening packet that was lost is sent again after a second, when most callers have left.
pub const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a call to the platform, including the connection.
pub const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of target crashes that a request must have been part of before it can be quarantined.
pub const CRASH_LIMIT: usize = 2;

/// Retries allowed for each hundred first attempts; one retry is always allowed.
pub const RETRY_PERCENT: u32 = 10;

/// Time over which first attempts and retries are counted for the retry budget.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Time without errors after which the concurrency limit of a target that is not warm yet doubles.
pub const SLOW_START_PERIOD: Duration = Duration::from_secs(5);

/// Most samples in one step shard.
pub const SHARD_SAMPLES: usize = 256;

/// Most samples in one batch that a trainer reads. The samples of one prompt form a group, which is never split; a
/// larger group is a batch of its own.
pub const BATCH_SAMPLES: usize = 64;

/// Length of a usage window, unless the settings have another one.
pub const USAGE_WINDOW: Duration = Duration::from_mins(5);

/// Delay from the end of a usage window until its figures are frozen, unless the settings have another one.
pub const USAGE_FREEZE_DELAY: Duration = Duration::from_secs(30);

/// Period in which a host writes its usage increments to the store.
pub const USAGE_FLUSH: Duration = Duration::from_secs(5);

/// Longest time that a planned stop waits for requests in flight.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_mins(2);
