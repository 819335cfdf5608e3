//! One link: hello, frames in both directions, close when idle, silent or malformed.

use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error as WsError, Message};

use super::frame_codec::{check_hello, create_hello, decode_frame, encode_hello};
use super::network::NetworkShared;
use super::peer_book::OutgoingFrame;
use super::peer_counters::kind_of;
use crate::control::HostIdentity;
use crate::prelude::*;

/// Time within which a handshake or hello must arrive.
pub(super) const HELLO_LIMIT: Duration = Duration::from_secs(2);

/// A link without frames for this long is closed.
const IDLE_LIMIT: Duration = Duration::from_mins(1);

/// A peer that has sent nothing for this long after a frame to it is asked for a pong.
const PING_AFTER: Duration = Duration::from_secs(1);

/// A link whose pong does not come within this time is closed. After a partition TCP repeats its segments at growing
/// intervals, so that the old connection would stay silent long after a new one works.
const PONG_LIMIT: Duration = Duration::from_millis(1500);

/// Longest wait for room in the send buffer of a peer that does not read.
const WRITE_LIMIT: Duration = Duration::from_secs(3);

/// Period in which a link checks its times.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Read buffer of a link in bytes; the library's default of 128 KiB would cost 5 MB on a host with 40 links.
const READ_BUFFER: usize = 4 * 1024;

pub(super) fn link_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER)
        .write_buffer_size(0)
        .max_write_buffer_size(2 * PEER_FRAME_LIMIT)
        .max_message_size(Some(PEER_FRAME_LIMIT))
        .max_frame_size(Some(PEER_FRAME_LIMIT))
}

/// Sends the own hello and checks the peer's.
pub(super) async fn exchange_hello<S>(
    socket: &mut WebSocketStream<S>,
    shared: &NetworkShared,
) -> Result<HostIdentity, ResultCode>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let hello = encode_hello(&create_hello(&shared.origin, &shared.cluster_token));
    let sent = timeout(HELLO_LIMIT, socket.send(Message::Binary(hello.into()))).await;
    if !matches!(sent, Ok(Ok(()))) {
        return Err(ResultCode::PeerFrame);
    }
    match timeout(HELLO_LIMIT, socket.next()).await {
        Ok(Some(Ok(Message::Binary(bytes)))) => check_hello(&bytes, &shared.cluster_token),
        _ => Err(ResultCode::PeerFrame),
    }
}

/// Times that decide when a link is closed.
struct LinkTimes {
    last_frame: BootTime,
    last_received: BootTime,
    unanswered_since: Option<BootTime>,
    pinged_at: Option<BootTime>,
}

/// What a time check found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TimeCheck {
    Healthy,
    PingDue,
    Idle,
    Silent,
}

impl LinkTimes {
    fn new(now: BootTime) -> Self {
        Self { last_frame: now, last_received: now, unanswered_since: None, pinged_at: None }
    }

    fn note_sent(&mut self, now: BootTime) {
        self.last_frame = now;
        self.unanswered_since.get_or_insert(now);
    }

    fn note_received(&mut self, now: BootTime) {
        self.last_received = now;
        self.unanswered_since = None;
        self.pinged_at = None;
    }

    fn check(&self, now: BootTime) -> TimeCheck {
        if self.pinged_at.is_some_and(|pinged_at| now.saturating_sub(pinged_at) > PONG_LIMIT) {
            TimeCheck::Silent
        } else if now.saturating_sub(self.last_frame.max(self.last_received)) > IDLE_LIMIT {
            TimeCheck::Idle
        } else if self.pinged_at.is_none()
            && self.unanswered_since.is_some_and(|since| now.saturating_sub(since) > PING_AFTER)
        {
            TimeCheck::PingDue
        } else {
            TimeCheck::Healthy
        }
    }
}

/// What a link waits for.
enum LinkEvent {
    Send(Option<OutgoingFrame>),
    Received(Option<Result<Message, WsError>>),
    CheckDue,
    Stopped,
}

