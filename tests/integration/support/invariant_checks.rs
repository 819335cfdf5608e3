//! Invariants of a simulated cluster, checked all the time.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorspring::constants::VIEW_AGE_LIMIT;
use camphorspring::control::ControlView;
use camphorspring::control::configuration_snapshot::snapshot_items;
use camphorspring::control::store_call::{CONFIGURATION_TABLE, WITHDRAWN_TABLE};

use super::sim_cluster::{SimCluster, StoreMode, is_passing};

/// Time after which a withdrawal or configuration that a host hears of must be in force there.
const NEWS_BOUND: Duration = Duration::from_secs(8);

/// Period of the checks that look at all pairs.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Error of the simulated clocks over [`VIEW_AGE_LIMIT`].
const CLOCK_ERROR: Duration = Duration::from_millis(10);

/// Resource that the hosts of a scenario compete for.
pub const RESOURCE: &str = "orders/a";

/// Whether a request with this key is admitted, given that its secret is right.
pub fn admits(view: &ControlView, local: Duration, key_id: &str) -> bool {
    view.is_fresh(local) && !view.is_withdrawn(key_id) && view.configuration.key(key_id).is_some()
}

#[derive(Debug, Default)]
struct HostRecord {
    started_at: Duration,
    version: u64,
    version_at_start: u64,
    has_admitted: bool,
}

/// When each host, and the store, came to know something.
#[derive(Debug, Clone)]
struct NewsTimes {
    hosts: Vec<Option<Duration>>,
    store: Option<Duration>,
}

impl NewsTimes {
    fn new(hosts: usize) -> Self {
        Self { hosts: vec![None; hosts], store: None }
    }

    fn note(&mut self, now: Duration, is_stored: bool, knows: impl Fn(usize) -> bool) {
        for (index, known_at) in self.hosts.iter_mut().enumerate() {
            *known_at = if knows(index) { known_at.or(Some(now)) } else { None };
        }
        if is_stored {
            self.store.get_or_insert(now);
        }
    }
}

/// Hosts that reach each other, and neither the store nor any other host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIsland {
    pub hosts: Vec<usize>,
    pub since: Duration,
}

/// Checker of one run.
#[derive(Debug)]
pub struct InvariantChecks {
    keys: Vec<String>,
    key_news: Vec<NewsTimes>,
    version_news: Vec<NewsTimes>,
    hosts: Vec<HostRecord>,
    contents: BTreeMap<u64, String>,
    epochs: BTreeMap<u64, usize>,
    next_check: Duration,
    /// Hosts that are cut off from everything else.
    pub islands: Vec<HostIsland>,
    pub violations: Vec<String>,
    /// Refusals of a key that was never withdrawn, by hosts that were admitted it before.
    pub refusals: u64,
}

impl InvariantChecks {
    pub fn new(keys: &[&str], hosts: usize) -> Self {
        Self {
            keys: keys.iter().map(|key| (*key).to_owned()).collect(),
            key_news: vec![NewsTimes::new(hosts); keys.len()],
            version_news: Vec::new(),
            hosts: (0..hosts).map(|_| HostRecord::default()).collect(),
            contents: BTreeMap::new(),
            epochs: BTreeMap::new(),
            next_check: Duration::ZERO,
            islands: Vec::new(),
            violations: Vec::new(),
            refusals: 0,
        }
    }

    pub fn check(&mut self, cluster: &SimCluster) {
        self.check_holders(cluster);
        if cluster.now >= self.next_check {
            self.next_check = cluster.now + CHECK_PERIOD;
            self.check_all(cluster);
        }
    }

    /// Checks everything now, as right after a paused host resumed with its old view.
    pub fn check_all(&mut self, cluster: &SimCluster) {
        self.check_holders(cluster);
        self.note_known(cluster);
        for host in 0..cluster.hosts.len() {
            let entry = &cluster.hosts[host];
            if entry.is_alive && !entry.is_frozen {
                self.check_version(cluster, host);
                self.check_admissions(cluster, host);
            }
        }
    }

    fn report(&mut self, cluster: &SimCluster, text: &str) {
        self.violations.push(format!("at {:?}: {text}", cluster.now));
    }

    /// At most one host acts as the owner, and no epoch has two owners.
    fn check_holders(&mut self, cluster: &SimCluster) {
        let mut holders = Vec::new();
        for (index, host) in cluster.hosts.iter().enumerate().filter(|(_, host)| host.is_alive && !host.is_frozen) {
            if let Some(owned) = host.view.owned_resource(RESOURCE, host.local(cluster.now)) {
                holders.push((index, owned.epoch));
            }
        }
        if holders.len() > 1 {
            self.report(cluster, &format!("several owners: {holders:?}"));
        }
        for (index, epoch) in holders {
            let owner = *self.epochs.entry(epoch).or_insert(index);
            if owner != index {
                self.report(cluster, &format!("epoch {epoch} has the owners {owner} and {index}"));
            }
        }
    }

