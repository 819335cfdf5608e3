//! Publishers of the services whose weights this host owns or stands by to own, and the ownership requests for them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use arc_swap::ArcSwap;

use crate::control::{ControlEvent, ControlHandle, ControlView};
use crate::generated::services_text::ServiceKind;
use crate::prelude::*;
use crate::samples::host_rank::{REQUESTING_RANKS, RETAINING_RANKS, host_rank, live_hosts};
use crate::samples::weight_plan::OutdatedTarget;
use crate::samples::weight_publisher::{WeightPublisher, weights_resource};
use crate::store_client::store_access::StoreAccess;

/// Period in which ownership requests are updated and all publishers advance.
const KEEPER_PERIOD: Duration = Duration::from_millis(100);

/// List of the outdated targets of one service, from the host that owns the weights of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutdatedTargetList {
    /// Engine service that the targets belong to.
    pub service: ServiceId,
    /// Targets without the desired version, sorted by id; empty when all targets have it.
    pub targets: Vec<OutdatedTarget>,
}

/// Outdated targets of the services that this host has owned, sorted by service. The entry of a service stays as it
/// was when the host loses the ownership.
pub type OutdatedTable = Arc<ArcSwap<Vec<OutdatedTargetList>>>;

struct ServicePublisher {
    service: ServiceId,
    publisher: WeightPublisher,
}

/// Runs the publishers of one host and requests or releases the ownership of their services.
pub struct WeightKeeper {
    control: ControlHandle,
    store: StoreAccess,
    clock: TimeSource,
    outdated: OutdatedTable,
    publishers: Vec<ServicePublisher>,
}

impl WeightKeeper {
    /// Creates a keeper without publishers; the first [`WeightKeeper::advance`] adds them.
    #[must_use]
    pub fn new(control: ControlHandle, store: StoreAccess, clock: TimeSource) -> Self {
        Self { control, store, clock, outdated: Arc::default(), publishers: Vec::new() }
    }

    /// Table of outdated targets, shared with the keeper, which updates it.
    #[must_use]
    pub fn outdated_table(&self) -> OutdatedTable {
        Arc::clone(&self.outdated)
    }

    /// Updates the ownership requests, then advances each publisher; called every `KEEPER_PERIOD`.
    pub fn advance(&mut self) {
        self.update_ownership_requests();
        for entry in &mut self.publishers {
            entry.publisher.advance();
        }
    }

    /// Starts the thread that advances the keeper until `stop` is set.
    ///
    /// # Errors
    ///
    /// The thread could not be started.
    pub fn start(mut self, stop: Arc<AtomicBool>) -> std::io::Result<JoinHandle<()>> {
        std::thread::Builder::new().name("weight-keeper".to_owned()).spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                self.advance();
                std::thread::sleep(KEEPER_PERIOD);
            }
        })
    }

    /// Requests the ownership of the weights of engine services for which the rank of this host ([`host_rank`]) is
    /// below [`REQUESTING_RANKS`]. Releases the ownership when the rank reaches [`RETAINING_RANKS`], when the service is no
    /// engine service any more, and when the host leaves.
    fn update_ownership_requests(&mut self) {
        let view = self.control.view();
        let hosts = live_hosts(&view);
        let can_keep = |service: &str| {
            is_engine(&view, service)
                && !view.is_leaving
                && host_rank(&weights_resource(service), &view.host, &hosts) < RETAINING_RANKS
        };
        let control = &self.control;
        self.publishers.retain(|entry| {
            let is_kept = can_keep(&entry.service);
            if !is_kept {
                control.send(ControlEvent::ReleaseResource(weights_resource(&entry.service)));
            }
            is_kept
        });
        for service in &view.configuration.services {
            let is_requested = self.publishers.iter().any(|entry| entry.service == service.name);
            let resource = weights_resource(&service.name);
            let is_wanted = can_keep(&service.name) && host_rank(&resource, &view.host, &hosts) < REQUESTING_RANKS;
            if is_requested || !is_wanted {
                continue;
            }
            self.control.send(ControlEvent::RequestResource(resource));
            self.publishers.push(self.create_publisher(&service.name));
        }
    }

    fn create_publisher(&self, service: &str) -> ServicePublisher {
        let outdated = Arc::clone(&self.outdated);
        let outdated_sink =
            Arc::new(move |service: &str, targets: Vec<OutdatedTarget>| record_outdated(&outdated, service, targets));
        let publisher = WeightPublisher::new(
            service,
            self.control.clone(),
            self.store.clone(),
            Arc::clone(&self.clock),
            outdated_sink,
        );
        ServicePublisher { service: service.to_owned(), publisher }
    }
}

fn is_engine(view: &ControlView, service: &str) -> bool {
    view.configuration.service(service).is_some_and(|entry| entry.kind == ServiceKind::Engine)
}

fn record_outdated(outdated: &OutdatedTable, service: &str, targets: Vec<OutdatedTarget>) {
    let present = outdated.load();
    let position = present.binary_search_by(|entry| entry.service.as_str().cmp(service));
    if position.is_ok_and(|position| present[position].targets == targets) {
        return;
    }
    let mut changed = Vec::clone(&present);
    let entry = OutdatedTargetList { service: service.to_owned(), targets };
    match position {
        Ok(position) => changed[position] = entry,
        Err(position) => changed.insert(position, entry),
    }
    outdated.store(Arc::new(changed));
}
