//! Which hosts compete for a resource: the first few by rendezvous hashing, so that not all of them do.

use crate::control::ControlView;
use crate::generated::platform_messages::{HostRecord, HostState};
use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;

/// Ranks that want a resource: the owner to be and one that stands by.
pub const RANKS_WANTING: usize = 2;

/// Rank from which an owner gives a resource up; the gap to [`RANKS_WANTING`] keeps a resource in place while hosts
/// come and go.
pub const RANKS_KEEPING: usize = 4;

/// Position of `host` among `hosts` in the order in which they prefer the key.
#[must_use]
pub fn host_rank(key: &str, host: &str, hosts: &[HostId]) -> usize {
    let own = (rendezvous_hash(key, host), host);
    hosts.iter().filter(|other| (rendezvous_hash(key, other), other.as_str()) > own).count()
}

/// Live hosts by the host list, this host included, sorted.
#[must_use]
pub fn live_hosts(view: &ControlView) -> Vec<HostId> {
    collect_live_hosts(view, |_| true)
}

/// Live hosts of the own failure domain by the host list, this host included, sorted.
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
