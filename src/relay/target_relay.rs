//! Sends requests to targets, over a link of this host or through another host.
//!
//! The host that sends chooses the target and keeps the attempts, the deadline, the counts and the usage, whatever the way. The
//! outcome is the peer's: a request that the peer did not send has not run, and one whose answer the peer lost may have.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use hyper::Request;
use hyper::header::HeaderValue;

use crate::entry::host_context::HostContext;
use crate::fleet::fleet_view::{FleetView, TargetEntry, TargetState};
use crate::fleet::target_load::LoadTable;
use crate::prelude::*;
use crate::relay::connection_pool::{ConnectionPool, Exchange, ExchangeError, ExpectedStart, SendBody, read_body};
use crate::relay::target_links::TargetLinks;
use crate::row_store::store_relay::read_relay_error;

/// Header of a request between hosts with the id of the target that it is for.
pub const TARGET_HEADER: &str = "camphorspring-target";

/// Time without the head of a response after which the link to the target is in doubt.
const SILENCE_LIMIT: Duration = Duration::from_millis(250);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Most peers that are tried for one attempt while the links count as cut; each one fails within milliseconds or after
/// [`TARGET_CONNECT_TIMEOUT`].
const PEERS_PER_ATTEMPT: usize = 3;

/// Time after which a cut is certain, since the first probe has failed.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(450);

/// Time after which a host whose links are cut leaves the duties of the leader to another one: two probes.
const HANDOVER_DELAY: Duration = Duration::from_secs(1);

/// Interval at which [`watch_links`] looks whether a probe is due.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Links of this host to targets, shared by its tasks.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: Mutex<TargetLinks>,
    /// Requests of other hosts in flight.
    pub(super) forwarded: AtomicUsize,
}

impl LinkTable {
    fn with<T>(&self, work: impl FnOnce(&mut TargetLinks) -> T) -> T {
        work(&mut self.links.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether this host reaches targets only through its peers.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.with(|links| links.is_cut())
    }

    /// Whether this host reaches targets only through its peers, and a probe has shown it.
    #[must_use]
    pub fn is_cut_for_certain(&self) -> bool {
        self.with(|links| links.is_cut_for(CONFIRMATION_DELAY, boot_time()))
    }

    /// Whether a target was out of reach a moment ago, and none has answered since.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.with(|links| links.is_doubtful(boot_time()))
    }

    /// Requests of other hosts in flight.
    #[must_use]
    pub fn forwarded(&self) -> usize {
        self.forwarded.load(Ordering::Acquire)
    }

    /// Whether this host should leave work that needs links to targets to other hosts, some of which have them.
    #[must_use]
    pub fn should_hand_over(&self, view: &FleetView, own_host: &str) -> bool {
        let is_cut = self.with(|links| links.is_cut_for(HANDOVER_DELAY, boot_time()));
        is_cut && !forwarding_peers(view, own_host, "").1.is_empty()
    }

    /// Records that a target answered, or went on with an answer, over a link of this host.
    pub fn record_answer(&self) {
        if self.with(|links| links.record_answer(boot_time())) {
            log::info!("targets_reachable_directly");
        }
    }
}

/// Records that a target did not answer a request that was sent at `since`, over a link of this host.
pub fn record_unreachable(context: &Arc<HostContext>, target: &TargetEntry, since: BootTime, reason: &str) {
    if context.links.with(|links| links.record_unreachable(target.address, since, boot_time())) {
        log::warn!(target = target.id, reason = reason; "targets_unreachable_directly");
        spawn_due_probe(context);
    }
}

/// How an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendRule {
    /// Whether the request may be sent again, so that an attempt ends once its link is known to be cut.
    pub is_repeatable: bool,
    /// Whether peers come first, since an earlier attempt of the same request has no answer and the links are in doubt.
    pub prefers_peers: bool,
    /// Whether the request belongs to an output that one version of the software must generate.
    pub needs_software: bool,
}

impl SendRule {
    /// Rule for requests that are sent again until they succeed, such as gradings.
    pub const REPEATED: Self = Self { is_repeatable: true, prefers_peers: false, needs_software: false };

