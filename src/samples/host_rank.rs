//! Ranks hosts for a resource by rendezvous hashing, so that only the first few request the ownership.

use crate::control::ControlView;
use crate::generated::platform_messages::{HostRecord, HostState};
use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;

/// Number of first-ranked hosts that request a resource: the intended owner and one on standby.
pub const REQUESTING_RANKS: usize = 2;

/// Lowest rank at which an owner releases a resource. The limit is above [`REQUESTING_RANKS`], so that an owner keeps its
/// resource when a few hosts that join are ranked before it.
pub const RETAINING_RANKS: usize = 4;

/// Rank of `host` for a key: the number of `hosts` with a higher hash; 0 is the intended owner.
#[must_use]
pub fn host_rank(key: &str, host: &str, hosts: &[HostId]) -> usize {
    let own = (rendezvous_hash(key, host), host);
    hosts.iter().filter(|other| (rendezvous_hash(key, other), other.as_str()) > own).count()
}

/// Ids of this host and of all hosts that the host list has as live; sorted.
#[must_use]
pub fn live_hosts(view: &ControlView) -> Vec<HostId> {
    collect_live_hosts(view, |_| true)
}

/// Ids of this host and of the hosts of the same failure domain that the host list has as live; sorted.
#[must_use]
pub fn live_domain_hosts(view: &ControlView) -> Vec<HostId> {
    collect_live_hosts(view, |record| record.failure_domain == view.failure_domain)
}

fn collect_live_hosts(view: &ControlView, is_included: impl Fn(&HostRecord) -> bool) -> Vec<HostId> {
    let live = view.listed.iter().filter(|record| record.state == HostState::Live && is_included(record));
    let mut hosts: Vec<HostId> = live.map(|record| record.host.clone()).collect();
    hosts.push(view.host.clone());
    hosts.sort_unstable();
    hosts.dedup();
    hosts
}
