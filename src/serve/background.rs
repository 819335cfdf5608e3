//! Starts the background threads of a host. They run the samples of trainer steps, store usage, load weights on
//! engines, order targets from the platform, and report the demand for targets.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::control::ControlHandle;
use crate::control::configuration_writer::{ConfigurationWriter, PlacementKind};
use crate::dispatch::dispatch_threads::DispatchHandle;
use crate::generated::process_settings::ProcessSettings;
use crate::orders::demand_table::{DEMAND_PERIOD, DemandTable, send_demands};
use crate::orders::order_keeper::{OrderDependencies, OrderKeeper, order_sender};
use crate::peer::network::PeerNetwork;
use crate::prelude::*;
use crate::samples::StepService;
use crate::samples::weight_keeper::WeightKeeper;
use crate::store_client::StoreClient;
use crate::store_client::store_access::StoreAccess;
use crate::usage::UsageTiming;
use crate::usage::usage_keeper::{UsageDependencies, UsageKeeper};

/// Author that the configuration log names when the thread for target orders changes whether a target is in rotation.
const ORDER_AUTHOR: &str = "target-orders";

/// Interval at which the demand sender checks whether to end, and whether a report is due.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Parts of the host that the background threads use; each thread gets clones of those it needs.
pub(super) struct BackgroundDependencies<'a> {
    pub(super) settings: &'a ProcessSettings,
    pub(super) control: &'a ControlHandle,
    pub(super) client: &'a StoreClient,
    pub(super) network: &'a PeerNetwork,
    pub(super) dispatch: &'a Arc<DispatchHandle>,
    pub(super) steps: &'a StepService,
    pub(super) usage: &'a Arc<UsageKeeper>,
    pub(super) demand_table: &'a Arc<DemandTable>,
}

/// Starts all background threads; they end after `stopping` is set. When one cannot be started, those before it go on.
pub(super) fn start_background_threads(
    dependencies: &BackgroundDependencies<'_>,
    stopping: &Arc<AtomicBool>,
) -> io::Result<Vec<JoinHandle<()>>> {
    let store = StoreAccess::of_client(dependencies.client);
    let weights = WeightKeeper::new(dependencies.control.clone(), store, Arc::new(boot_time));
    let orders = OrderKeeper::new(build_order_dependencies(dependencies));
    Ok(vec![
        dependencies.steps.start_keeper(Arc::clone(stopping))?,
        dependencies.usage.start(Arc::clone(stopping))?,
        weights.start(Arc::clone(stopping))?,
        orders.start(Arc::clone(stopping))?,
        start_demand_sender(dependencies, Arc::clone(stopping))?,
    ])
}

/// Dependencies of the usage keeper, which is created before the background threads start.
pub(super) fn build_usage_dependencies(
    settings: &ProcessSettings,
    control: &ControlHandle,
    client: &StoreClient,
    network: &PeerNetwork,
) -> UsageDependencies {
    let report_client = client.clone();
    let timing = UsageTiming {
        window: Duration::from_secs(u64::from(settings.usage_window_seconds)),
        freeze_delay: Duration::from_secs(u64::from(settings.usage_freeze_seconds)),
    };
    UsageDependencies {
        control: control.clone(),
        store: StoreAccess::of_client(client),
        frames: network.sender(),
        reports: Arc::new(move |report| report_client.report_usage(report)),
        clock: Arc::new(boot_time),
        wall: Arc::new(|| SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()),
        timing,
    }
}

fn build_order_dependencies(dependencies: &BackgroundDependencies<'_>) -> OrderDependencies {
    let (view_source, demand_table) = (dependencies.control.clone(), Arc::clone(dependencies.demand_table));
    let writer = ConfigurationWriter::new(dependencies.control.clone(), dependencies.client.clone());
    OrderDependencies {
        control: dependencies.control.clone(),
        store: StoreAccess::of_client(dependencies.client),
        demand: Arc::new(move |_| demand_table.demand(&view_source.view(), boot_time())),
        orders: order_sender(&dependencies.settings.platform_url),
        placements: Arc::new(move |target, is_out| {
            let result = writer.set_placement(PlacementKind::Target, target, is_out, ORDER_AUTHOR);
            result.map(|_| ()).map_err(|error| error.code())
        }),
        clock: Arc::new(boot_time),
    }
}

fn start_demand_sender(
    dependencies: &BackgroundDependencies<'_>,
    stopping: Arc<AtomicBool>,
) -> io::Result<JoinHandle<()>> {
    let (control, frames) = (dependencies.control.clone(), dependencies.network.sender());
    let (dispatch, demand_table) = (Arc::clone(dependencies.dispatch), Arc::clone(dependencies.demand_table));
    std::thread::Builder::new().name("demand-sender".to_owned()).spawn(move || {
        let mut sent_at = BootTime::ZERO;
        while !stopping.load(Ordering::Relaxed) {
            if boot_time().saturating_sub(sent_at) >= DEMAND_PERIOD {
                sent_at = boot_time();
                send_demands(&control, &frames, &demand_table, dispatch.shard_demands());
            }
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
    })
}
