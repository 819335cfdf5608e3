//! One link: exchange of hellos, then frames in both directions. A link ends when it is stopped, closed by the peer,
//! idle or silent, or when a message is malformed.

use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error as WsError, Message};

use super::frame_codec::{check_hello, create_hello, decode_frame, encode_hello};
use super::network::NetworkShared;
use super::peer_counters::frame_kind;
use super::peer_table::OutgoingFrame;
use crate::control::HostIdentity;
use crate::prelude::*;

/// Upper bound of the WebSocket handshake, of sending the hello, and of waiting for the hello of the peer, each.
pub(super) const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// A link is closed after this time without a frame sent or a message received.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Delay of the ping: the peer is pinged when nothing has arrived from it for this long after a frame was sent.
const PING_DELAY: Duration = Duration::from_secs(1);

/// A link is closed when nothing arrives within this time after a ping. Without this timeout the link would stay
/// silent long after a network partition has ended, because TCP retransmits at growing intervals, while a new
/// connection would work at once.
const PONG_TIMEOUT: Duration = Duration::from_millis(1500);

/// Upper bound of a write; a write blocks when the peer does not read and the send buffer is full.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Period of the checks whether the link is idle, silent or due for a ping; also the timeout of closing the socket.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Read buffer of a link in bytes; the library's default of 128 KiB would cost 5 MB on a host with 40 links.
const READ_BUFFER_BYTES: usize = 4 * 1024;

pub(super) fn link_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_write_buffer_size(2 * PEER_FRAME_LIMIT)
        .max_message_size(Some(PEER_FRAME_LIMIT))
        .max_frame_size(Some(PEER_FRAME_LIMIT))
}

/// Sends the hello of this host and checks the hello of the peer; returns the identity of the peer.
///
/// # Errors
///
/// [`ResultCode::PeerFrame`] when the hello cannot be sent in time or no binary message arrives in time; otherwise the
/// codes of [`check_hello`].
pub(super) async fn exchange_hello<S>(
    socket: &mut WebSocketStream<S>,
    shared: &NetworkShared,
) -> Result<HostIdentity, ResultCode>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let hello = encode_hello(&create_hello(&shared.identity, &shared.cluster_token));
    let sent = timeout(HELLO_TIMEOUT, socket.send(Message::Binary(hello.into()))).await;
    if !matches!(sent, Ok(Ok(()))) {
        return Err(ResultCode::PeerFrame);
    }
    match timeout(HELLO_TIMEOUT, socket.next()).await {
        Ok(Some(Ok(Message::Binary(bytes)))) => check_hello(&bytes, &shared.cluster_token),
        _ => Err(ResultCode::PeerFrame),
    }
}

/// Times that decide when a link is pinged and when it is closed.
struct LinkActivity {
    /// Time of the last frame in either direction.
    last_frame: BootTime,
    /// Time of the last message received, including pings and pongs.
    last_received: BootTime,
    /// Time of the first frame sent since a message was last received; `None` when no frame was sent since then.
    unanswered_since: Option<BootTime>,
    /// Time of a ping after which no message was received; `None` when there is no such ping.
    pinged_at: Option<BootTime>,
}

/// Status of a link by [`LinkActivity`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkStatus {
    Healthy,
    PingDue,
    /// No frame was sent and no message received within [`IDLE_TIMEOUT`].
    Idle,
    /// No message arrived within [`PONG_TIMEOUT`] after a ping.
    Silent,
}

impl LinkActivity {
    fn new(now: BootTime) -> Self {
        Self { last_frame: now, last_received: now, unanswered_since: None, pinged_at: None }
    }

    fn record_sent(&mut self, now: BootTime) {
        self.last_frame = now;
        self.unanswered_since.get_or_insert(now);
    }

    fn record_received(&mut self, now: BootTime) {
        self.last_received = now;
        self.unanswered_since = None;
        self.pinged_at = None;
    }

    fn check_status(&self, now: BootTime) -> LinkStatus {
        if self.pinged_at.is_some_and(|pinged_at| now.saturating_sub(pinged_at) > PONG_TIMEOUT) {
            LinkStatus::Silent
        } else if now.saturating_sub(self.last_frame.max(self.last_received)) > IDLE_TIMEOUT {
            LinkStatus::Idle
        } else if self.pinged_at.is_none()
            && self.unanswered_since.is_some_and(|since| now.saturating_sub(since) > PING_DELAY)
        {
            LinkStatus::PingDue
        } else {
            LinkStatus::Healthy
        }
    }
}

