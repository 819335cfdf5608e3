//! Follows the tables of the store, publishes their content to this process as a [`FleetView`], and renews the row of
//! this host.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use tokio::sync::watch;

use crate::duties::leader_lease::DUTY_TABLE;
use crate::duties::leader_tasks::LeaderTasks;
use crate::entry::host_context::HostContext;
use crate::fleet::fleet_state::{FleetChange, FleetState, RowDecoder};
use crate::fleet::fleet_view::FleetView;
use crate::fleet::member_row::{
    MEMBER_RENEWAL, MEMBER_TABLE, MemberRow, RunningCount, host_capacity, member_partition, member_parts,
};
use crate::fleet::target_limit::LimitNotice;
use crate::jobs::job_record::{JOB_TABLE, job_partitions};
use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;
use crate::relay::crash_reports::report_partitions;
use crate::row_store::store_relay::{SharedStoreRouter, with_store_router};
use crate::row_store::table_watch::{FeedPacer, WatchEvent, WatchRule, watch_table};
use crate::row_store::{PartitionTransaction, RowContent, RowStore};

/// Time for which the store holds a feed call while nothing changes; [`FeedPacer`] lengthens it with many hosts. On a
/// dead connection, a change is noticed at the latest after the sum of this time and the timeout of a store call.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before the next feed call after rows of targets changed; each target renews its row about once a second.
const TARGET_FEED_DELAY: Duration = Duration::from_millis(250);

/// Delay before the next feed call after rows of hosts changed; each host renews its row once a second.
const MEMBER_FEED_DELAY: Duration = Duration::from_millis(400);

/// Delay before the next feed call after headers of batch jobs changed; a header changes with each append of results.
const JOB_FEED_DELAY: Duration = Duration::from_millis(60);

/// Tables that other programs of the installation write, with the decoders of their rows.
#[derive(Debug, Clone, Copy)]
pub struct InstallationTables {
    /// Table in which operators and trainers write configurations, rotation changes and weight versions.
    pub operator_table: &'static str,
    /// Turns a row of `operator_table` into a change of the view; rows of other programs become `FleetChange::Ignored`.
    pub decode_operator: RowDecoder,
    /// Table in which each target renews an entry about itself.
    pub target_table: &'static str,
    /// Turns a row of `target_table` into a change of the view; a row without a value stands for a removed entry.
    pub decode_target: RowDecoder,
}

/// State of the fleet that the watchers of several tables update, published as a view after each of their events.
#[derive(Debug)]
pub struct FleetPublisher {
    state: Mutex<FleetState>,
    sender: watch::Sender<Arc<FleetView>>,
}

impl FleetPublisher {
    /// Creates a publisher with an empty view, and the receiver of the latest view.
    #[must_use]
    pub fn new() -> (Arc<Self>, watch::Receiver<Arc<FleetView>>) {
        let (sender, receiver) = watch::channel(Arc::new(FleetView::default()));
        (Arc::new(Self { state: Mutex::new(FleetState::new()), sender }), receiver)
    }

    /// Applies `change` and publishes the view, also when nothing changed; returns the result of `change`.
    fn apply_change(&self, change: impl FnOnce(&mut FleetState) -> bool) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_changed = change(&mut state);
        self.sender.send_replace(Arc::new(state.view().clone()));
        is_changed
    }
}

fn build_watch_rule(table: &'static str, parts: Vec<String>, pause: Duration) -> WatchRule {
    WatchRule { table, parts, wait: LONG_POLL_TIMEOUT, pause }
}

/// Logs when a table can no longer be read, and when it can be read again.
#[derive(Debug)]
struct FeedOutageLog {
    table: &'static str,
    failed_since: Option<BootTime>,
}

impl FeedOutageLog {
    fn new(table: &'static str) -> Self {
        Self { table, failed_since: None }
    }

    fn record_event(&mut self, event: &WatchEvent, now: BootTime) {
        match (event, self.failed_since) {
            (WatchEvent::Failed(error), None) => {
                self.failed_since = Some(now);
                log::warn!(table = self.table, fault = error.to_string(); "store_feed_lost");
            }
            (WatchEvent::Loaded(_) | WatchEvent::Changed(_), Some(since)) => {
                self.failed_since = None;
                let lost_ms = whole_millis(now.saturating_sub(since));
                log::info!(table = self.table, lost_ms = lost_ms; "store_feed_back");
            }
            _ => {}
        }
    }
}

