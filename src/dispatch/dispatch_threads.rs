//! Clock, threads and network around [`DispatchCore`].

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

use prometheus::Registry;

use crate::control::{ControlHandle, ControlView, HostIdentity};
use crate::dispatch::coordinated_shard::CoordinatedShard;
use crate::dispatch::dispatch_core::{CoreAction, DispatchCore};
use crate::dispatch::dispatch_metrics::DispatchMetrics;
use crate::dispatch::pending_permit::PermitRequestId;
use crate::dispatch::requester_state::AcquiredPermit;
use crate::dispatch::target_probe::{ProbePlan, run_probes};
use crate::dispatch::{Permit, PermitAcquirer, PermitCompletion, PermitRequirements};
use crate::generated::engine_messages::{CacheEvent, EngineLoad};
use crate::generated::peer_messages::{PeerFrame, ShardDemand, TargetDemand};
use crate::generated::services_text::ServiceKind;
use crate::peer::{FrameHandler, FrameSender};
use crate::policy::capacity_share::ShareHistory;
use crate::prelude::*;

/// Period of the tick thread.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Ticks between two updates of the gauges.
const METRIC_TICKS: u32 = 10;

/// Time beyond its wait that an ask gives the tick thread to settle it.
const SETTLE_MARGIN: Duration = Duration::from_millis(500);

/// Function that reads the boot-time clock.
pub type ClockReader = Arc<dyn Fn() -> BootTime + Send + Sync>;

/// What dispatch needs.
pub struct DispatchSetup {
    /// Control state.
    pub control: ControlHandle,
    /// Sends frames to other hosts.
    pub frames: FrameSender,
    /// Registry for the metrics.
    pub registry: Registry,
    /// Clock.
    pub clock: ClockReader,
    /// Wait before a larger share is used; [`SHARE_SETTLE`] outside tests.
    pub share_settle: Duration,
    /// Period of the target probes; `None` for no probes.
    pub probe_period: Option<Duration>,
}

impl DispatchSetup {
    /// Setup with the values of the product.
    #[must_use]
    pub fn new(control: ControlHandle, frames: FrameSender, registry: Registry) -> Self {
        /// Period of the target probes.
        const PROBE_PERIOD: Duration = Duration::from_millis(500);
        Self {
            control,
            frames,
            registry,
            clock: Arc::new(boot_time),
            share_settle: SHARE_SETTLE,
            probe_period: Some(PROBE_PERIOD),
        }
    }
}

/// Running dispatch; its threads end when it is dropped.
pub struct DispatchHandle {
    /// Gets permits.
    pub source: PermitAcquirer,
    /// Takes frames about permits from peers; other frames are ignored.
    pub frame_handler: FrameHandler,
    shared: Arc<DispatchShared>,
    threads: Vec<JoinHandle<()>>,
}

impl DispatchHandle {
    /// Permits that this host holds now.
    #[must_use]
    pub fn held_permits(&self) -> usize {
        self.shared.lock().core.entry.held_permits()
    }

    /// Demand of the shards that this host is the home of.
    #[must_use]
    pub fn shard_demands(&self) -> Vec<ShardDemand> {
        let now = (self.shared.clock)();
        let state = self.shared.lock();
        let home = &state.core.home;
        home.shards.iter().map(|shard| shard_demand(shard, &home.shares, now)).collect()
    }
}

fn shard_demand(shard: &CoordinatedShard, shares: &ShareHistory, now: BootTime) -> ShardDemand {
    let targets = shard.targets.iter().map(|target| TargetDemand {
        target: target.entry.id.clone(),
        running: target.running(),
        limit: target.limit(now, shares),
        reported: target.has_recent_report(now),
    });
    ShardDemand {
        service: shard.name.service.clone(),
        shard: shard.name.index,
        queued: u32::try_from(shard.queue.len()).unwrap_or(u32::MAX),
        targets: targets.collect(),
    }
}

impl Drop for DispatchHandle {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Starts dispatch.
#[must_use]
pub fn start_dispatch(setup: DispatchSetup) -> DispatchHandle {
    let view = setup.control.view();
    let state = DispatchState { core: DispatchCore::new(&view, setup.share_settle), waiters: Vec::new() };
    let shared = Arc::new(DispatchShared {
        control: setup.control,
        frames: setup.frames,
        clock: setup.clock,
        metrics: DispatchMetrics::new(&setup.registry),
        state: Mutex::new(state),
        is_stopping: AtomicBool::new(false),
    });
    let mut threads = Vec::new();
    let ticker = Arc::clone(&shared);
    threads.push(std::thread::spawn(move || run_ticks(&ticker)));
    if let Some(period) = setup.probe_period {
        let prober = Arc::clone(&shared);
        threads.push(std::thread::spawn(move || probe_targets(&prober, period)));
    }
    let asker = Arc::clone(&shared);
    let source: PermitAcquirer = Arc::new(move |ask| get_permit(&asker, ask));
    let receiver = Arc::clone(&shared);
    let frame_handler: FrameHandler = Arc::new(move |from, frame| receiver.handle_frame(from, &frame));
    DispatchHandle { source, frame_handler, shared, threads }
}

/// A thread that waits for its ask.
struct AskWaiter {
    number: PermitRequestId,
    result: SyncSender<Result<AcquiredPermit, ResultCode>>,
}

struct DispatchState {
    core: DispatchCore,
    /// Sorted by number.
    waiters: Vec<AskWaiter>,
}

impl DispatchState {
    /// Hands results to their waiters; returns the frames to send.
    fn settle(&mut self, actions: Vec<CoreAction>) -> Vec<OutgoingFrame> {
        let mut outgoing = Vec::new();
        for action in actions {
            match action {
                CoreAction::Send(host, frame) => outgoing.push(OutgoingFrame { host, frame }),
                CoreAction::Settle(number, result) => {
                    if let Some(waiter) = self.take_waiter(number) {
                        let _ = waiter.result.try_send(result);
                    }
                }
            }
        }
        outgoing
    }