    /// Rule for items, whose outputs go on at one version of the software.
    pub const ITEM: Self = Self { needs_software: true, ..Self::REPEATED };
}

/// Sends a request to a target and waits for the head of the response.
///
/// # Errors
///
/// [`ExchangeError::NotConnected`] when neither this host nor a peer sent the request; after the others it may have arrived.
pub async fn send_to_target(
    context: &Arc<HostContext>,
    target: &TargetEntry,
    request: Request<SendBody>,
    rule: SendRule,
) -> Result<Exchange, ExchangeError> {
    let uses_peers = context.links.is_cut() || rule.prefers_peers;
    if uses_peers {
        let sent = send_through_peers(context, target, request.clone()).await;
        if !matches!(sent, Err(ExchangeError::NotConnected)) {
            return sent;
        }
    }
    // A peer does not ask the target whether it has started again.
    let must_ask = must_ask(context, &context.pool, target, rule);
    let sent = send_directly(context, &context.pool, target, request.clone(), rule).await;
    if uses_peers || must_ask || !matches!(sent, Err(ExchangeError::NotConnected)) {
        return sent;
    }
    send_through_peers(context, target, request).await
}

/// Sends a request over a link of this host, and records whether the target is reachable.
pub(super) async fn send_directly(
    context: &Arc<HostContext>,
    pool: &ConnectionPool,
    target: &TargetEntry,
    request: Request<SendBody>,
    rule: SendRule,
) -> Result<Exchange, ExchangeError> {
    let since = boot_time();
    let mut sent = std::pin::pin!(send_on_link(context, pool, target, request, rule));
    let mut is_silent = false;
    let result = loop {
        match tokio::time::timeout(SILENCE_LIMIT, sent.as_mut()).await {
            Ok(result) => break result,
            Err(_) if !is_silent => {
                is_silent = true;
                record_unreachable(context, target, since, "silent");
            }
            Err(_) if rule.is_repeatable && context.links.is_cut_for_certain() => return Err(ExchangeError::Broken),
            Err(_) => {}
        }
    };
    match &result {
        Ok(None) => log::info!(target = target.id, started_ms:? = target.started_ms; "target_restarted"),
        Ok(_) | Err(ExchangeError::Malformed) => context.links.record_answer(),
        Err(error) => {
            record_break(context, target);
            let reason = if *error == ExchangeError::Broken { "broken" } else { "not_connected" };
            record_unreachable(context, target, since, reason);
        }
    }
    result?.ok_or(ExchangeError::NotConnected)
}

/// Whether the target must say which start it is before the request is sent.
fn must_ask(context: &HostContext, pool: &ConnectionPool, target: &TargetEntry, rule: SendRule) -> bool {
    if !rule.needs_software {
        return false;
    }
    if pool.has_lost_idle(target.address) {
        record_break(context, target);
    }
    context.with_restarts(|restarts| restarts.is_in_doubt(&target.id))
}

/// Records that a connection to a target broke or could not be made, so that the target may have started again.
pub fn record_break(context: &HostContext, target: &TargetEntry) {
    context.with_restarts(|restarts| restarts.record_break(&target.id, boot_time()));
}

/// Sends a request to a target. One that needs the software of the entry reaches no later start of the target; `None` when that is
/// the one that answers.
async fn send_on_link(
    context: &HostContext,
    pool: &ConnectionPool,
    target: &TargetEntry,
    request: Request<SendBody>,
    rule: SendRule,
) -> Result<Option<Exchange>, ExchangeError> {
    let must_ask = must_ask(context, pool, target, rule);
    let codec = &context.target_codec;
    match (target.started_ms.filter(|_| must_ask), (codec.report)(&target.id)) {
        (Some(started_ms), Ok(question)) => {
            context.with_loads(|loads| loads.record_arrival(&target.id, boot_time()));
            let expected = ExpectedStart { started_ms, question, decode: codec.decode_report };
            pool.send_to_start(target.address, request, expected).await
        }
        _ => pool.send(target.address, request).await.map(Some),
    }
}

