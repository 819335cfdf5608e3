//! Follows the tables of an installation and publishes what they say.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use tokio::sync::watch;

use crate::duties::leader_lease::DUTY_TABLE;
use crate::duties::leader_tasks::LeaderTasks;
use crate::entry::host_context::HostContext;
use crate::fleet::fleet_state::{FleetState, RowDecoder};
use crate::fleet::fleet_view::FleetView;
use crate::fleet::member_row::{
    MEMBER_RENEWAL, MEMBER_TABLE, MemberRow, RunningCount, host_capacity, member_part, member_parts,
};
use crate::jobs::job_record::{JOB_TABLE, job_parts};
use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;
use crate::row_store::store_relay::{SharedStoreRouter, with_store_router};
use crate::row_store::table_watch::{FeedPacer, WatchEvent, WatchRule, watch_table};
use crate::row_store::{PartitionTransaction, RowContent, RowStore};

/// Wait of one feed call; with the limit of a store call it bounds how late a change is noticed on a dead connection.
const FEED_WAIT: Duration = Duration::from_millis(500);

/// Pause between two answers about targets, each of which renews its entry about once a second.
const TARGET_PAUSE: Duration = Duration::from_millis(250);

/// Pause between two answers about hosts, which renew their rows once a second.
const MEMBER_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two answers about jobs, whose headers change with each append.
const JOB_PAUSE: Duration = Duration::from_millis(60);

/// Tables that the installation's platform fills, and how their rows are decoded.
#[derive(Debug, Clone, Copy)]
pub struct InstallationTables {
    /// Table that operators and trainers write.
    pub operator_table: &'static str,
    /// Decoder of its rows.
    pub decode_operator: RowDecoder,
    /// Table that targets write.
    pub target_table: &'static str,
    /// Decoder of its rows.
    pub decode_target: RowDecoder,
}

/// State that the followers of several tables share.
#[derive(Debug)]
pub struct FleetPublisher {
    state: Mutex<FleetState>,
    sender: watch::Sender<Arc<FleetView>>,
}

impl FleetPublisher {
    /// Publisher of an empty view, and its receiver.
    #[must_use]
    pub fn new() -> (Arc<Self>, watch::Receiver<Arc<FleetView>>) {
        let (sender, receiver) = watch::channel(Arc::new(FleetView::default()));
        (Arc::new(Self { state: Mutex::new(FleetState::new()), sender }), receiver)
    }

    fn apply(&self, work: impl FnOnce(&mut FleetState) -> bool) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_changed = work(&mut state);
        self.sender.send_replace(Arc::new(state.view().clone()));
        is_changed
    }
}

fn rule(table: &'static str, parts: Vec<String>, pause: Duration) -> WatchRule {
    WatchRule { table, parts, wait: FEED_WAIT, pause }
}

/// Logs when a table can no longer be read, and when it can again.
#[derive(Debug)]
struct FeedLog {
    table: &'static str,
    failed_since: Option<BootTime>,
}

impl FeedLog {
    fn new(table: &'static str) -> Self {
        Self { table, failed_since: None }
    }

