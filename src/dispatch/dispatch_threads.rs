//! Runs [`DispatchCore`] with a clock, threads and the peer network.

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

/// Pause of the tick thread between two calls of [`DispatchCore::tick`].
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Number of ticks from one update of the gauges to the next.
const TICKS_PER_METRIC_UPDATE: u32 = 10;

/// Time after the end of a request's wait in which the tick thread can still deliver the result, before the waiting
/// thread cancels the request.
const RESULT_MARGIN: Duration = Duration::from_millis(500);

/// Function that reads the boot-time clock.
pub type ClockReader = Arc<dyn Fn() -> BootTime + Send + Sync>;

/// Dependencies and settings of dispatch.
pub struct DispatchSetup {
    /// Source of the current view.
    pub control: ControlHandle,
    /// Queues frames for other hosts; a frame may be lost.
    pub frames: FrameSender,
    /// Registry to which the dispatch metrics are added.
    pub registry: Registry,
    /// Boot-time clock for the times of all events.
    pub clock: ClockReader,
    /// Delay before this host uses a larger share of a target's limit; [`SHARE_INCREASE_DELAY`] outside tests.
    pub share_increase_delay: Duration,
    /// Pause between two rounds of target probes; `None` for no probes.
    pub probe_period: Option<Duration>,
}

impl DispatchSetup {
    /// Setup with the values for production.
    #[must_use]
    pub fn new(control: ControlHandle, frames: FrameSender, registry: Registry) -> Self {
        /// Pause between two rounds of target probes.
        const PROBE_PERIOD: Duration = Duration::from_millis(500);
        Self {
            control,
            frames,
            registry,
            clock: Arc::new(boot_time),
            share_increase_delay: SHARE_INCREASE_DELAY,
            probe_period: Some(PROBE_PERIOD),
        }
    }
}

/// Running dispatch. Dropping it stops its threads and waits for their end.
pub struct DispatchHandle {
    /// Acquires permits for requests on this host.
    pub source: PermitAcquirer,
    /// Handles frames about permits from peers; other frames are ignored.
    pub frame_handler: FrameHandler,
    shared: Arc<DispatchShared>,
    threads: Vec<JoinHandle<()>>,
}

impl DispatchHandle {
    /// Number of permits that this host holds.
    #[must_use]
    pub fn count_held_permits(&self) -> usize {
        self.shared.lock().core.entry.count_held_permits()
    }

    /// Queue lengths and target use of the shards that this host coordinates.
    #[must_use]
    pub fn shard_demands(&self) -> Vec<ShardDemand> {
        let now = (self.shared.clock)();
        let state = self.shared.lock();
        let home = &state.core.home;
        home.shards.iter().map(|shard| build_shard_demand(shard, &home.shares, now)).collect()
    }
}

