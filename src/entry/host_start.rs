//! Starts the threads of a host that runs in an installation, and carries out reloads of the settings and the planned
//! stop.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use hyper::{Request, Response, StatusCode};
use log::LevelFilter;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::duties::leader_calls::LeaderCalls;
use crate::duties::leader_tasks::LeaderTasks;
use crate::duties::usage_counter::{UsageCounter, wall_time};
use crate::entry::fleet_follower::{FleetPublisher, InstallationTables, follow_fleet};
use crate::entry::host_context::HostContext;
use crate::entry::host_metrics::HostMetrics;
use crate::entry::peer_server::serve_peers;
use crate::entry::planned_stop::{PlannedStop, StopTimes};
use crate::entry::request_entry::answer_caller;
use crate::entry::settings::{InstallationSettings, InstallationSettingsLogLevel};
use crate::fleet::target_load::LoadTable;
use crate::jobs::job_cache::JobCache;
use crate::jobs::job_ownership::run_job_takeover;
use crate::memory::MemoryBudget;
use crate::options::schema_check::ConfigError;
use crate::prelude::*;
use crate::relay::caller_codec::CallerCodec;
use crate::relay::caller_server::{ServerPhase, serve_callers, serve_status};
use crate::relay::connection_pool::ConnectionPool;
use crate::relay::crash_reports::{CrashReports, store_crash_reports};
use crate::relay::read_budget::BudgetedBody;
use crate::relay::reply::ResponseBody;
use crate::relay::stream_origins::{StreamOrigins, store_origins};
use crate::relay::target_codec::TargetCodec;
use crate::relay::target_relay::{LinkTable, watch_links};
use crate::row_store::RowStore;
use crate::row_store::store_relay::SharedStoreRouter;

/// Delay before the process ends, in which the log thread writes the lines that are still queued.
const LOG_FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Function that reads and checks the settings file again; fails with the errors in the file.
pub type SettingsLoader = Box<dyn Fn() -> Result<InstallationSettings, Vec<ConfigError>> + Send>;

/// Keeps SIGHUP from ending the process from now on; the returned flag says whether one has arrived. To be called first, since the
/// settings file may change at any time, also right after the start.
#[must_use]
pub fn catch_hangups() -> Arc<AtomicBool> {
    let has_arrived = Arc::new(AtomicBool::new(false));
    if let Err(error) = signal_hook::flag::register(signal_hook::consts::SIGHUP, Arc::clone(&has_arrived)) {
        eprintln!("SIGHUP is not caught: {error}");
    }
    has_arrived
}

/// What the platform adapter passes in.
pub struct HostDependencies {
    /// Result of [`catch_hangups`], called before the settings were read.
    pub early_hangup: Arc<AtomicBool>,
    /// Settings as read at the start.
    pub settings: InstallationSettings,
    /// Reads the settings file again; called on SIGHUP, on the thread that serves callers.
    pub reload: SettingsLoader,
    /// Routes to the store, direct and through peers, which all store clients of this host share.
    pub store_router: SharedStoreRouter,
    /// Creates a store client for use on the calling thread only; called once on each of the two threads.
    pub new_store: Box<dyn Fn() -> RowStore + Send>,
    /// Creates the outgoing calls of the leader tasks, for use on the calling thread only.
    pub new_leader_calls: Box<dyn Fn() -> LeaderCalls + Send>,
    /// Tables that other programs of the installation write.
    pub tables: InstallationTables,
    /// Wire format between hosts and targets.
    pub target_codec: TargetCodec,
    /// Wire format between callers and hosts.
    pub caller_codec: CallerCodec,
}

impl std::fmt::Debug for HostDependencies {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("HostDependencies")
    }
}

