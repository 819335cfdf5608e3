//! Division of what a target takes from all hosts together: its announced rate limit, or its rate while it is cold.
//!
//! Failure handled: a target in need names the rate that it takes from all hosts together, and each host on its own cannot
//! tell what the others send. Every host therefore computes the same division from the same list of hosts, and keeps to
//! its own share, so that no host has to ask another before it sends. The shares of a limit sum up to the limit.
//!
//! - A host that runs many batch job requests of the service gets a larger share, since a few hosts own most jobs.
//! - What cannot be divided evenly goes to some hosts, which take turns by their weights, so that each host can use a low
//!   limit sometimes.
//! - The hosts learn of a change at different times. A smaller share takes effect at once, a larger one after
//!   [`SHARE_SETTLE_TIME`], when all hosts have learned of the change and what they started before no longer counts. This
//!   also covers the time right after an outage of the store, when a host sees its own row renewed before those of others.
//! - A host that starts does not know what it sent before, so it has no share for [`LIMIT_WINDOW`].
//! - A host whose row is not renewed, because the store turns it away, is soon left out by the others, which then divide
//!   the whole limit. It keeps to half of an equal share among the hosts that it last knew, so that all hosts together
//!   exceed the limit by half at most.

use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;

/// Window in which the requests that were started on a limited target are counted.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Time in which a change of the hosts reaches all of them: a renewal of a row each second, and the feed.
const NOTICE_TIME: Duration = Duration::from_secs(2);

/// Time for which a larger share must have been due before it is used.
pub const SHARE_SETTLE_TIME: Duration = LIMIT_WINDOW.saturating_add(NOTICE_TIME);

/// Time after which the shares that cannot be divided evenly go to the next hosts.
const TURN_TIME: Duration = Duration::from_secs(20);

/// Age of the last renewal of its own row from which on a host expects the others to leave it out; the others do so when the
/// row has not changed for the same time.
const MAX_RENEWAL_AGE: Duration = Duration::from_millis(3500);

/// Weight of a host in the division of the limits of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostWeight {
    /// Name of the host.
    pub host: HostId,
    /// Weight, at least 1.
    pub weight: u32,
}

/// Number of the turn at a time of the store's clock, which all hosts share.
fn turn_at(store_time: Duration) -> u64 {
    store_time.as_secs() / TURN_TIME.as_secs()
}

/// Requests that `own_host` may start on a target within [`LIMIT_WINDOW`] when it takes `rate` from all `hosts` together,
/// which must be sorted and include `own_host`. At least one request in a window is allowed over all hosts.
///
/// Each host has an interval of the length of its weight, in the order of the names, and the requests of a window are evenly
/// spaced over all intervals. A host may start those in its interval: its exact share, rounded up or down. The turn shifts the
/// requests.
#[must_use]
pub fn limit_share(rate: MilliRate, target: &str, own_host: &str, hosts: &[HostWeight], turn: u64) -> u64 {
    let total = (rate.saturating_mul(LIMIT_WINDOW.as_secs()) / 1000).max(1);
    let Some(own) = hosts.iter().position(|host| host.host == own_host) else { return 0 };
    let length = |hosts: &[HostWeight]| hosts.iter().map(|host| u64::from(host.weight)).sum::<u64>();
    let whole = length(hosts).max(1);
    // Steps of about 0.62 of the whole length spread the turns evenly.
    let step = (whole * 5 / 8).max(1);
    let shift = rendezvous_hash(target, "shift").wrapping_add(turn.wrapping_mul(step)) % whole;
    let count_before = |position: u64| total.saturating_mul(position).saturating_add(shift) / whole;
    let start = length(&hosts[..own]);
    count_before(start + u64::from(hosts[own].weight)) - count_before(start)
}

