//! Background threads of a host: steps, usage, weights, target orders and demand reports.

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

/// Author that the configuration log names for placements by the target orders.
const ORDER_AUTHOR: &str = "target-orders";

/// Period in which background threads look whether they shall end.
const STOP_POLL: Duration = Duration::from_millis(100);

/// What the background threads work with.
pub(super) struct BackgroundDependencies<'a> {
    pub(super) settings: &'a ProcessSettings,
    pub(super) control: &'a ControlHandle,
    pub(super) client: &'a StoreClient,
    pub(super) network: &'a PeerNetwork,
    pub(super) dispatch: &'a Arc<DispatchHandle>,
    pub(super) steps: &'a StepService,
    pub(super) usage: &'a Arc<UsageKeeper>,
    pub(super) board: &'a Arc<DemandTable>,
}

/// Starts all background threads; they end after `stopping` is set.
pub(super) fn start_keepers(
    parts: &BackgroundDependencies<'_>,
    stopping: &Arc<AtomicBool>,
) -> io::Result<Vec<JoinHandle<()>>> {
    let store = StoreAccess::of_client(parts.client);
    let weights = WeightKeeper::new(parts.control.clone(), store, Arc::new(boot_time));
    let orders = OrderKeeper::new(order_parts(parts));
    Ok(vec![
        parts.steps.start_keeper(Arc::clone(stopping))?,
        parts.usage.start(Arc::clone(stopping))?,
        weights.start(Arc::clone(stopping))?,
        orders.start(Arc::clone(stopping))?,
        start_demand_sender(parts, Arc::clone(stopping))?,
    ])
}

/// Parts of the usage keeper.
pub(super) fn usage_parts(
    settings: &ProcessSettings,
    control: &ControlHandle,
    client: &StoreClient,
    network: &PeerNetwork,
) -> UsageDependencies {
    let reports = client.clone();
    let timing = UsageTiming {
        window: Duration::from_secs(u64::from(settings.usage_window_seconds)),
        freeze_delay: Duration::from_secs(u64::from(settings.usage_freeze_seconds)),
    };
    UsageDependencies {
        control: control.clone(),
        store: StoreAccess::of_client(client),
        frames: network.sender(),
        reports: Arc::new(move |report| reports.report_usage(report)),
        clock: Arc::new(boot_time),
        wall: Arc::new(|| SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()),
        timing,
    }
}

fn order_parts(parts: &BackgroundDependencies<'_>) -> OrderDependencies {
    let (view_source, demands) = (parts.control.clone(), Arc::clone(parts.board));
    let writer = ConfigurationWriter::new(parts.control.clone(), parts.client.clone());
    OrderDependencies {
        control: parts.control.clone(),
        store: StoreAccess::of_client(parts.client),
        demand: Arc::new(move |_| demands.demand(&view_source.view(), boot_time())),
        orders: order_sender(&parts.settings.platform_url),
        placements: Arc::new(move |target, out| {
            let placed = writer.set_placement(PlacementKind::Target, target, out, ORDER_AUTHOR);
            placed.map(|_| ()).map_err(|error| error.code())
        }),
        clock: Arc::new(boot_time),
    }
}

fn start_demand_sender(parts: &BackgroundDependencies<'_>, stop: Arc<AtomicBool>) -> io::Result<JoinHandle<()>> {
    let (control, frames) = (parts.control.clone(), parts.network.sender());
    let (dispatch, board) = (Arc::clone(parts.dispatch), Arc::clone(parts.board));
    std::thread::Builder::new().name("demand-sender".to_owned()).spawn(move || {
        let mut sent_at = BootTime::ZERO;
        while !stop.load(Ordering::Relaxed) {
            if boot_time().saturating_sub(sent_at) >= DEMAND_PERIOD {
                sent_at = boot_time();
                send_demands(&control, &frames, &board, dispatch.shard_demands());
            }
            std::thread::sleep(STOP_POLL);
        }
    })
}
