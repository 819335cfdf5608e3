//! What callers ask, without the words of the wire.

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{HeaderMap as Headers, http};

use crate::jobs::job_record::{ItemResult, JobSpec};
use crate::prelude::*;

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAction {
    /// A request for the services of a route, or a batch job, depending on the route.
    Forward,
    /// Results of a batch job from a position on.
    ReadResults {
        /// Job.
        job: JobId,
        /// First position.
        after: u32,
    },
    /// Body of an item that is not listed yet.
    ReadItem {
        /// Job.
        job: JobId,
        /// Item.
        item: ItemId,
    },
    /// End of a batch job.
    EndJob {
        /// Job.
        job: JobId,
    },
}

/// Decoded head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHead {
    /// Id; empty when the caller sent none.
    pub request_id: RequestId,
    /// Host name, without a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Path with the query.
    pub path_and_query: String,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// Key.
    pub key: Option<String>,
    /// Longest time that a read may wait for a result.
    pub wait: Option<Duration>,
    /// What is asked.
    pub action: CallerAction,
}

/// A page of results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultPage {
    /// Items of the job.
    pub total: u32,
    /// Position after the last result of the page.
    pub next: u32,
    /// Results.
    pub results: Vec<ItemResult>,
}

/// Functions that translate a caller's requests and the answers.
#[derive(Debug, Clone, Copy)]
pub struct CallerCodec {
    /// Decodes a head.
    pub decode: fn(&http::request::Parts) -> CallerHead,
    /// Removes headers that must not reach a target: those of the connection, the key, and those the product sets.
    pub strip: fn(&HeaderMap) -> Headers,
    /// Decodes a batch job; `None` when it is malformed.
    pub decode_job: fn(&[u8]) -> Option<JobSpec>,
    /// Encodes a page of results.
    pub encode_page: fn(&ResultPage) -> Bytes,
    /// Decodes the body of an item as it stands in the job.
    pub decode_item_body: fn(&str) -> Option<Bytes>,
}