/// Carries frames until the link ends.
pub(super) async fn run_link<S>(
    mut socket: WebSocketStream<S>,
    origin: &HostIdentity,
    shared: &NetworkShared,
    mut queue: mpsc::Receiver<OutgoingFrame>,
    mut stopped: watch::Receiver<bool>,
) where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut times = LinkTimes::new(boot_time());
    let mut check = tokio::time::interval(CHECK_PERIOD);
    let mut has_queue = true;
    loop {
        let event = tokio::select! {
            frame = queue.recv(), if has_queue => LinkEvent::Send(frame),
            message = socket.next() => LinkEvent::Received(message),
            _ = check.tick() => LinkEvent::CheckDue,
            _ = stopped.changed() => LinkEvent::Stopped,
        };
        let is_open = match event {
            LinkEvent::Send(Some(frame)) => send_frame(&mut socket, shared, &mut times, frame).await,
            LinkEvent::Send(None) => {
                // A newer link took over sending; this one still receives until the peer has done the same.
                has_queue = false;
                true
            }
            LinkEvent::Received(message) => take_message(message, origin, shared, &mut times),
            LinkEvent::CheckDue => check_times(&mut socket, origin, &mut times).await,
            LinkEvent::Stopped => false,
        };
        if !is_open {
            break;
        }
    }
    let _ = timeout(CHECK_PERIOD, socket.close(None)).await;
}

async fn send_frame<S>(
    socket: &mut WebSocketStream<S>,
    shared: &NetworkShared,
    times: &mut LinkTimes,
    frame: OutgoingFrame,
) -> bool
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    shared.counters.count_sent(frame.kind, frame.bytes.len());
    times.note_sent(boot_time());
    let sent = timeout(WRITE_LIMIT, socket.send(Message::Binary(frame.bytes.into()))).await;
    matches!(sent, Ok(Ok(())))
}

fn take_message(
    message: Option<Result<Message, WsError>>,
    origin: &HostIdentity,
    shared: &NetworkShared,
    times: &mut LinkTimes,
) -> bool {
    times.note_received(boot_time());
    match message {
        Some(Ok(Message::Binary(bytes))) => handle_frame(&bytes, origin, shared, times),
        Some(Ok(Message::Ping(_) | Message::Pong(_))) => true,
        Some(Ok(Message::Close(_))) | None => false,
        Some(Ok(_) | Err(WsError::Capacity(_))) => {
            reject_frame(origin, shared, ResultCode::PeerFrame);
            false
        }
        Some(Err(_)) => false,
    }
}

fn handle_frame(bytes: &[u8], origin: &HostIdentity, shared: &NetworkShared, times: &mut LinkTimes) -> bool {
    times.last_frame = times.last_received;
    match decode_frame(bytes) {
        Ok(frame) => {
            shared.counters.count_received(kind_of(&frame), bytes.len());
            (shared.handler)(origin, frame);
            true
        }
        Err(code) => {
            reject_frame(origin, shared, code);
            false
        }
    }
}

fn reject_frame(origin: &HostIdentity, shared: &NetworkShared, code: ResultCode) {
    shared.counters.links_rejected.inc();
    log::warn!(peer = origin.host.as_str(), code = code.number(); "peer_frame_rejected");
}

async fn check_times<S>(socket: &mut WebSocketStream<S>, origin: &HostIdentity, times: &mut LinkTimes) -> bool
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let now = boot_time();
    match times.check(now) {
        TimeCheck::Healthy => true,
        TimeCheck::Idle => false,
        TimeCheck::Silent => {
            log::info!(peer = origin.host.as_str(); "peer_link_silent");
            false
        }
        TimeCheck::PingDue => {
            times.pinged_at = Some(now);
            let sent = timeout(WRITE_LIMIT, socket.send(Message::Ping(Vec::new().into()))).await;
            matches!(sent, Ok(Ok(())))
        }
    }
}