/// Watches all tables and renews the row of this host; never returns.
pub async fn follow_fleet(
    context: Arc<HostContext>,
    store: Arc<RowStore>,
    publisher: Arc<FleetPublisher>,
    tables: InstallationTables,
    leader_tasks: Arc<LeaderTasks>,
    store_router: SharedStoreRouter,
) {
    // These tables have one partition, whose name is empty.
    let single_partition = || vec![String::new()];
    let pacer = Arc::new(FeedPacer::default());
    let mut outage_log = FeedOutageLog::new(tables.operator_table);
    let operator_publisher = Arc::clone(&publisher);
    let leaving_publisher = Arc::clone(&publisher);
    let operators = watch_table(
        Arc::clone(&store),
        build_watch_rule(tables.operator_table, single_partition(), Duration::ZERO),
        Arc::clone(&pacer),
        move |event, version| {
            let now = boot_time();
            outage_log.record_event(&event, now);
            let is_changed = operator_publisher
                .apply_change(|state| state.apply_operator(&event, version, tables.decode_operator, now));
            if is_changed {
                log_configuration(&operator_publisher.sender.borrow());
            }
        },
    );
    let mut outage_log = FeedOutageLog::new(tables.target_table);
    let target_publisher = Arc::clone(&publisher);
    let target_context = Arc::clone(&context);
    let targets = watch_table(
        Arc::clone(&store),
        build_watch_rule(tables.target_table, single_partition(), TARGET_FEED_DELAY),
        Arc::clone(&pacer),
        move |event, _| {
            let now = boot_time();
            outage_log.record_event(&event, now);
            target_context.crashes.observe_targets(&event, tables.decode_target, now);
            observe_restarts(&target_context, &event, tables.decode_target, now);
            let is_changed =
                target_publisher.apply_change(|state| state.apply_targets(&event, tables.decode_target, now));
            if is_changed {
                let view = Arc::clone(&target_publisher.sender.borrow());
                target_context.with_loads(|loads| loads.retain_known(&view));
            }
        },
    );
    let mut outage_log = FeedOutageLog::new(MEMBER_TABLE);
    let member_context = Arc::clone(&context);
    let member_pacer = Arc::clone(&pacer);
    let members = watch_table(
        Arc::clone(&store),
        build_watch_rule(MEMBER_TABLE, member_parts(), MEMBER_FEED_DELAY),
        Arc::clone(&pacer),
        move |event, _| {
            let now = boot_time();
            outage_log.record_event(&event, now);
            publisher.apply_change(|state| state.apply_members(&event, now));
            let settings = &member_context.settings;
            let view = Arc::clone(&publisher.sender.borrow());
            member_pacer.set_hosts(view.live_members().count());
            let peers = store_peers(&view, &settings.host, &settings.failure_domain);
            with_store_router(&store_router, |router| router.set_peers(&peers));
            adopt_limits(&member_context, &view);
        },
    );
    let mut outage_log = FeedOutageLog::new(JOB_TABLE);
    let job_context = Arc::clone(&context);
    let jobs = watch_table(
        Arc::clone(&store),
        build_watch_rule(JOB_TABLE, job_partitions(), JOB_FEED_DELAY),
        Arc::clone(&pacer),
        move |event, _| {
            let now = boot_time();
            outage_log.record_event(&event, now);
            if let WatchEvent::Loaded(rows) | WatchEvent::Changed(rows) = &event {
                job_context.board.apply_rows(rows, now);
            }
        },
    );
    let mut outage_log = FeedOutageLog::new(DUTY_TABLE);
    let duty_context = Arc::clone(&context);
    let lease = watch_table(
        Arc::clone(&store),
        build_watch_rule(
            DUTY_TABLE,
            single_partition().into_iter().chain(report_partitions()).collect(),
            Duration::ZERO,
        ),
        pacer,
        move |event, _| {
            let now = boot_time();
            outage_log.record_event(&event, now);
            let store_ms = (duty_context.store.store_time)().map_or(0, whole_millis);
            duty_context.crashes.apply_event(&event, store_ms, now);
            leader_tasks.apply_duties(&event, now);
        },
    );
    let leaving = follow_leaving_targets(Arc::clone(&context), leaving_publisher);
    tokio::join!(operators, targets, members, jobs, lease, leaving, renew_member(context, store));
}

/// Takes targets out of service that say in a response that they leave; never returns.
async fn follow_leaving_targets(context: Arc<HostContext>, publisher: Arc<FleetPublisher>) {
    let mut leaving = context.leaving_targets.subscribe();
    // The sender is in the context, which outlives this task.
    while leaving.changed().await.is_ok() {
        let targets = leaving.borrow_and_update().clone();
        publisher.apply_change(|state| state.set_leaving(&targets));
    }
}

/// Takes over the rate limits of targets that the hosts publish, and records the hosts that share them.
fn adopt_limits(context: &HostContext, view: &FleetView) {
    // The row of this host counts as well: it may be from before its last start.
    let notices =
        view.live_members().flat_map(|member| member.row.limits.iter().map(move |notice| (&member.host, notice)));
    for (host, notice) in notices {
        if context.with_loads(|loads| loads.limits.merge(notice.clone())) {
            log::info!(target = notice.target, milli_rate:? = notice.rate, from = host; "target_limit_changed");
        }
    }
    let store_time = (context.store.store_time)().unwrap_or_default();
    context.with_loads(|loads| {
        loads.limits.retain_known(view, store_time);
        loads.shares.record_hosts(view, &context.settings.host, boot_time());
    });
}

