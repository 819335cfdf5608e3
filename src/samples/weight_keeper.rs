//! Publishers of all services whose weights this host owns or may own.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use arc_swap::ArcSwap;

use crate::control::{ControlEvent, ControlHandle, ControlView};
use crate::generated::services_text::ServiceKind;
use crate::prelude::*;
use crate::samples::host_rank::{RANKS_KEEPING, RANKS_WANTING, host_rank, live_hosts};
use crate::samples::weight_plan::BehindTarget;
use crate::samples::weight_publisher::{WeightPublisher, weights_resource};
use crate::store_client::store_access::StoreAccess;

/// Period of the publishers.
const KEEPER_TICK: Duration = Duration::from_millis(100);

/// Targets of one service that do not run its present version, as its owner knows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceBehind {
    /// Service.
    pub service: ServiceId,
    /// Targets.
    pub targets: Vec<BehindTarget>,
}

/// Targets that are behind, for the services that this host owns; sorted by service.
pub type BehindTable = Arc<ArcSwap<Vec<ServiceBehind>>>;

struct KeptService {
    service: ServiceId,
    publisher: WeightPublisher,
}

/// Keeper of the publishers of one host.
pub struct WeightKeeper {
    control: ControlHandle,
    store: StoreAccess,
    clock: TimeSource,
    table: BehindTable,
    kept: Vec<KeptService>,
}

impl WeightKeeper {
    /// Keeper without publishers.
    #[must_use]
    pub fn new(control: ControlHandle, store: StoreAccess, clock: TimeSource) -> Self {
        Self { control, store, clock, table: Arc::default(), kept: Vec::new() }
    }

    /// Targets that are behind, for other parts of the host to read.
    #[must_use]
    pub fn behind_table(&self) -> BehindTable {
        Arc::clone(&self.table)
    }

    /// Does what is due.
    pub fn advance(&mut self) {
        self.update_wishes();
        for kept in &mut self.kept {
            kept.publisher.advance();
        }
    }

    /// Starts the thread; it ends after `stop` is set.
    ///
    /// # Errors
    ///
    /// The thread could not be started.
    pub fn start(mut self, stop: Arc<AtomicBool>) -> std::io::Result<JoinHandle<()>> {
        std::thread::Builder::new().name("weight-keeper".to_owned()).spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                self.advance();
                std::thread::sleep(KEEPER_TICK);
            }
        })
    }

    /// Wants the weights of services for which this host has a low rank, and gives up those it should not have.
    fn update_wishes(&mut self) {
        let view = self.control.view();
        let hosts = live_hosts(&view);
        let may_keep = |service: &str| {
            is_engine(&view, service)
                && !view.is_leaving
                && host_rank(&weights_resource(service), &view.host, &hosts) < RANKS_KEEPING
        };
        let control = &self.control;
        self.kept.retain(|kept| {
            let is_kept = may_keep(&kept.service);
            if !is_kept {
                control.send(ControlEvent::ReleaseResource(weights_resource(&kept.service)));
            }
            is_kept
        });
        for service in &view.configuration.services {
            let is_known = self.kept.iter().any(|kept| kept.service == service.name);
            let resource = weights_resource(&service.name);
            let is_wanted = may_keep(&service.name) && host_rank(&resource, &view.host, &hosts) < RANKS_WANTING;
            if is_known || !is_wanted {
                continue;
            }
            self.control.send(ControlEvent::RequestResource(resource));
            self.kept.push(self.keep(&service.name));
        }
    }

    fn keep(&self, service: &str) -> KeptService {
        let table = Arc::clone(&self.table);
        let behind = Arc::new(move |service: &str, targets: Vec<BehindTarget>| put_behind(&table, service, targets));
        let publisher =
            WeightPublisher::new(service, self.control.clone(), self.store.clone(), Arc::clone(&self.clock), behind);
        KeptService { service: service.to_owned(), publisher }
    }
}

fn is_engine(view: &ControlView, service: &str) -> bool {
    view.configuration.service(service).is_some_and(|entry| entry.kind == ServiceKind::Engine)
}

fn put_behind(table: &BehindTable, service: &str, targets: Vec<BehindTarget>) {
    let present = table.load();
    let position = present.binary_search_by(|entry| entry.service.as_str().cmp(service));
    if position.is_ok_and(|position| present[position].targets == targets) {
        return;
    }
    let mut changed = Vec::clone(&present);
    let entry = ServiceBehind { service: service.to_owned(), targets };
    match position {
        Ok(position) => changed[position] = entry,
        Err(position) => changed.insert(position, entry),
    }
    table.store(Arc::new(changed));
}