fn build_runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Runs a host until SIGTERM, then stops it as planned.
///
/// # Errors
///
/// An address in the settings is malformed, the address for callers cannot be bound, or the metrics, the control
/// thread, the runtime for callers or a signal handler cannot be set up. A failure to bind another address or to set up
/// the runtime of the control thread is only logged.
pub fn run_host(dependencies: HostDependencies) -> std::io::Result<()> {
    crate::logs::start_logs(&dependencies.settings.host, log_level(&dependencies.settings));
    let (publisher, view) = FleetPublisher::new();
    let incarnation = u64::try_from(wall_time().as_nanos()).unwrap_or_default();
    let context = Arc::new(HostContext {
        incarnation,
        view,
        store: Arc::new((dependencies.new_store)()),
        memory: MemoryBudget::for_machine(dependencies.settings.memory_megabytes, usize::MAX),
        pool: ConnectionPool::for_targets(),
        leaving_targets: watch::Sender::new(Vec::new()),
        links: LinkTable::default(),
        loads: Mutex::new(LoadTable::new()),
        board: JobCache::new(),
        usage: UsageCounter::new(Duration::from_secs_f64(dependencies.settings.usage_window_seconds)),
        stream_origins: StreamOrigins::default(),
        restarts: Mutex::default(),
        crashes: CrashReports::default(),
        metrics: HostMetrics::new().map_err(std::io::Error::other)?,
        target_codec: dependencies.target_codec,
        caller_codec: dependencies.caller_codec,
        busy_connections: AtomicUsize::new(0),
        stop: PlannedStop::default(),
        settings: dependencies.settings,
    });
    context.metrics.add_memory(&context.memory).map_err(std::io::Error::other)?;
    let control_context = Arc::clone(&context);
    let (tables, store_router) = (dependencies.tables, dependencies.store_router);
    let store_address = parse_address(&context.settings.store_address)?;
    let peer_address = context.settings.peer_address.as_deref().map(parse_address).transpose()?;
    let (new_store, new_leader_calls) = (dependencies.new_store, dependencies.new_leader_calls);
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        let runtime = match build_runtime() {
            Ok(runtime) => runtime,
            Err(error) => {
                log::error!(error = error.to_string(); "control_thread_failed");
                return;
            }
        };
        runtime.block_on(async move {
            let store = Arc::new(new_store());
            let leader_tasks = LeaderTasks::new(Arc::clone(&control_context), Arc::clone(&store), new_leader_calls());
            if let Some(peer_address) = peer_address {
                let peers =
                    serve_peers(Arc::clone(&control_context), peer_address, store_address, Arc::clone(&store_router));
                tokio::spawn(peers);
            }
            tokio::join!(
                follow_fleet(control_context, store, publisher, tables, Arc::clone(&leader_tasks), store_router),
                Arc::clone(&leader_tasks).keep_lease(),
                Arc::clone(&leader_tasks).run_weight_rollout(),
                Arc::clone(&leader_tasks).run_usage_reporting(),
                Arc::clone(&leader_tasks).run_target_scaling(),
                Arc::clone(&leader_tasks).run_job_removal(),
                Arc::clone(&leader_tasks).run_stream_removal(),
                Arc::clone(&leader_tasks).run_report_removal(),
            );
        });
    })?;
    build_runtime()?.block_on(serve_until_stopped(context, dependencies.reload, &dependencies.early_hangup))
}

fn parse_address(text: &str) -> std::io::Result<SocketAddr> {
    text.parse().map_err(std::io::Error::other)
}

fn log_level(settings: &InstallationSettings) -> LevelFilter {
    match settings.log_level {
        InstallationSettingsLogLevel::Error => LevelFilter::Error,
        InstallationSettingsLogLevel::Warn => LevelFilter::Warn,
        InstallationSettingsLogLevel::Info => LevelFilter::Info,
        InstallationSettingsLogLevel::Debug => LevelFilter::Debug,
    }
}

