//! The control thread, which owns the control state, and the helper threads that call the store for it.
//!
//! One helper thread polls, one renews the session, one reads and claims resources and writes withdrawals. A call may
//! take [`PLATFORM_CALL_TIMEOUT`], and neither heartbeats nor renewals wait behind a slow one.

use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel};
use std::thread::Builder;

use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::control::control_state::{ControlAction, ControlState};
use crate::control::store_call::{StoreCommand, StoreLane, StoreReport, execute_call};
use crate::control::{ControlEvent, ControlHandle, ControlView, HostIdentity};
use crate::peer::peer_counters::{FrameKind, kind_of};
use crate::peer::{FrameHandler, FrameSender, PeerNetwork};
use crate::prelude::*;
use crate::store_client::StoreClient;

/// Events that wait for the control thread.
const EVENT_QUEUE: usize = 4096;

/// Longest wait between two looks at what is due.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Events handled before the view is published.
const BATCH_EVENTS: usize = 256;

/// Who this host is, and the seed of its random choices.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Host, failure domain and incarnation.
    pub origin: HostIdentity,
    /// Seed of the random generator.
    pub seed: u64,
}

/// Receiving end of a [`ControlHandle`], for [`start_control`].
#[derive(Debug)]
pub struct ControlInbox {
    view: Arc<ArcSwap<ControlView>>,
    events: Receiver<ControlEvent>,
    sender: SyncSender<ControlEvent>,
}

/// Handle of a control thread that is not started yet, so that links can be opened first.
#[must_use]
pub fn create_control(origin: &HostIdentity) -> (ControlHandle, ControlInbox) {
    let view = ControlView::empty(&origin.host, &origin.failure_domain, origin.incarnation);
    let view = Arc::new(ArcSwap::from_pointee(view));
    let (sender, events) = sync_channel(EVENT_QUEUE);
    let handle = ControlHandle::new(Arc::clone(&view), sender.clone());
    (handle, ControlInbox { view, events, sender })
}

/// Frame handler that gives control frames to the control thread and all others to `next`.
#[must_use]
pub fn control_frame_handler(handle: ControlHandle, next: FrameHandler) -> FrameHandler {
    Arc::new(move |origin, frame| match kind_of(&frame) {
        FrameKind::Control => {
            handle.try_send(ControlEvent::Frame(origin.clone(), Box::new(frame)));
        }
        FrameKind::Other => next(origin, frame),
    })
}

/// Starts the control thread and its helpers. They end after [`ControlEvent::Stop`].
///
/// # Errors
///
/// A thread cannot be started.
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
    let port = ActionPort { polls, sessions, resources, sender: network.sender(), network };
    Builder::new().name("control".to_owned()).spawn(move || run_control(&inbox, state, &port))?;
    Ok(())
}

struct ActionPort {
    polls: Sender<StoreCommand>,
    sessions: Sender<StoreCommand>,
    resources: Sender<StoreCommand>,
    sender: FrameSender,
    network: PeerNetwork,
}

impl ActionPort {
    fn execute(&self, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::Send(host, frame) => {
                    // A frame that is lost here is made up for by a later exchange.
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

fn run_control(inbox: &ControlInbox, mut state: ControlState, port: &ActionPort) {
    loop {
        let mut next = match inbox.events.recv_timeout(TICK_PERIOD) {
            Ok(event) => Some(event),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut handled = 0;
        while let Some(event) = next {
            if matches!(event, ControlEvent::Stop) {
                return;
            }
            port.execute(state.handle(event, boot_time()));
            handled += 1;
            next = if handled < BATCH_EVENTS { inbox.events.try_recv().ok() } else { None };
        }
        port.execute(state.tick(boot_time()));
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
