//! What the product says to a target and hears from it, without the words of the wire.

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Request, http};

use crate::prelude::*;
use crate::relay::connection_pool::SendBody;

/// A request for a target.
#[derive(Debug, Clone)]
pub struct TargetRequest {
    /// Method.
    pub method: Method,
    /// Path with query, as the caller sent it.
    pub path: String,
    /// Host name that the caller used.
    pub host: String,
    /// Headers of the caller that concern the target; those that the product sets itself are left out.
    pub headers: HeaderMap,
    /// Id of the request.
    pub request_id: RequestId,
    /// Organisation that it is charged to.
    pub organisation: Option<OrganisationId>,
    /// Body.
    pub body: Bytes,
}

/// What is said with one send of a request.
#[derive(Debug, Clone)]
pub struct SendOptions<'a> {
    /// Target that must run it; another one at its address refuses.
    pub target: &'a str,
    /// Time after which the answer is of no use.
    pub deadline: Duration,
    /// Last event of a stream that is already known.
    pub resume_after: Option<u64>,
}

/// Head of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetHead {
    /// Id of the request that it answers, when the target names it.
    pub request_id: Option<RequestId>,
    /// Whether the target signed it.
    pub is_stamped: bool,
    /// Whether the target says that it did not run the request.
    pub is_not_run: bool,
    /// Whether another target or another version of the weights was found there.
    pub is_misdirected: bool,
    /// Version of the weights at the start of a stream.
    pub version: Option<WeightVersion>,
    /// Time that the connection may be idle; zero when the target closes it.
    pub idle_limit: Option<Duration>,
}

/// Functions that put the product's words on the wire and back.
#[derive(Debug, Clone, Copy)]
pub struct TargetCodec {
    /// Encodes a send.
    pub encode: fn(&TargetRequest, &SendOptions<'_>) -> Result<Request<SendBody>, http::Error>,
    /// Decodes the head of an answer.
    pub decode: fn(&http::response::Parts) -> TargetHead,
    /// Weight version in a line of a stream event, when the line names one.
    pub version_line: fn(&str) -> Option<WeightVersion>,
}