/// Event that wakes the task of a link.
enum LinkEvent {
    /// Next frame to send; `None` when the send queue was closed.
    Queued(Option<OutgoingFrame>),
    /// Next message of the peer; `None` when the connection has ended.
    Received(Option<Result<Message, WsError>>),
    CheckDue,
    Stopped,
}

/// Carries frames in both directions until the link ends, then closes the socket.
pub(super) async fn run_link<S>(
    mut socket: WebSocketStream<S>,
    peer_identity: &HostIdentity,
    shared: &NetworkShared,
    mut queue: mpsc::Receiver<OutgoingFrame>,
    mut stopped: watch::Receiver<bool>,
) where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut activity = LinkActivity::new(boot_time());
    let mut check_timer = tokio::time::interval(CHECK_PERIOD);
    let mut has_queue = true;
    loop {
        let event = tokio::select! {
            frame = queue.recv(), if has_queue => LinkEvent::Queued(frame),
            message = socket.next() => LinkEvent::Received(message),
            _ = check_timer.tick() => LinkEvent::CheckDue,
            _ = stopped.changed() => LinkEvent::Stopped,
        };
        let is_open = match event {
            LinkEvent::Queued(Some(frame)) => send_frame(&mut socket, shared, &mut activity, frame).await,
            LinkEvent::Queued(None) => {
                // Either a newer link has replaced this one for sending, or the network is stopping, which ends this
                // link. In the first case the peer may still send on this link until it uses the newer one as well.
                has_queue = false;
                true
            }
            LinkEvent::Received(message) => handle_message(message, peer_identity, shared, &mut activity),
            LinkEvent::CheckDue => check_liveness(&mut socket, peer_identity, &mut activity).await,
            LinkEvent::Stopped => false,
        };
        if !is_open {
            break;
        }
    }
    let _ = timeout(CHECK_PERIOD, socket.close(None)).await;
}

/// Sends a frame; returns whether the link stays open.
async fn send_frame<S>(
    socket: &mut WebSocketStream<S>,
    shared: &NetworkShared,
    activity: &mut LinkActivity,
    frame: OutgoingFrame,
) -> bool
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    shared.counters.count_sent(frame.kind, frame.bytes.len());
    activity.record_sent(boot_time());
    let sent = timeout(WRITE_TIMEOUT, socket.send(Message::Binary(frame.bytes.into()))).await;
    matches!(sent, Ok(Ok(())))
}

/// Handles a message of the peer; returns whether the link stays open.
fn handle_message(
    message: Option<Result<Message, WsError>>,
    peer_identity: &HostIdentity,
    shared: &NetworkShared,
    activity: &mut LinkActivity,
) -> bool {
    activity.record_received(boot_time());
    match message {
        Some(Ok(Message::Binary(bytes))) => handle_frame(&bytes, peer_identity, shared, activity),
        Some(Ok(Message::Ping(_) | Message::Pong(_))) => true,
        Some(Ok(Message::Close(_))) | None => false,
        Some(Ok(_) | Err(WsError::Capacity(_))) => {
            record_rejected_frame(peer_identity, shared, ResultCode::PeerFrame);
            false
        }
        Some(Err(_)) => false,
    }
}

/// Decodes a frame and passes it to the handler; returns whether the link stays open.
fn handle_frame(
    bytes: &[u8],
    peer_identity: &HostIdentity,
    shared: &NetworkShared,
    activity: &mut LinkActivity,
) -> bool {
    activity.last_frame = activity.last_received;
    match decode_frame(bytes) {
        Ok(frame) => {
            shared.counters.count_received(frame_kind(&frame), bytes.len());
            (shared.handler)(peer_identity, frame);
            true
        }
        Err(code) => {
            record_rejected_frame(peer_identity, shared, code);
            false
        }
    }
}

fn record_rejected_frame(peer_identity: &HostIdentity, shared: &NetworkShared, code: ResultCode) {
    shared.counters.links_rejected.inc();
    log::warn!(peer = peer_identity.host.as_str(), code = code.number(); "peer_frame_rejected");
}

/// Pings the peer when a ping is due; returns whether the link stays open.
async fn check_liveness<S>(
    socket: &mut WebSocketStream<S>,
    peer_identity: &HostIdentity,
    activity: &mut LinkActivity,
) -> bool
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let now = boot_time();
    match activity.check_status(now) {
        LinkStatus::Healthy => true,
        LinkStatus::Idle => false,
        LinkStatus::Silent => {
            log::info!(peer = peer_identity.host.as_str(); "peer_link_silent");
            false
        }
        LinkStatus::PingDue => {
            activity.pinged_at = Some(now);
            let sent = timeout(WRITE_TIMEOUT, socket.send(Message::Ping(Vec::new().into()))).await;
            matches!(sent, Ok(Ok(())))
        }
    }
}