    fn take_waiter(&mut self, number: PermitRequestId) -> Option<AskWaiter> {
        let position = self.waiters.binary_search_by_key(&number, |waiter| waiter.number).ok()?;
        Some(self.waiters.remove(position))
    }
}

struct OutgoingFrame {
    host: HostId,
    frame: PeerFrame,
}

struct DispatchShared {
    control: ControlHandle,
    frames: FrameSender,
    clock: ClockReader,
    metrics: DispatchMetrics,
    state: Mutex<DispatchState>,
    is_stopping: AtomicBool,
}

impl DispatchShared {
    fn lock(&self) -> MutexGuard<'_, DispatchState> {
        // A panic in one request must not end dispatch for all others; the state is consistent between events.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs one event under the lock and sends its frames after it.
    fn act(&self, event: impl FnOnce(&mut DispatchCore, &Arc<ControlView>, BootTime) -> Vec<CoreAction>) {
        let view = self.control.view();
        let outgoing = {
            let mut state = self.lock();
            let now = (self.clock)();
            let actions = event(&mut state.core, &view, now);
            state.settle(actions)
        };
        self.send(outgoing);
    }

    fn send(&self, outgoing: Vec<OutgoingFrame>) {
        for item in outgoing {
            // A frame that is not queued is lost like one on the network; repeats and renewals make up for it.
            let _ = (self.frames)(&item.host, item.frame);
        }
    }

    fn handle_frame(&self, from: &HostIdentity, frame: &PeerFrame) {
        self.act(|core, view, now| core.frame(view, now, from, frame));
    }

    fn start_ask(&self, ask: &PermitRequirements) -> StartedAsk {
        let view = self.control.view();
        let (sender, results) = sync_channel(1);
        let (number, outgoing) = {
            let mut state = self.lock();
            let now = (self.clock)();
            let (number, actions) = state.core.start(&view, now, Arc::new(ask.clone()));
            // Numbers ascend under the lock, so that the list stays sorted.
            state.waiters.push(AskWaiter { number, result: sender });
            (number, state.settle(actions))
        };
        self.send(outgoing);
        StartedAsk { number, results }
    }

    fn cancel_ask(&self, number: PermitRequestId) {
        self.lock().take_waiter(number);
        self.act(|core, view, now| core.cancel(view, now, number));
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }
}

struct StartedAsk {
    number: PermitRequestId,
    results: Receiver<Result<AcquiredPermit, ResultCode>>,
}

fn get_permit(shared: &Arc<DispatchShared>, ask: &PermitRequirements) -> Result<Permit, ResultCode> {
    let started_at = (shared.clock)();
    let started = shared.start_ask(ask);
    let result = match started.results.recv_timeout(ask.wait + SETTLE_MARGIN) {
        Ok(result) => result,
        Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
            shared.cancel_ask(started.number);
            // The result may have come between the end of the wait and the cancellation.
            started.results.try_recv().unwrap_or(Err(ResultCode::QueueTimeout))
        }
    };
    let wait = (shared.clock)().saturating_sub(started_at);
    shared.metrics.count_result(&ask.service, wait, result.as_ref().err().copied());
    let granted = result?;
    let owner = Arc::clone(shared);
    let ticket = granted.ticket;
    let release = move |report: PermitCompletion| owner.act(|core, view, now| core.release(view, now, ticket, report));
    Ok(Permit::new(granted.target, Box::new(release)))
}

fn run_ticks(shared: &DispatchShared) {
    let mut ticks = 0_u32;
    while !shared.is_stopping() {
        shared.act(DispatchCore::tick);
        if ticks.is_multiple_of(METRIC_TICKS) {
            let now = (shared.clock)();
            shared.metrics.update(&shared.lock().core, now);
        }
        ticks = ticks.wrapping_add(1);
        std::thread::sleep(TICK_PERIOD);
    }
}

fn probe_targets(shared: &DispatchShared, period: Duration) {
    while !shared.is_stopping() {
        let plans = plan_probes(shared);
        let on_load = |target: &str, load: &EngineLoad| {
            shared.act(|core, view, now| core.report_load(view, now, target, load));
        };
        let on_events = |target: &str, events: &[CacheEvent]| {
            let now = (shared.clock)();
            shared.lock().core.report_events(now, target, events);
        };
        run_probes(&plans, &on_load, &on_events);
        std::thread::sleep(period);
    }
}

/// Engines that this host is the home of. Plain services report no load.
fn plan_probes(shared: &DispatchShared) -> Vec<ProbePlan> {
    let view = shared.control.view();
    let state = shared.lock();
    let mut plans = Vec::new();
    for shard in &state.core.home.shards {
        let service = view.configuration.service(&shard.name.service);
        if service.is_none_or(|entry| entry.kind != ServiceKind::Engine) {
            continue;
        }
        for target in &shard.targets {
            plans.push(ProbePlan {
                target: target.entry.id.clone(),
                address: target.entry.address.clone(),
                after_event: shard.prefixes.last_sequence(target.handle).unwrap_or(0),
            });
        }
    }
    plans
}
