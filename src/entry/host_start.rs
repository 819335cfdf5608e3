//! Start and planned stop of a host in an installation.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use hyper::body::Incoming;
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
use crate::entry::request_entry::answer_caller;
use crate::entry::settings::{InstallationSettings, InstallationSettingsLogLevel};
use crate::fleet::target_load::LoadTable;
use crate::jobs::job_cache::JobCache;
use crate::jobs::job_keeper::run_job_takeover;
use crate::options::schema_check::ConfigError;
use crate::prelude::*;
use crate::relay::caller_codec::CallerCodec;
use crate::relay::caller_server::{serve_callers, serve_status};
use crate::relay::connection_pool::ConnectionPool;
use crate::relay::reply::ResponseBody;
use crate::relay::target_codec::TargetCodec;
use crate::row_store::RowStore;
use crate::row_store::store_relay::{SharedStoreRouter, serve_peers};

/// Time for which a stopping host still accepts connections: the balancer asks once a second and needs two misses.
const DRAIN_TIME: Duration = Duration::from_millis(2500);

/// Part of the stop limit after which batch jobs are handed to other hosts; most steps end sooner by themselves.
const RELEASE_SHARE: f64 = 0.5;

/// Part of the stop limit after which the process ends.
const END_SHARE: f64 = 0.85;

/// Time at the end of the process in which waiting log lines are written.
const LOG_TIME: Duration = Duration::from_millis(50);

/// Function that reads the settings again.
pub type SettingsReload = Box<dyn Fn() -> Result<InstallationSettings, Vec<ConfigError>> + Send>;

/// What the installation's adapter passes in.
pub struct HostDependencies {
    /// Settings.
    pub settings: InstallationSettings,
    /// Reads the settings again.
    pub reload: SettingsReload,
    /// Ways to the store, shared by its clients.
    pub store_router: SharedStoreRouter,
    /// Makes a client of the store for the thread that calls it.
    pub new_store: Box<dyn Fn() -> RowStore + Send>,
    /// Makes the calls of the duties for the thread that calls it.
    pub new_duty_calls: Box<dyn Fn() -> LeaderCalls + Send>,
    /// Tables that the platform fills.
    pub tables: InstallationTables,
    /// Words of targets.
    pub target_codec: TargetCodec,
    /// Words of callers.
    pub caller_codec: CallerCodec,
}

impl std::fmt::Debug for HostDependencies {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("HostDependencies")
    }
}

fn new_runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Runs a host until the platform stops it.
///
/// # Errors
///
/// An address cannot be bound, or a thread cannot be started.
pub fn run_host(parts: HostDependencies) -> std::io::Result<()> {
    crate::logs::start_logs(&parts.settings.host, log_level(&parts.settings));
    let (publisher, view) = FleetPublisher::new();
    let incarnation = u64::try_from(wall_time().as_nanos()).unwrap_or_default();
    let context = Arc::new(HostContext {
        incarnation,
        view,
        store: Arc::new((parts.new_store)()),
        pool: ConnectionPool::new(),
        loads: Mutex::new(LoadTable::new()),
        board: JobCache::new(),
        usage: UsageCounter::new(Duration::from_secs_f64(parts.settings.usage_window_seconds)),
        metrics: HostMetrics::new().map_err(std::io::Error::other)?,
        target_codec: parts.target_codec,
        caller_codec: parts.caller_codec,
        stopping: AtomicBool::new(false),
        releasing: AtomicBool::new(false),
        settings: parts.settings,
    });
    let control_context = Arc::clone(&context);
    let (tables, store_router) = (parts.tables, parts.store_router);
    let store_address = parse_address(&context.settings.store_address)?;
    let peer_address = context.settings.peer_address.as_deref().map(parse_address).transpose()?;
    let (new_store, new_duty_calls) = (parts.new_store, parts.new_duty_calls);
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        let runtime = match new_runtime() {
            Ok(runtime) => runtime,
            Err(error) => {
                log::error!(error = error.to_string(); "control_thread_failed");
                return;
            }
        };
        runtime.block_on(async move {
            let store = Arc::new(new_store());
            let duties = LeaderTasks::new(Arc::clone(&control_context), Arc::clone(&store), new_duty_calls());
            if let Some(peer_address) = peer_address {
                tokio::spawn(serve_peers(peer_address, store_address, Arc::clone(&store_router)));
            }
            tokio::join!(
                follow_fleet(control_context, store, publisher, tables, Arc::clone(&duties), store_router),
                Arc::clone(&duties).keep_lease(),
                Arc::clone(&duties).run_weight_rollout(),
                Arc::clone(&duties).run_usage_reporting(),
                Arc::clone(&duties).run_target_scaling(),
                Arc::clone(&duties).run_job_removal(),
            );
        });
    })?;
    new_runtime()?.block_on(serve_until_stopped(context, parts.reload))
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