/// Requests that `own_host` may start on a cold target within one second, so that all `hosts` together start at most `rate`,
/// rounded down but at least 1. Unlimited when `rate` is not positive.
///
/// With more hosts than requests per second, only the hosts that rank highest for the target may start one.
#[must_use]
pub fn cold_start_quota(rate: f64, target: &str, own_host: &str, hosts: &[HostWeight]) -> u32 {
    if rate <= 0.0 {
        return u32::MAX;
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the rate is positive and small")]
    let rate = rate.floor().max(1.0).min(f64::from(u32::MAX)) as u32;
    let count = u32::try_from(hosts.len().max(1)).unwrap_or(u32::MAX);
    if rate >= count {
        return rate / count;
    }
    let own_rank = rendezvous_hash(target, own_host);
    let is_before = |host: &&HostWeight| host.host != own_host && rendezvous_hash(target, &host.host) > own_rank;
    let higher_ranked = hosts.iter().filter(is_before).count();
    u32::from(u32::try_from(higher_ranked).unwrap_or(u32::MAX) < rate)
}

/// Hosts and their weights from a point in time on.
#[derive(Debug, Clone)]
struct TimedHosts {
    since: BootTime,
    hosts: Vec<HostWeight>,
}

/// Hosts that share the limits of one service, over the last [`SHARE_SETTLE_TIME`].
#[derive(Debug, Clone, Default)]
pub struct HostHistory {
    /// In the order of time.
    observations: Vec<TimedHosts>,
    /// Time of the first record, soon after the start of the host.
    started_at: BootTime,
}

impl HostHistory {
    /// Whether no hosts were recorded yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    /// Records the hosts as known at `now`, sorted by name.
    pub fn record(&mut self, hosts: Vec<HostWeight>, now: BootTime) {
        if self.is_empty() {
            self.started_at = now;
        }
        if self.observations.last().is_none_or(|last| last.hosts != hosts) {
            self.observations.push(TimedHosts { since: now, hosts });
        }
        let outdated = self.count_outdated(now);
        self.observations.drain(..outdated);
    }

    /// Number of observations that a later one replaced at least [`SHARE_SETTLE_TIME`] ago.
    fn count_outdated(&self, now: BootTime) -> usize {
        let is_outdated = |pair: &[TimedHosts]| now.saturating_sub(pair[1].since) >= SHARE_SETTLE_TIME;
        self.observations.windows(2).take_while(|pair| is_outdated(pair)).count()
    }

    /// Observations of the last [`SHARE_SETTLE_TIME`], and the one in force at its start.
    fn recent(&self, now: BootTime) -> &[TimedHosts] {
        &self.observations[self.count_outdated(now)..]
    }

    /// Requests that `clock.host` may start on a target within [`LIMIT_WINDOW`]: the smallest share of the last
    /// [`SHARE_SETTLE_TIME`]. 0 until hosts have been recorded for [`LIMIT_WINDOW`].
    #[must_use]
    pub fn share(&self, rate: MilliRate, target: &str, clock: &ShareClock<'_>) -> u64 {
        if clock.now.saturating_sub(self.started_at) < LIMIT_WINDOW {
            return 0;
        }
        let turns = [turn_at(clock.store_time), turn_at(clock.store_time.saturating_sub(SHARE_SETTLE_TIME))];
        let shares = self.recent(clock.now).iter().flat_map(|observation| {
            turns.map(|turn| {
                let share = limit_share(rate, target, clock.host, &observation.hosts, turn);
                if clock.is_cut_off() {
                    share.min(limit_share(rate / 2, target, clock.host, &equal(&observation.hosts), turn))
                } else {
                    share
                }
            })
        });
        shares.min().unwrap_or_default()
    }

    /// Requests that `clock.host` may start within one second on a cold target that takes `rate` from all hosts: the smallest
    /// [`cold_start_quota`] of the last [`SHARE_SETTLE_TIME`]. 0 until hosts were recorded, unless `rate` is unlimited.
    #[must_use]
    pub fn cold_quota(&self, rate: f64, target: &str, clock: &ShareClock<'_>) -> u32 {
        let rate = if clock.is_cut_off() { rate / 2.0 } else { rate };
        let quotas = self.recent(clock.now).iter().map(|observation| &observation.hosts);
        let smallest = quotas.map(|hosts| cold_start_quota(rate, target, clock.host, hosts)).min();
        smallest.unwrap_or(if rate > 0.0 { 0 } else { u32::MAX })
    }
}

fn equal(hosts: &[HostWeight]) -> Vec<HostWeight> {
    hosts.iter().map(|host| HostWeight { host: host.host.clone(), weight: 1 }).collect()
}

/// Times at which a share is computed, and the host that it is for.
#[derive(Debug, Clone, Copy)]
pub struct ShareClock<'a> {
    /// Host whose share is computed.
    pub host: &'a str,
    /// Reading of the boot clock.
    pub now: BootTime,
    /// Reading of the store's clock, which all hosts share.
    pub store_time: Duration,
    /// Boot time at which the host last saw its own row renewed; zero when it has not seen its row.
    pub renewed_at: BootTime,
}

impl ShareClock<'_> {
    /// Whether the other hosts may have left this one out, because its row is not renewed.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.now.saturating_sub(self.renewed_at) > MAX_RENEWAL_AGE
    }
}