/// Addresses of the live hosts that relay store calls for `own_host`. Hosts of `own_domain` come first; otherwise the
/// order is by a hash that differs from host to host, so that the calls spread over all peers. Hosts that are stopping,
/// or whose row has no valid peer address, are left out.
#[must_use]
pub fn store_peers(view: &FleetView, own_host: &str, own_domain: &str) -> Vec<SocketAddr> {
    let other_members = view.live_members().filter(|member| member.host != own_host && !member.row.is_stopping);
    let mut peers: Vec<(bool, u64, SocketAddr)> = other_members
        .filter_map(|member| {
            let address = member.row.peer_address.as_deref()?.parse().ok()?;
            Some((member.row.domain != own_domain, rendezvous_hash(own_host, &member.host), address))
        })
        .collect();
    peers.sort_unstable();
    peers.into_iter().map(|(_, _, address)| address).collect()
}

fn log_configuration(view: &FleetView) {
    let Some(services) = &view.services else { return };
    log::info!(
        version = services.version, routes = services.routes.len(), services = services.services.len(),
        organisations = services.organisations.len(), keys = services.keys.len(),
        closed_domains = view.closed_domains.join(","),
        weights = view.versions.iter().map(|named| format!("{}:{}", named.model, named.version)).collect::<Vec<_>>().join(",");
        "configuration_in_force"
    );
}

/// Renews the row of this host; never returns.
async fn renew_member(context: Arc<HostContext>, store: Arc<RowStore>) {
    let mut beat = 0;
    loop {
        beat += 1;
        let row = MemberRow {
            incarnation: context.incarnation,
            domain: context.settings.failure_domain.clone(),
            beat,
            peer_address: context.settings.peer_address.clone(),
            forwards_requests: forwards_requests(&context),
            capacity: host_capacity(context.settings.processor_cores, context.settings.link_megabits),
            is_stopping: context.is_stopping(),
            running: context.with_loads(|loads| {
                let busy = loads.loads().iter().filter(|load| load.long_running > 0);
                busy.map(|load| RunningCount { target: load.target.clone(), count: load.long_running }).collect()
            }),
            waiting: context.with_loads(|loads| loads.shares.waiting_counts()),
            limits: limits_to_publish(&context),
        };
        let write = RowContent {
            table: MEMBER_TABLE,
            key: context.settings.host.clone(),
            value: serde_json::to_vec(&row).unwrap_or_default(),
        };
        let part = member_partition(&context.settings.host);
        let transaction = PartitionTransaction { part, writes: vec![write], ..PartitionTransaction::default() };
        // A failed renewal is made up for by the next one, and the watchers log the outage of the store.
        let _ = (store.transact)(transaction).await;
        // The start of a planned stop is published within a tenth of the period, so that no more jobs come here, and so
        // are a change of the limits of targets and a cut of the links to them.
        for _ in 0..10 {
            tokio::time::sleep(MEMBER_RENEWAL / 10).await;
            let is_same =
                context.is_stopping() == row.is_stopping && forwards_requests(&context) == row.forwards_requests;
            if !is_same || !has_same_limits(&limits_to_publish(&context), &row.limits) {
                break;
            }
        }
    }
}

/// Whether other hosts may send their requests to targets through this one.
fn forwards_requests(context: &HostContext) -> bool {
    context.settings.peer_address.is_some() && !context.links.is_cut()
}

fn limits_to_publish(context: &HostContext) -> Vec<LimitNotice> {
    context.with_loads(|loads| loads.limits.notices_to_publish(&context.view(), &context.settings.host))
}

/// Whether two lists name the same limits, whenever the targets announced them.
fn has_same_limits(one: &[LimitNotice], other: &[LimitNotice]) -> bool {
    let limits = |notices: &[LimitNotice]| -> Vec<(TargetId, Option<MilliRate>)> {
        notices.iter().map(|notice| (notice.target.clone(), notice.rate)).collect()
    };
    limits(one) == limits(other)
}

/// Tells the watch of restarts which entries of targets were written anew or removed.
fn observe_restarts(context: &HostContext, event: &WatchEvent, decode: RowDecoder, now: BootTime) {
    let (WatchEvent::Loaded(rows) | WatchEvent::Changed(rows)) = event else { return };
    if context.with_restarts(|restarts| restarts.is_empty()) {
        return;
    }
    for row in rows {
        match decode(row, now) {
            FleetChange::Target(entry) => context.with_restarts(|restarts| restarts.record_renewal(&entry.id, now)),
            FleetChange::TargetRemoved(id) => context.with_restarts(|restarts| restarts.record_removal(&id)),
            _ => {}
        }
    }
}