/// Addresses of the hosts that pass requests on, those of `own_domain` first: live, not stopping, and with links to targets.
#[must_use]
pub fn forwarding_peers(view: &FleetView, own_host: &str, own_domain: &str) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let members = view
        .live_members()
        .filter(|member| member.host != own_host && !member.row.is_stopping && member.row.forwards_requests);
    let addresses = members.filter_map(|member| {
        let address: SocketAddr = member.row.peer_address.as_deref()?.parse().ok()?;
        Some((member.row.domain == own_domain, address))
    });
    let (near, far): (Vec<_>, Vec<_>) = addresses.partition(|(is_near, _)| *is_near);
    let strip = |peers: Vec<(bool, SocketAddr)>| peers.into_iter().map(|(_, address)| address).collect();
    (strip(near), strip(far))
}

async fn send_through_peers(
    context: &HostContext,
    target: &TargetEntry,
    mut request: Request<SendBody>,
) -> Result<Exchange, ExchangeError> {
    let Ok(id) = HeaderValue::from_str(&target.id) else { return Err(ExchangeError::NotConnected) };
    request.headers_mut().insert(TARGET_HEADER, id);
    let settings = &context.settings;
    let (near, far) = forwarding_peers(&context.view(), &settings.host, &settings.failure_domain);
    let peers = context.links.with(|links| links.order_peers(&near, &far, boot_time()));
    // If only this target is out of reach, the target itself has probably failed.
    let max_peers = if context.links.is_cut() { PEERS_PER_ATTEMPT } else { 1 };
    for peer in peers.into_iter().take(max_peers) {
        let sent = context.pool.send(peer, request.clone()).await;
        let outcome = match sent {
            Ok(exchange) => match read_relay_error(exchange.response.headers()) {
                None => return Ok(exchange),
                Some(error) => error,
            },
            Err(error) => error,
        };
        context
            .metrics
            .forwards
            .with_label_values(&[if outcome == ExchangeError::NotConnected { "not_sent" } else { "lost" }])
            .inc();
        if outcome != ExchangeError::NotConnected {
            return Err(outcome);
        }
        context.links.with(|links| links.record_peer_failure(peer, boot_time()));
    }
    Err(ExchangeError::NotConnected)
}

/// Probes a target if a probe is due, without waiting for the result.
fn spawn_due_probe(context: &Arc<HostContext>) {
    if context.links.with(|links| links.begin_probe(boot_time())) {
        tokio::spawn(probe_target(Arc::clone(context)));
    }
}

/// Asks a target for any answer; the targets take turns.
async fn probe_target(context: Arc<HostContext>) {
    const MAX_ANSWER_BYTES: usize = 64 * 1024;
    let view = context.view();
    let now = boot_time();
    let ready: Vec<&TargetEntry> = view
        .targets
        .iter()
        .filter(|target| {
            target.state == TargetState::Ready && target.cold_until <= now && !view.is_closed(&target.domain)
        })
        .collect();
    let turn = context.links.with(TargetLinks::next_turn);
    let Some(target) = turn.checked_rem(ready.len()).map(|position| ready[position]) else { return };
    let Ok(request) = (context.target_codec.probe)() else { return };
    context.with_loads(|loads| loads.record_arrival(&target.id, now));
    let exchange = tokio::time::timeout(PROBE_TIMEOUT, context.pool.send(target.address, request)).await;
    let Ok(Ok(Exchange { response, connection, .. })) = exchange else {
        if context.links.is_cut() {
            // What looked like failures of the targets was the cut.
            context.with_loads(LoadTable::end_backoffs);
        }
        return;
    };
    context.links.record_answer();
    let (head, body) = response.into_parts();
    let idle_limit = (context.target_codec.decode)(&head).idle_limit;
    if matches!(tokio::time::timeout(PROBE_TIMEOUT, read_body(body, MAX_ANSWER_BYTES)).await, Ok(Ok(_))) {
        context.pool.give_back(connection, idle_limit);
    }
}

/// Probes targets while the links are cut, also without requests of callers; never returns.
pub async fn watch_links(context: Arc<HostContext>) {
    loop {
        tokio::time::sleep(PROBE_CHECK_INTERVAL).await;
        spawn_due_probe(&context);
    }
}