fn build_shard_demand(shard: &CoordinatedShard, shares: &ShareHistory, now: BootTime) -> ShardDemand {
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

/// Starts the tick thread and, if the setup has a probe period, the probe thread.
#[must_use]
pub fn start_dispatch(setup: DispatchSetup) -> DispatchHandle {
    let view = setup.control.view();
    let state = DispatchState { core: DispatchCore::new(&view, setup.share_increase_delay), waiters: Vec::new() };
    let shared = Arc::new(DispatchShared {
        control: setup.control,
        frames: setup.frames,
        clock: setup.clock,
        metrics: DispatchMetrics::new(&setup.registry),
        state: Mutex::new(state),
        is_stopping: AtomicBool::new(false),
    });
    let mut threads = Vec::new();
    let tick_shared = Arc::clone(&shared);
    threads.push(std::thread::spawn(move || run_ticks(&tick_shared)));
    if let Some(period) = setup.probe_period {
        let probe_shared = Arc::clone(&shared);
        threads.push(std::thread::spawn(move || run_probe_rounds(&probe_shared, period)));
    }
    let acquire_shared = Arc::clone(&shared);
    let source: PermitAcquirer = Arc::new(move |requirements| acquire_permit(&acquire_shared, requirements));
    let frame_shared = Arc::clone(&shared);
    let frame_handler: FrameHandler = Arc::new(move |from, frame| frame_shared.handle_frame(from, &frame));
    DispatchHandle { source, frame_handler, shared, threads }
}

/// Channel to the thread that waits for the result of a permit request.
struct ResultWaiter {
    id: PermitRequestId,
    result: SyncSender<Result<AcquiredPermit, ResultCode>>,
}

struct DispatchState {
    core: DispatchCore,
    /// Sorted by id.
    waiters: Vec<ResultWaiter>,
}

impl DispatchState {
    /// Delivers results to their waiters and returns the frames to send.
    fn deliver_results(&mut self, actions: Vec<CoreAction>) -> Vec<OutgoingFrame> {
        let mut outgoing = Vec::new();
        for action in actions {
            match action {
                CoreAction::Send(host, frame) => outgoing.push(OutgoingFrame { host, frame }),
                CoreAction::Resolve(id, result) => {
                    if let Some(waiter) = self.take_waiter(id) {
                        let _ = waiter.result.try_send(result);
                    }
                }
            }
        }
        outgoing
    }

    fn take_waiter(&mut self, id: PermitRequestId) -> Option<ResultWaiter> {
        let position = self.waiters.binary_search_by_key(&id, |waiter| waiter.id).ok()?;
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
        // Poisoning is ignored: a panic in one request must not end dispatch for all others, and every event that ends
        // normally leaves the state consistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs one event under the lock, and sends its frames after the lock is released.
    fn handle_event(&self, event: impl FnOnce(&mut DispatchCore, &Arc<ControlView>, BootTime) -> Vec<CoreAction>) {
        let view = self.control.view();
        let outgoing = {
            let mut state = self.lock();
            let now = (self.clock)();
            let actions = event(&mut state.core, &view, now);
            state.deliver_results(actions)
        };
        self.send_frames(outgoing);
    }

    fn send_frames(&self, outgoing: Vec<OutgoingFrame>) {
        for outgoing_frame in outgoing {
            // A frame that is not queued counts as lost on the network; resends and renewals make up for it.
            let _ = (self.frames)(&outgoing_frame.host, outgoing_frame.frame);
        }
    }

    fn handle_frame(&self, from: &HostIdentity, frame: &PeerFrame) {
        self.handle_event(|core, view, now| core.frame(view, now, from, frame));
    }

    fn start_request(&self, requirements: &PermitRequirements) -> StartedRequest {
        let view = self.control.view();
        let (sender, results) = sync_channel(1);
        let (id, outgoing) = {
            let mut state = self.lock();
            let now = (self.clock)();
            let (id, actions) = state.core.start(&view, now, Arc::new(requirements.clone()));
            // Ids are allocated in ascending order under the lock, so the list stays sorted.
            state.waiters.push(ResultWaiter { id, result: sender });
            (id, state.deliver_results(actions))
        };
        self.send_frames(outgoing);
        StartedRequest { id, results }
    }

    fn cancel_request(&self, id: PermitRequestId) {
        self.lock().take_waiter(id);
        self.handle_event(|core, view, now| core.cancel(view, now, id));
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }
}

struct StartedRequest {
    id: PermitRequestId,
    results: Receiver<Result<AcquiredPermit, ResultCode>>,
}

fn acquire_permit(shared: &Arc<DispatchShared>, requirements: &PermitRequirements) -> Result<Permit, ResultCode> {
    let started_at = (shared.clock)();
    let started = shared.start_request(requirements);
    let result = match started.results.recv_timeout(requirements.wait + RESULT_MARGIN) {
        Ok(result) => result,
        Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
            shared.cancel_request(started.id);
            // The result may have arrived between the timeout and the cancellation.
            started.results.try_recv().unwrap_or(Err(ResultCode::QueueTimeout))
        }
    };
    let wait = (shared.clock)().saturating_sub(started_at);
    shared.metrics.record_result(&requirements.service, wait, result.as_ref().err().copied());
    let acquired = result?;
    let release_shared = Arc::clone(shared);
    let ticket = acquired.ticket;
    let release = move |completion: PermitCompletion| {
        release_shared.handle_event(|core, view, now| core.release(view, now, ticket, completion));
    };
    Ok(Permit::new(acquired.target, Box::new(release)))
}

fn run_ticks(shared: &DispatchShared) {
    let mut ticks = 0_u32;
    while !shared.is_stopping() {
        shared.handle_event(DispatchCore::tick);
        if ticks.is_multiple_of(TICKS_PER_METRIC_UPDATE) {
            let now = (shared.clock)();
            shared.metrics.update(&shared.lock().core, now);
        }
        ticks = ticks.wrapping_add(1);
        std::thread::sleep(TICK_PERIOD);
    }
}

fn run_probe_rounds(shared: &DispatchShared, period: Duration) {
    while !shared.is_stopping() {
        let plans = plan_probes(shared);
        let on_load = |target: &str, load: &EngineLoad| {
            shared.handle_event(|core, view, now| core.report_load(view, now, target, load));
        };
        let on_events = |target: &str, events: &[CacheEvent]| {
            let now = (shared.clock)();
            shared.lock().core.report_events(now, target, events);
        };
        run_probes(&plans, &on_load, &on_events);
        std::thread::sleep(period);
    }
}

/// Plans a probe for each engine in the shards that this host coordinates. Plain services report no load.
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