    fn note(&mut self, event: &WatchEvent, now: BootTime) {
        match (event, self.failed_since) {
            (WatchEvent::Failed(fault), None) => {
                self.failed_since = Some(now);
                log::warn!(table = self.table, fault = fault.to_string(); "store_feed_lost");
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

/// Follows all tables until the process ends.
pub async fn follow_fleet(
    context: Arc<HostContext>,
    store: Arc<RowStore>,
    publisher: Arc<FleetPublisher>,
    tables: InstallationTables,
    duties: Arc<LeaderTasks>,
    store_router: SharedStoreRouter,
) {
    let own_part = || vec![String::new()];
    let pace = Arc::new(FeedPacer::default());
    let mut log = FeedLog::new(tables.operator_table);
    let operator_publisher = Arc::clone(&publisher);
    let operators = watch_table(
        Arc::clone(&store),
        rule(tables.operator_table, own_part(), Duration::ZERO),
        Arc::clone(&pace),
        move |event| {
            let now = boot_time();
            log.note(&event, now);
            let is_changed =
                operator_publisher.apply(|state| state.apply_operator(&event, tables.decode_operator, now));
            if is_changed {
                log_configuration(&operator_publisher.sender.borrow());
            }
        },
    );
    let mut log = FeedLog::new(tables.target_table);
    let target_publisher = Arc::clone(&publisher);
    let target_context = Arc::clone(&context);
    let targets = watch_table(
        Arc::clone(&store),
        rule(tables.target_table, own_part(), TARGET_PAUSE),
        Arc::clone(&pace),
        move |event| {
            let now = boot_time();
            log.note(&event, now);
            let is_changed = target_publisher.apply(|state| state.apply_targets(&event, tables.decode_target, now));
            if is_changed {
                let view = Arc::clone(&target_publisher.sender.borrow());
                target_context.with_loads(|loads| loads.retain_known(&view));
            }
        },
    );
    let mut log = FeedLog::new(MEMBER_TABLE);
    let member_context = Arc::clone(&context);
    let member_pace = Arc::clone(&pace);
    let members = watch_table(
        Arc::clone(&store),
        rule(MEMBER_TABLE, member_parts(), MEMBER_PAUSE),
        Arc::clone(&pace),
        move |event| {
            let now = boot_time();
            log.note(&event, now);
            publisher.apply(|state| state.apply_members(&event, now));
            let settings = &member_context.settings;
            member_pace.set_hosts(publisher.sender.borrow().live_members().count());
            let peers = store_peers(&publisher.sender.borrow(), &settings.host, &settings.failure_domain);
            with_store_router(&store_router, |path| path.set_peers(&peers));
        },
    );
    let mut log = FeedLog::new(JOB_TABLE);
    let job_context = Arc::clone(&context);
    let jobs =
        watch_table(Arc::clone(&store), rule(JOB_TABLE, job_parts(), JOB_PAUSE), Arc::clone(&pace), move |event| {
            let now = boot_time();
            log.note(&event, now);
            if let WatchEvent::Loaded(rows) | WatchEvent::Changed(rows) = &event {
                job_context.board.apply_rows(rows, now);
            }
        });
    let mut log = FeedLog::new(DUTY_TABLE);
    let lease = watch_table(Arc::clone(&store), rule(DUTY_TABLE, own_part(), Duration::ZERO), pace, move |event| {
        let now = boot_time();
        log.note(&event, now);
        duties.apply_duties(&event, now);
    });
    tokio::join!(operators, targets, members, jobs, lease, renew_member(context, store));
}

/// Hosts that may pass calls to the store on for a host, those of its failure domain first, in an order of its own.
#[must_use]
pub fn store_peers(view: &FleetView, own_host: &str, own_domain: &str) -> Vec<SocketAddr> {
    let others = view.live_members().filter(|member| member.host != own_host && !member.row.is_stopping);
    let mut peers: Vec<(bool, u64, SocketAddr)> = others
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

/// Renews the row of this host until the process ends.
async fn renew_member(context: Arc<HostContext>, store: Arc<RowStore>) {
    let mut beat = 0;
    loop {
        beat += 1;
        let row = MemberRow {
            incarnation: context.incarnation,
            domain: context.settings.failure_domain.clone(),
            beat,
            peer_address: context.settings.peer_address.clone(),
            capacity: host_capacity(context.settings.processor_cores, context.settings.link_megabits),
            is_stopping: context.is_stopping(),
            running: context.with_loads(|loads| {
                let busy = loads.loads().iter().filter(|load| load.job_running > 0);
                busy.map(|load| RunningCount { target: load.target.clone(), count: load.job_running }).collect()
            }),
        };
        let write = RowContent {
            table: MEMBER_TABLE,
            key: context.settings.host.clone(),
            value: serde_json::to_vec(&row).unwrap_or_default(),
        };
        let part = member_part(&context.settings.host);
        let transaction = PartitionTransaction { part, writes: vec![write], ..PartitionTransaction::default() };
        // A missed renewal is repeated with the next one; the feeds log that the store is away.
        let _ = (store.transact)(transaction).await;
        // A planned stop is published at once, so that no job is given to this host any more.
        for _ in 0..10 {
            tokio::time::sleep(MEMBER_RENEWAL / 10).await;
            if context.is_stopping() != row.is_stopping {
                break;
            }
        }
    }
}
