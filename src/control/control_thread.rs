//! The control thread, which owns the control state, and the helper threads that call the store on its behalf.
//!
//! The first helper thread polls, reads the host list and stores snapshots; the second renews the session; the third
//! reads, acquires and releases resources and writes withdrawals. A call may take [`PLATFORM_CALL_TIMEOUT`]; the
//! separate threads keep heartbeats and renewals from waiting for a slow call.

use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel};
use std::thread::Builder;

use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::control::control_state::{ControlAction, ControlState};
use crate::control::store_call::{StoreCommand, StoreLane, StoreReport, execute_call};
use crate::control::{ControlEvent, ControlHandle, ControlView, HostIdentity};
use crate::peer::peer_counters::{FrameKind, frame_kind};
use crate::peer::{FrameHandler, FrameSender, PeerNetwork};
use crate::prelude::*;
use crate::store_client::StoreClient;

/// Capacity of the queue of events for the control thread.
const MAX_QUEUED_EVENTS: usize = 4096;

/// Longest time between two calls of [`ControlState::tick`] while no event arrives.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Most events handled before the next tick and the publication of the view.
const MAX_BATCH_EVENTS: usize = 256;

/// Identity and random seed of a control thread.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Identity of this host.
    pub origin: HostIdentity,
    /// Seed for the choice of gossip peers.
    pub seed: u64,
}

/// Receiving end of a [`ControlHandle`], for [`start_control`].
#[derive(Debug)]
pub struct ControlInbox {
    view: Arc<ArcSwap<ControlView>>,
    events: Receiver<ControlEvent>,
    sender: SyncSender<ControlEvent>,
}

/// Creates the handle before the control thread starts, because the peer links need it and [`start_control`] needs the
/// links.
#[must_use]
pub fn create_control(origin: &HostIdentity) -> (ControlHandle, ControlInbox) {
    let view = ControlView::empty(&origin.host, &origin.failure_domain, origin.incarnation);
    let view = Arc::new(ArcSwap::from_pointee(view));
    let (sender, events) = sync_channel(MAX_QUEUED_EVENTS);
    let handle = ControlHandle::new(Arc::clone(&view), sender.clone());
    (handle, ControlInbox { view, events, sender })
}

/// Frame handler that passes control frames to the control thread and all other frames to `next`. Control frames are
/// dropped while the queue of the control thread is full.
#[must_use]
pub fn control_frame_handler(handle: ControlHandle, next: FrameHandler) -> FrameHandler {
    Arc::new(move |origin, frame| match frame_kind(&frame) {
        FrameKind::Control => {
            handle.try_send(ControlEvent::Frame(origin.clone(), Box::new(frame)));
        }
        FrameKind::Other => next(origin, frame),
    })
}

/// Starts the control thread and its helper threads, which end after [`ControlEvent::Stop`].
///
/// # Errors
///
/// The operating system cannot start a thread. Threads that were started before the error end on their own.
pub fn start_control(
    inbox: ControlInbox,
    settings: ControlSettings,
    client: &StoreClient,
    network: PeerNetwork,
) -> io::Result<()> {
    let polls = start_store_thread("control-poll", client.clone(), inbox.sender.clone())?;
    let sessions = start_store_thread("control-session", client.clone(), inbox.sender.clone())?;
    let resources = start_store_thread("control-lease", client.clone(), inbox.sender.clone())?;
    let generator = ChaCha8Rng::seed_from_u64(settings.seed);
    let state = ControlState::new(settings.origin, generator, boot_time());
    let executor = ActionExecutor { polls, sessions, resources, sender: network.sender(), network };
    Builder::new().name("control".to_owned()).spawn(move || run_control(&inbox, state, &executor))?;
    Ok(())
}

struct ActionExecutor {
    polls: Sender<StoreCommand>,
    sessions: Sender<StoreCommand>,
    resources: Sender<StoreCommand>,
    sender: FrameSender,
    network: PeerNetwork,
}

impl ActionExecutor {
    fn execute(&self, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::Send(host, frame) => {
                    // Later gossip makes up for a frame that is lost here.
                    (self.sender)(&host, frame);
                }
                ControlAction::Store(command) => {
                    let lane = match command.purpose.lane() {
                        StoreLane::Poll => &self.polls,
                        StoreLane::Session => &self.sessions,
                        StoreLane::Resource => &self.resources,
                    };
                    let _ = lane.send(command);
                }
                ControlAction::SetAddresses(addresses) => self.network.set_addresses(&addresses),
            }
        }
    }
}

fn run_control(inbox: &ControlInbox, mut state: ControlState, executor: &ActionExecutor) {
    loop {
        let mut next = match inbox.events.recv_timeout(TICK_PERIOD) {
            Ok(event) => Some(event),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut handled_count = 0;
        while let Some(event) = next {
            if matches!(event, ControlEvent::Stop) {
                return;
            }
            executor.execute(state.handle(event, boot_time()));
            handled_count += 1;
            next = if handled_count < MAX_BATCH_EVENTS { inbox.events.try_recv().ok() } else { None };
        }
        executor.execute(state.tick(boot_time()));
        inbox.view.store(Arc::new(state.view(boot_time())));
    }
}

fn start_store_thread(
    name: &str,
    client: StoreClient,
    reports: SyncSender<ControlEvent>,
) -> io::Result<Sender<StoreCommand>> {
    let (sender, commands) = channel();
    Builder::new().name(name.to_owned()).spawn(move || run_store_calls(&client, &commands, &reports))?;
    Ok(sender)
}

fn run_store_calls(client: &StoreClient, commands: &Receiver<StoreCommand>, reports: &SyncSender<ControlEvent>) {
    while let Ok(command) = commands.recv() {
        let started_at = boot_time();
        let outcome = execute_call(client, command.call);
        let report = StoreReport { purpose: command.purpose, started_at, outcome };
        if reports.send(ControlEvent::Store(Box::new(report))).is_err() {
            return;
        }
    }
}
