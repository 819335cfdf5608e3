//! Invariants of a simulated cluster, checked during a run.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorspring::constants::VIEW_AGE_LIMIT;
use camphorspring::control::ControlView;
use camphorspring::control::configuration_snapshot::snapshot_items;
use camphorspring::control::store_call::{CONFIGURATION_TABLE, WITHDRAWN_TABLE};

use super::sim_cluster::{SimCluster, StoreMode, is_passing};

/// Time after which a host must have learned a withdrawal or configuration change from a host or store that knows it,
/// if the connection between them has not changed meanwhile.
const LEARNING_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval of all checks but that of ownership, which is made after each event.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Tolerance on [`VIEW_AGE_LIMIT`] for the different rates of the simulated clocks.
const CLOCK_MARGIN: Duration = Duration::from_millis(10);

/// Resource that the hosts of a scenario compete for.
pub const RESOURCE: &str = "orders/a";

/// Whether a host with this view admits a request with this key and the right secret.
pub fn admits_key(view: &ControlView, local_now: Duration, key_id: &str) -> bool {
    view.is_fresh(local_now) && !view.is_withdrawn(key_id) && view.configuration.key(key_id).is_some()
}

/// What was observed of the present process of a host.
#[derive(Debug, Default)]
struct HostHistory {
    started_at: Duration,
    version: u64,
    /// Lowest configuration version of the other live hosts when this process was first observed.
    peer_version_at_start: u64,
    has_admitted: bool,
}

/// Virtual times since which each host, and the store, have known one withdrawal or configuration version.
#[derive(Debug, Clone)]
struct LearningTimes {
    hosts: Vec<Option<Duration>>,
    store: Option<Duration>,
}

impl LearningTimes {
    fn new(hosts: usize) -> Self {
        Self { hosts: vec![None; hosts], store: None }
    }

    fn record_times(&mut self, now: Duration, is_stored: bool, knows: impl Fn(usize) -> bool) {
        for (index, known_at) in self.hosts.iter_mut().enumerate() {
            *known_at = if knows(index) { known_at.or(Some(now)) } else { None };
        }
        if is_stored {
            self.store.get_or_insert(now);
        }
    }
}

/// Hosts that reach each other, but neither the store nor any other host, since a virtual time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIsland {
    pub hosts: Vec<usize>,
    pub since: Duration,
}

/// Checks of one run, and the violations found so far.
#[derive(Debug)]
pub struct InvariantChecks {
    keys: Vec<String>,
    /// Knowledge of the withdrawal of each key.
    key_times: Vec<LearningTimes>,
    /// Knowledge of each configuration version, from version 1.
    version_times: Vec<LearningTimes>,
    hosts: Vec<HostHistory>,
    /// Content of each configuration version at the host that had it first.
    known_contents: BTreeMap<u64, String>,
    /// First owner of each epoch.
    epoch_owners: BTreeMap<u64, usize>,
    next_check_at: Duration,
    /// Groups of hosts that are cut off now, set by the scenario.
    pub islands: Vec<HostIsland>,
    pub violations: Vec<String>,
    /// Number of checks at which a host refused the key that is never withdrawn, although it had admitted a key before.
    pub last_key_refusals: u64,
}

impl InvariantChecks {
    pub fn new(keys: &[&str], hosts: usize) -> Self {
        Self {
            keys: keys.iter().map(|key| (*key).to_owned()).collect(),
            key_times: vec![LearningTimes::new(hosts); keys.len()],
            version_times: Vec::new(),
            hosts: (0..hosts).map(|_| HostHistory::default()).collect(),
            known_contents: BTreeMap::new(),
            epoch_owners: BTreeMap::new(),
            next_check_at: Duration::ZERO,
            islands: Vec::new(),
            violations: Vec::new(),
            last_key_refusals: 0,
        }
    }

    pub fn check(&mut self, cluster: &SimCluster) {
        self.check_owners(cluster);
        if cluster.now >= self.next_check_at {
            self.next_check_at = cluster.now + CHECK_PERIOD;
            self.check_all(cluster);
        }
    }

    /// Makes all checks now, for example right after a frozen host resumes with its old view.
    pub fn check_all(&mut self, cluster: &SimCluster) {
        self.check_owners(cluster);
        self.record_known(cluster);
        for host in 0..cluster.hosts.len() {
            let entry = &cluster.hosts[host];
            if entry.is_alive && !entry.is_frozen {
                self.check_version(cluster, host);
                self.check_admissions(cluster, host);
            }
        }
    }

    fn report_violation(&mut self, cluster: &SimCluster, text: &str) {
        self.violations.push(format!("at {:?}: {text}", cluster.now));
    }

    /// Checks that at most one host acts as the owner, and that no epoch has two owners.
    fn check_owners(&mut self, cluster: &SimCluster) {
        let mut owners = Vec::new();
        for (index, host) in cluster.hosts.iter().enumerate().filter(|(_, host)| host.is_alive && !host.is_frozen) {
            if let Some(owned) = host.view.owned_resource(RESOURCE, host.local_time(cluster.now)) {
                owners.push((index, owned.epoch));
            }
        }
        if owners.len() > 1 {
            self.report_violation(cluster, &format!("several owners: {owners:?}"));
        }
        for (index, epoch) in owners {
            let owner = *self.epoch_owners.entry(epoch).or_insert(index);
            if owner != index {
                self.report_violation(cluster, &format!("epoch {epoch} has the owners {owner} and {index}"));
            }
        }
    }