async fn serve_until_stopped(context: Arc<HostContext>, reload: SettingsReload) -> std::io::Result<()> {
    let mut stop_signal = signal(SignalKind::terminate())?;
    let mut reload_signal = signal(SignalKind::hangup())?;
    let listener = TcpListener::bind(&context.settings.caller_address).await?;
    let readiness = parse_address(&context.settings.readiness_address)?;
    let ready_context = Arc::clone(&context);
    let answer_ready = move || {
        let is_ready = is_ready(&ready_context);
        (if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, Vec::new())
    };
    tokio::spawn(serve_status(readiness, Arc::new(answer_ready)));
    if let Some(address) = &context.settings.metrics_address {
        let address = parse_address(address)?;
        let metrics_context = Arc::clone(&context);
        let answer_metrics = move || (StatusCode::OK, metrics_context.metrics.render(&metrics_context));
        tokio::spawn(serve_status(address, Arc::new(answer_metrics)));
    }
    let (close, closing) = watch::channel(false);
    let handler_context = Arc::clone(&context);
    let handler = Arc::new(move |request: Request<Incoming>| {
        let context = Arc::clone(&handler_context);
        Box::pin(async move { answer_caller(context, request).await })
            as std::pin::Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>
    });
    let callers = tokio::spawn(serve_callers(Arc::clone(&context), listener, handler, closing));
    let keeper = tokio::spawn(run_job_takeover(Arc::clone(&context)));
    log::info!(
        incarnation = context.incarnation, domain = context.settings.failure_domain,
        address = context.settings.caller_address;
        "host_started"
    );
    loop {
        tokio::select! {
            _ = stop_signal.recv() => break,
            _ = reload_signal.recv() => reload_settings(&context.settings, &reload),
        }
    }
    log::info!("stop_requested");
    let started_at = boot_time();
    context.stopping.store(true, Ordering::Release);
    let limit = Duration::from_secs_f64(context.settings.stop_limit_seconds);
    tokio::time::sleep(DRAIN_TIME).await;
    // A receiver that is gone has no open connections either.
    let _ = close.send(true);
    tokio::time::sleep(limit.mul_f64(RELEASE_SHARE).saturating_sub(DRAIN_TIME)).await;
    context.releasing.store(true, Ordering::Release);
    while boot_time().saturating_sub(started_at) < limit.mul_f64(END_SHARE) {
        let is_idle = context.with_loads(|loads| loads.loads().iter().all(|load| load.running == 0));
        if is_idle {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    callers.abort();
    keeper.abort();
    log::info!(elapsed_ms = whole_millis(boot_time().saturating_sub(started_at)); "host_stopped");
    // The thread that writes the log gets to its last lines.
    tokio::time::sleep(LOG_TIME).await;
    Ok(())
}

/// Puts the log level of the settings file in force. Other settings take effect with the next start, which the log line
/// says.
fn reload_settings(settings: &InstallationSettings, reload: &SettingsReload) {
    match reload() {
        Ok(read) => {
            log::set_max_level(log_level(&read));
            let waits_for_start = InstallationSettings { log_level: settings.log_level, ..read.clone() } != *settings;
            log::info!(log_level:% = read.log_level, others_wait_for_start = waits_for_start; "settings_reloaded");
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
