//! Passes requests of other hosts on to targets.
//!
//! A request is passed on as it is, once and only over the links of this host, to the target that it names; nothing is chosen
//! here. The body of the answer is passed on as it arrives, and a body that breaks off breaks the connection. When the other host
//! closes its connection, the connection to the target is closed too, which cancels the run.

use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use hyper::{Request, Response};

use crate::entry::host_context::HostContext;
use crate::fleet::fleet_view::TargetState;
use crate::memory::{ConnectionLease, linger, receive_body};
use crate::prelude::*;
use crate::relay::connection_pool::{ConnectionPool, Exchange, ExchangeError, PooledConnection, SendBody};
use crate::relay::plain_relay::strip_connection_headers;
use crate::relay::read_budget::BudgetedBody;
use crate::relay::reply::{BodyError, ResponseBody};
use crate::relay::target_relay::{SendRule, TARGET_HEADER, send_directly};
use crate::relay::target_response::ResponseKind;
use crate::row_store::store_relay::relay_error;

/// Most requests of other hosts that a host has in flight; further ones are refused.
const MAX_FORWARDED: usize = 256;

/// How a request of another host is sent: once.
const FORWARD_RULE: SendRule = SendRule { is_repeatable: false, prefers_peers: false, needs_software: false };

/// Time within which the body of a request must arrive from another host.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Counts a request of another host as in flight until dropped.
#[derive(Debug)]
struct ForwardGuard(Arc<HostContext>);

impl ForwardGuard {
    /// `None` when too many are in flight.
    fn new(context: &Arc<HostContext>) -> Option<Self> {
        let guard = Self(Arc::clone(context));
        (context.links.forwarded.fetch_add(1, Ordering::AcqRel) < MAX_FORWARDED).then_some(guard)
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        self.0.links.forwarded.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Passes a request of another host on to the target that it names; the caller has found [`TARGET_HEADER`]. `pool` has the
/// connections of the calling thread.
pub async fn forward_request(
    context: &Arc<HostContext>,
    pool: &Arc<ConnectionPool>,
    request: Request<BudgetedBody>,
) -> Response<ResponseBody> {
    let not_sent = || relay_error(ExchangeError::NotConnected);
    let Some(guard) = ForwardGuard::new(context).filter(|_| !context.is_stopping()) else { return not_sent() };
    let (mut head, mut body) = request.into_parts();
    let id = head.headers.remove(TARGET_HEADER);
    let request_id = (context.caller_codec.decode)(&head).request_id;
    let view = context.view();
    let target = id.as_ref().and_then(|id| view.target(id.to_str().ok()?));
    // This host may know that a target is leaving before the sender does.
    let usable = target.filter(|target| target.state == TargetState::Ready && !view.is_closed(&target.domain));
    let Some(target) = usable else { return not_sent() };
    let body_limit = view.services.as_ref().map_or(0, |services| services.limits.body_bytes);
    let received = tokio::time::timeout(BODY_TIMEOUT, receive_body(&context.memory, &mut body, body_limit)).await;
    let Ok(Ok(received)) = received else {
        linger(&context.memory, body);
        return not_sent();
    };
    if let Some(connection) = head.extensions.remove::<Arc<ConnectionLease>>() {
        connection.settle();
    }
    strip_connection_headers(&mut head.headers);
    let request = Request::from_parts(head, SendBody::from(received));
    let exchange = match send_directly(context, pool, target, request, FORWARD_RULE).await {
        Ok(exchange) => exchange,
        Err(error) => return relay_error(error),
    };
    context.metrics.forwards.with_label_values(&["passed_on"]).inc();
    let Exchange { response, connection, is_reused } = exchange;
    let (mut head, body) = response.into_parts();
    // The sender cannot tell whether the connection to the target was used before.
    let (target_head, kind) = context.read_head(target, &head, &request_id, is_reused);
    if kind == ResponseKind::Invalid {
        return relay_error(ExchangeError::Malformed);
    }
    strip_connection_headers(&mut head.headers);
    let body = ForwardedBody {
        body,
        connection: Some(connection),
        idle_limit: target_head.idle_limit,
        pool: Arc::clone(pool),
        _guard: guard,
    };
    Response::from_parts(head, BodyExt::boxed(body))
}

/// Body of an answer that is passed on as it arrives; gives the connection back at its end.
struct ForwardedBody {
    body: BudgetedBody,
    connection: Option<PooledConnection>,
    idle_limit: Option<Duration>,
    pool: Arc<ConnectionPool>,
    _guard: ForwardGuard,
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(context));
        if frame.is_none()
            && let Some(connection) = self.connection.take()
        {
            self.pool.give_back(connection, self.idle_limit);
        }
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::from)))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}
