//! Requests to targets and heads of their responses, and the functions that translate the wire format.

use hyper::header::HeaderMap;
use hyper::{Method, Request, http};

use crate::memory::ReceivedBody;
use crate::prelude::*;
use crate::relay::connection_pool::SendBody;

/// A request to be sent to a target; the same for all attempts.
#[derive(Debug, Clone)]
pub struct TargetRequest {
    /// HTTP method of the caller's request; always `POST` for an item of a batch job.
    pub method: Method,
    /// Path with the query.
    pub path: String,
    /// HTTP host name that the caller used, without the port.
    pub host: String,
    /// Headers of the caller that the target receives, without those that this program sets itself.
    pub headers: HeaderMap,
    /// Id that the target may repeat in the response; empty when the caller sent none.
    pub request_id: RequestId,
    /// Organisation that is charged for the request; `None` on routes without keys.
    pub organisation: Option<OrganisationId>,
    /// Complete body; empty when the request has none.
    pub body: ReceivedBody,
}

/// Parameters of one attempt of a request.
#[derive(Debug, Clone)]
pub struct SendOptions<'a> {
    /// Id of the target that must run the request; another target at the same address refuses it.
    pub target: &'a str,
    /// Time that is left for the attempt; a later response is of no use.
    pub deadline: Duration,
    /// Id of the last event that an earlier attempt received; `None` to start the stream from the beginning.
    pub resume_after: Option<u64>,
}

/// Decoded head of a target's response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetHead {
    /// Id of the request that the response belongs to; `None` when the response names none.
    pub request_id: Option<RequestId>,
    /// Signature of the target, which is not verified; also the score when the request grades an output. `None` when
    /// the response has none.
    pub stamp: Option<String>,
    /// Whether the response says that the request was not run.
    pub is_not_run: bool,
    /// Whether the server refused the request as meant for another target or another version of the weights.
    pub is_misdirected: bool,
    /// Version of the weights at the start of the body; `None` when the response names none.
    pub version: Option<WeightVersion>,
    /// Idle timeout of the connection; zero when the target closes the connection, `None` when none is announced.
    pub idle_limit: Option<Duration>,
    /// Whether the target says that it is about to stop.
    pub is_leaving: bool,
    /// Requests that the target takes from all hosts together; `None` when it announces no limit.
    pub rate_limit: Option<MilliRate>,
}

impl TargetHead {
    /// Whether the response can be told to be the one to this request. A response without an id can when it is the first
    /// on its connection, or when the request has no id either.
    #[must_use]
    pub fn answers(&self, request_id: &str, is_reused: bool) -> bool {
        match &self.request_id {
            Some(id) => id == request_id,
            None => !is_reused || request_id.is_empty(),
        }
    }
}

/// Translation between the types of this program and the wire format of targets.
#[derive(Debug, Clone, Copy)]
pub struct TargetCodec {
    /// Encodes one attempt as an HTTP request; fails when a value is not valid in HTTP.
    pub encode: fn(&TargetRequest, &SendOptions<'_>) -> Result<Request<SendBody>, http::Error>,
    /// Encodes a request that every target answers without running it.
    pub probe: fn() -> Result<Request<SendBody>, http::Error>,
    /// Encodes a request for what a target says of itself, which needs no slot.
    pub report: fn(&str) -> Result<Request<SendBody>, http::Error>,
    /// Decodes the start of the process that answered [`Self::report`], as in [`TargetEntry::started_ms`]; `None` when the body is
    /// no report or names none.
    ///
    /// [`TargetEntry::started_ms`]: crate::fleet::fleet_view::TargetEntry::started_ms
    pub decode_report: fn(&[u8]) -> Option<u64>,
    /// Decodes the head of a response; what is missing or malformed counts as absent.
    pub decode: fn(&http::response::Parts) -> TargetHead,
    /// Parses a line of a stream event; `None` when the line names no weight version.
    pub version_line: fn(&str) -> Option<WeightVersion>,
}
