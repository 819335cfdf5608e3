//! Hosts that share the announced rate limits of the targets of each service, and the demand of each host; hosts that share
//! the rates of cold targets.
//!
//! A host publishes in its row the batch job requests and streams that it runs, and the batch job requests that wait to be
//! started. All count: a host whose jobs only wait, because its share is small, must be able to get a larger one.

use crate::fleet::fleet_view::{FleetView, MemberEntry, TargetEntry};
use crate::fleet::member_row::WaitingCount;
use crate::policy::limit_share::{HostHistory, HostWeight, ShareClock};
use crate::prelude::*;

/// Time for which the highest demand of a host counts, longer than the pause between the steps of a trainer.
const DEMAND_HOLD_TIME: Duration = Duration::from_secs(10);

/// Highest number of batch job requests of a service that a host ran or had waiting within [`DEMAND_HOLD_TIME`].
#[derive(Debug)]
struct HostDemand {
    service: ServiceId,
    host: HostId,
    requests: u32,
    observed_at: BootTime,
}

/// Hosts that share the limits of the targets of a service.
#[derive(Debug)]
struct ServiceHosts {
    service: ServiceId,
    history: HostHistory,
}

/// Requests of one job of this host that wait to be started.
#[derive(Debug)]
struct JobBacklog {
    job: JobId,
    waiting: Vec<WaitingCount>,
}

/// Demand of all hosts, by service, and the hosts that follow from it.
#[derive(Debug, Default)]
pub struct ShareTable {
    backlogs: Vec<JobBacklog>,
    demands: Vec<HostDemand>,
    service_hosts: Vec<ServiceHosts>,
    /// All hosts, with equal weights.
    all_hosts: HostHistory,
}

impl ShareTable {
    /// Records the requests of a job of this host that wait to be started, in place of those recorded before.
    pub fn set_backlog(&mut self, job: &str, waiting: Vec<WaitingCount>) {
        self.backlogs.retain(|backlog| backlog.job != job);
        if !waiting.is_empty() {
            self.backlogs.push(JobBacklog { job: job.to_owned(), waiting });
        }
    }

    /// Waiting requests of all jobs of this host, sorted by service.
    #[must_use]
    pub fn waiting_counts(&self) -> Vec<WaitingCount> {
        let mut counts = Vec::new();
        for waiting in self.backlogs.iter().flat_map(|backlog| &backlog.waiting) {
            add_waiting(&mut counts, &waiting.service, waiting.count);
        }
        counts
    }

    /// Records the live hosts, `own_host` included, and their demand; called when the view of the hosts was renewed.
    ///
    /// While the row of `own_host` is not renewed, the hosts recorded before are kept: the others leave this host out, and do
    /// not count on it in their division.
    pub fn record_hosts(&mut self, view: &FleetView, own_host: &str, now: BootTime) {
        let mut services: Vec<&ServiceId> = view.targets.iter().map(|target| &target.service).collect();
        services.sort_unstable();
        services.dedup();
        self.demands.retain(|demand| now.saturating_sub(demand.observed_at) < DEMAND_HOLD_TIME);
        self.service_hosts.retain(|hosts| services.binary_search(&&hosts.service).is_ok());
        let is_listed = view.live_members().any(|member| member.host == own_host);
        let equal_weights = view.live_members().map(|member| HostWeight { host: member.host.clone(), weight: 1 });
        record_listed(&mut self.all_hosts, equal_weights.collect(), is_listed, own_host, now);
        for service in services {
            let mut hosts: Vec<HostWeight> = Vec::new();
            for member in view.live_members() {
                let demand = self.hold_demand(service, &member.host, published_demand(view, service, member), now);
                // Weights are rounded, so that small changes of the demand do not change the shares.
                hosts.push(HostWeight { host: member.host.clone(), weight: (1 + demand).next_power_of_two() });
            }
            let position = self.service_hosts.iter().position(|known| known.service == *service).unwrap_or_else(|| {
                self.service_hosts.push(ServiceHosts { service: service.clone(), history: HostHistory::default() });
                self.service_hosts.len() - 1
            });
            record_listed(&mut self.service_hosts[position].history, hosts, is_listed, own_host, now);
        }
    }

    /// Records the demand of a host; returns the highest one within [`DEMAND_HOLD_TIME`].
    fn hold_demand(&mut self, service: &str, host: &str, requests: u32, now: BootTime) -> u32 {
        let known = self.demands.iter_mut().find(|demand| demand.service == service && demand.host == host);
        match known {
            Some(demand) => {
                if requests >= demand.requests {
                    (demand.requests, demand.observed_at) = (requests, now);
                }
                demand.requests
            }
            None if requests == 0 => 0,
            None => {
                let (service, host) = (service.to_owned(), host.to_owned());
                self.demands.push(HostDemand { service, host, requests, observed_at: now });
                requests
            }
        }
    }

    /// Requests that `clock.host` may start on a target with this announced rate within
    /// [`LIMIT_WINDOW`](crate::policy::limit_share::LIMIT_WINDOW); 0 until the hosts are known.
    #[must_use]
    pub fn share(&self, rate: MilliRate, target: &TargetEntry, clock: &ShareClock<'_>) -> u64 {
        let hosts = self.service_hosts.iter().find(|hosts| hosts.service == target.service);
        hosts.map_or(0, |hosts| hosts.history.share(rate, &target.id, clock))
    }

    /// Requests that `clock.host` may start within one second on a cold target that takes `rate` from all hosts together; 0
    /// until the hosts are known, without a limit when `rate` is not positive.
    #[must_use]
    pub fn cold_quota(&self, rate: f64, target: &str, clock: &ShareClock<'_>) -> u32 {
        self.all_hosts.cold_quota(rate, target, clock)
    }
}

/// Records the live hosts, or keeps those recorded before while `own_host` is not among them. The first record adds it.
fn record_listed(
    history: &mut HostHistory,
    mut hosts: Vec<HostWeight>,
    is_listed: bool,
    own_host: &str,
    now: BootTime,
) {
    if !is_listed && !history.is_empty() {
        return;
    }
    if !is_listed {
        hosts.push(HostWeight { host: own_host.to_owned(), weight: 1 });
        hosts.sort_by(|one, other| one.host.cmp(&other.host));
    }
    history.record(hosts, now);
}

/// Adds waiting requests to the count of their service; `counts` stays sorted by service.
pub fn add_waiting(counts: &mut Vec<WaitingCount>, service: &str, count: u32) {
    match counts.binary_search_by(|known| known.service.as_str().cmp(service)) {
        Ok(position) => counts[position].count += count,
        Err(position) => counts.insert(position, WaitingCount { service: service.to_owned(), count }),
    }
}

fn published_demand(view: &FleetView, service: &str, member: &MemberEntry) -> u32 {
    let runs_service = |target: &str| view.target(target).is_some_and(|target| target.service == service);
    let running = member.row.running.iter().filter(|run| runs_service(&run.target)).map(|run| run.count);
    let waiting = member.row.waiting.iter().filter(|waiting| waiting.service == service).map(|waiting| waiting.count);
    running.chain(waiting).sum()
}