    fn note_known(&mut self, cluster: &SimCluster) {
        for (key, news) in self.keys.iter().zip(&mut self.key_news) {
            let is_stored = cluster.store.read(WITHDRAWN_TABLE, key).is_some();
            let knows = |index: usize| {
                let host = &cluster.hosts[index];
                host.is_alive && host.view.is_withdrawn(key)
            };
            news.note(cluster.now, is_stored, knows);
        }
        let stored = cluster.store.count(CONFIGURATION_TABLE);
        self.version_news.resize(stored, NewsTimes::new(cluster.hosts.len()));
        for (version, news) in (1..).zip(&mut self.version_news) {
            let knows = |index: usize| {
                let host = &cluster.hosts[index];
                host.is_alive && host.view.configuration.version >= version
            };
            news.note(cluster.now, true, knows);
        }
    }

    /// The version never decreases within a life, and one version has one content everywhere.
    fn check_version(&mut self, cluster: &SimCluster, index: usize) {
        let host = &cluster.hosts[index];
        let version = host.view.configuration.version;
        if self.hosts[index].started_at != host.started_at {
            let others = cluster.hosts.iter().enumerate().filter(|(other, host)| *other != index && host.is_alive);
            let version_at_start = others.map(|(_, host)| host.view.configuration.version).min().unwrap_or(0);
            let started_at = host.started_at;
            self.hosts[index] = HostRecord { started_at, version, version_at_start, has_admitted: false };
        }
        if version < self.hosts[index].version {
            self.report(cluster, &format!("host {index} went back to version {version}"));
        }
        if version != self.hosts[index].version || !self.contents.contains_key(&version) {
            let content = format!("{:?}", snapshot_items(&host.view.configuration));
            let known = self.contents.entry(version).or_insert_with(|| content.clone());
            if *known != content {
                self.report(cluster, &format!("host {index} has another content at version {version}"));
            }
        }
        self.hosts[index].version = version;
    }

    fn check_admissions(&mut self, cluster: &SimCluster, index: usize) {
        let host = &cluster.hosts[index];
        let local = host.local(cluster.now);
        let admitted: Vec<usize> =
            (0..self.keys.len()).filter(|position| admits(&host.view, local, &self.keys[*position])).collect();
        for position in &admitted {
            if is_heard(cluster, &self.key_news[*position], index) {
                let key = self.keys[*position].clone();
                self.report(cluster, &format!("host {index} admits the withdrawn key {key}"));
            }
        }
        let version = usize::try_from(host.view.configuration.version).unwrap_or(usize::MAX);
        let later = self.version_news.get(version);
        if !admitted.is_empty() && later.is_some_and(|news| is_heard(cluster, news, index)) {
            self.report(cluster, &format!("host {index} admits work at the old version {version}"));
        }
        let limit = VIEW_AGE_LIMIT + CLOCK_ERROR;
        let is_cut_off =
            self.islands.iter().any(|island| island.hosts.contains(&index) && cluster.now > island.since + limit);
        if is_cut_off && !admitted.is_empty() {
            self.report(cluster, &format!("host {index} is cut off and admits keyed work"));
        }
        let record = &mut self.hosts[index];
        let has_admitted = record.has_admitted;
        record.has_admitted |= !admitted.is_empty();
        if !has_admitted && !admitted.is_empty() && record.version < record.version_at_start {
            self.report(cluster, &format!("host {index} admits work without a full view"));
        }
        // The last key is never withdrawn.
        let last = self.keys.len() - 1;
        if has_admitted && !admitted.contains(&last) {
            self.refusals += 1;
        }
    }
}

/// Whether a host or the store that knows some news has been connected to a host for the whole bound, possibly through
/// others. Then that host must have acted on the news, or refuse keyed work.
fn is_heard(cluster: &SimCluster, news: &NewsTimes, index: usize) -> bool {
    let Some(since) = cluster.now.checked_sub(NEWS_BOUND) else { return false };
    let store = cluster.hosts.len();
    let is_store_steady = matches!(cluster.store_mode, StoreMode::Up | StoreMode::Slow) && cluster.store_since <= since;
    let is_steady = |node: usize| {
        if node == store {
            return is_store_steady;
        }
        let host = &cluster.hosts[node];
        host.is_alive && !host.is_frozen && host.awake_since <= since
    };
    let known_at = |node: usize| if node == store { news.store } else { news.hosts[node] };
    let mut reached: Vec<usize> =
        (0..=store).filter(|node| is_steady(*node) && known_at(*node).is_some_and(|at| at <= since)).collect();
    let mut next = 0;
    while next < reached.len() {
        let from = reached[next];
        next += 1;
        for to in 0..=store {
            let may_relay = to == index || is_steady(to);
            if may_relay && !reached.contains(&to) && is_connected(cluster, from, to, since) {
                reached.push(to);
            }
        }
    }
    reached.contains(&index)
}

fn is_connected(cluster: &SimCluster, from: usize, to: usize, since: Duration) -> bool {
    let store = cluster.hosts.len();
    if from == store || to == store {
        let host = from.min(to);
        return host != store && !cluster.hosts[host].store_cut && cluster.hosts[host].store_since <= since;
    }
    let passes = |from: usize, to: usize| is_passing(cluster.links[from][to]) && cluster.links_since[from][to] <= since;
    passes(from, to) && passes(to, from)
}