async fn serve_until_stopped(
    context: Arc<HostContext>,
    reload: SettingsLoader,
    early_hangup: &AtomicBool,
) -> std::io::Result<()> {
    let mut stop_signal = signal(SignalKind::terminate())?;
    let mut reload_signal = signal(SignalKind::hangup())?;
    let listener = TcpListener::bind(&context.settings.caller_address).await?;
    let readiness_address = parse_address(&context.settings.readiness_address)?;
    let ready_context = Arc::clone(&context);
    let answer_readiness_check = move || {
        let is_ready = is_ready(&ready_context);
        (if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, Vec::new())
    };
    tokio::spawn(serve_status(readiness_address, Arc::clone(&context.memory), Arc::new(answer_readiness_check)));
    if let Some(address) = &context.settings.metrics_address {
        let address = parse_address(address)?;
        let metrics_context = Arc::clone(&context);
        let answer_metrics_read = move || (StatusCode::OK, metrics_context.metrics.render(&metrics_context));
        tokio::spawn(serve_status(address, Arc::clone(&context.memory), Arc::new(answer_metrics_read)));
    }
    let (phase_sender, phase_receiver) = watch::channel(ServerPhase::Serving);
    let handler_context = Arc::clone(&context);
    let handler = Arc::new(move |request: Request<BudgetedBody>| {
        let context = Arc::clone(&handler_context);
        Box::pin(async move { answer_caller(context, request).await })
            as std::pin::Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>
    });
    let caller_server = tokio::spawn(serve_callers(Arc::clone(&context), listener, handler, phase_receiver));
    let job_task = tokio::spawn(run_job_takeover(Arc::clone(&context)));
    tokio::spawn(store_origins(Arc::clone(&context)));
    tokio::spawn(watch_links(Arc::clone(&context)));
    tokio::spawn(store_crash_reports(Arc::clone(&context)));
    log::info!(
        incarnation = context.incarnation, domain = context.settings.failure_domain,
        address = context.settings.caller_address;
        "host_started"
    );
    if early_hangup.load(Ordering::Acquire) {
        reload_settings(&context.settings, &reload);
    }
    loop {
        tokio::select! {
            _ = stop_signal.recv() => break,
            _ = reload_signal.recv() => reload_settings(&context.settings, &reload),
        }
    }
    log::info!("stop_requested");
    let requested_at = boot_time();
    let times = StopTimes::new(requested_at, Duration::from_secs_f64(context.settings.stop_limit_seconds));
    context.stop.begin(times);
    tokio::time::sleep(times.close_at.saturating_sub(boot_time())).await;
    // The send fails only without a receiver, and then no connection is open.
    let _ = phase_sender.send(ServerPhase::Closing);
    tokio::time::sleep(times.release_at.saturating_sub(boot_time())).await;
    let _ = phase_sender.send(ServerPhase::Refusing);
    while boot_time() < times.exit_at {
        let is_idle = context.with_loads(|loads| loads.loads().iter().all(|load| load.running == 0));
        if is_idle && context.busy_connections.load(Ordering::Acquire) == 0 && context.links.forwarded() == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // A request that arrives now on an open connection must not be sent to a target any more.
    context.stop.end();
    caller_server.abort();
    job_task.abort();
    log::info!(elapsed_ms = whole_millis(boot_time().saturating_sub(requested_at)); "host_stopped");
    tokio::time::sleep(LOG_FLUSH_DELAY).await;
    Ok(())
}

/// Applies the log level of the settings file. Other changed settings take effect with the next start; the log line
/// says whether there are any.
fn reload_settings(settings: &InstallationSettings, reload: &SettingsLoader) {
    match reload() {
        Ok(loaded) => {
            log::set_max_level(log_level(&loaded));
            let has_other_changes =
                InstallationSettings { log_level: settings.log_level, ..loaded.clone() } != *settings;
            log::info!(log_level:% = loaded.log_level, others_wait_for_start = has_other_changes; "settings_reloaded");
        }
        Err(errors) => {
            let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
            log::warn!(errors = errors.join("; "); "settings_reload_failed");
        }
    }
}

fn is_ready(context: &HostContext) -> bool {
    !context.is_stopping() && context.view.borrow().services.is_some()
}