    fn record_known(&mut self, cluster: &SimCluster) {
        for (key, times) in self.keys.iter().zip(&mut self.key_times) {
            let is_stored = cluster.store.read(WITHDRAWN_TABLE, key).is_some();
            let knows = |index: usize| {
                let host = &cluster.hosts[index];
                host.is_alive && host.view.is_withdrawn(key)
            };
            times.record_times(cluster.now, is_stored, knows);
        }
        let stored = cluster.store.count_rows(CONFIGURATION_TABLE);
        self.version_times.resize(stored, LearningTimes::new(cluster.hosts.len()));
        for (version, times) in (1..).zip(&mut self.version_times) {
            let knows = |index: usize| {
                let host = &cluster.hosts[index];
                host.is_alive && host.view.configuration.version >= version
            };
            times.record_times(cluster.now, true, knows);
        }
    }

    /// Checks that the version does not decrease in one process, and that one version has one content on all hosts.
    fn check_version(&mut self, cluster: &SimCluster, index: usize) {
        let host = &cluster.hosts[index];
        let version = host.view.configuration.version;
        if self.hosts[index].started_at != host.started_at {
            let others = cluster.hosts.iter().enumerate().filter(|(other, host)| *other != index && host.is_alive);
            let peer_version_at_start = others.map(|(_, host)| host.view.configuration.version).min().unwrap_or(0);
            let started_at = host.started_at;
            self.hosts[index] = HostHistory { started_at, version, peer_version_at_start, has_admitted: false };
        }
        if version < self.hosts[index].version {
            self.report_violation(cluster, &format!("host {index} went back to version {version}"));
        }
        if version != self.hosts[index].version || !self.known_contents.contains_key(&version) {
            let content = format!("{:?}", snapshot_items(&host.view.configuration));
            let known_content = self.known_contents.entry(version).or_insert_with(|| content.clone());
            if *known_content != content {
                self.report_violation(cluster, &format!("host {index} has another content at version {version}"));
            }
        }
        self.hosts[index].version = version;
    }

    /// Checks that the host admits no key that it must know to be withdrawn, and no key at all while its configuration
    /// or its view is too old.
    fn check_admissions(&mut self, cluster: &SimCluster, index: usize) {
        let host = &cluster.hosts[index];
        let local_now = host.local_time(cluster.now);
        let admitted: Vec<usize> =
            (0..self.keys.len()).filter(|position| admits_key(&host.view, local_now, &self.keys[*position])).collect();
        for position in &admitted {
            if must_have_learned(cluster, &self.key_times[*position], index) {
                let key = self.keys[*position].clone();
                self.report_violation(cluster, &format!("host {index} admits the withdrawn key {key}"));
            }
        }
        let version = usize::try_from(host.view.configuration.version).unwrap_or(usize::MAX);
        let next_version_times = self.version_times.get(version);
        if !admitted.is_empty() && next_version_times.is_some_and(|times| must_have_learned(cluster, times, index)) {
            self.report_violation(cluster, &format!("host {index} admits work at the old version {version}"));
        }
        let limit = VIEW_AGE_LIMIT + CLOCK_MARGIN;
        let is_cut_off =
            self.islands.iter().any(|island| island.hosts.contains(&index) && cluster.now > island.since + limit);
        if is_cut_off && !admitted.is_empty() {
            self.report_violation(cluster, &format!("host {index} is cut off and admits a key"));
        }
        let history = &mut self.hosts[index];
        let has_admitted = history.has_admitted;
        history.has_admitted |= !admitted.is_empty();
        if !has_admitted && !admitted.is_empty() && history.version < history.peer_version_at_start {
            self.report_violation(
                cluster,
                &format!("host {index} admits a key at a version below that of all other hosts at its start"),
            );
        }
        // The last key is never withdrawn.
        let last = self.keys.len() - 1;
        if has_admitted && !admitted.contains(&last) {
            self.last_key_refusals += 1;
        }
    }
}

/// Whether the host at `index` must have learned something. This is so if another host or the store has known it for
/// [`LEARNING_TIMEOUT`], and has been connected to the host at `index` for as long, directly or through others. A host
/// that has not learned it by then must refuse requests with a key.
fn must_have_learned(cluster: &SimCluster, times: &LearningTimes, index: usize) -> bool {
    let Some(since) = cluster.now.checked_sub(LEARNING_TIMEOUT) else { return false };
    let store = cluster.hosts.len();
    let is_store_steady =
        matches!(cluster.store_mode, StoreMode::Up | StoreMode::Slow) && cluster.store_steady_since <= since;
    let is_steady = |node: usize| {
        if node == store {
            return is_store_steady;
        }
        let host = &cluster.hosts[node];
        host.is_alive && !host.is_frozen && host.running_since <= since
    };
    let known_at = |node: usize| if node == store { times.store } else { times.hosts[node] };
    let mut reached_nodes: Vec<usize> =
        (0..=store).filter(|node| is_steady(*node) && known_at(*node).is_some_and(|at| at <= since)).collect();
    let mut next_index = 0;
    while next_index < reached_nodes.len() {
        let from = reached_nodes[next_index];
        next_index += 1;
        for to in 0..=store {
            let can_be_reached = to == index || is_steady(to);
            if can_be_reached && !reached_nodes.contains(&to) && is_connected(cluster, from, to, since) {
                reached_nodes.push(to);
            }
        }
    }
    reached_nodes.contains(&index)
}

fn is_connected(cluster: &SimCluster, from: usize, to: usize, since: Duration) -> bool {
    let store = cluster.hosts.len();
    if from == store || to == store {
        let host = from.min(to);
        return host != store && !cluster.hosts[host].is_store_cut && cluster.hosts[host].store_steady_since <= since;
    }
    let is_passing_steadily =
        |from: usize, to: usize| is_passing(cluster.links[from][to]) && cluster.links_steady_since[from][to] <= since;
    is_passing_steadily(from, to) && is_passing_steadily(to, from)
}
