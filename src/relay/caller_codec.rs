//! Decoded requests of callers, and the functions that translate the wire format.

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::http;

use crate::jobs::job_record::{ItemResult, ItemSpec, JobOutline};
use crate::memory::ReceivedBody;
use crate::prelude::*;

/// Operation that the method, path and query of a caller's request select.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAction {
    /// Any other request; the route decides whether it is sent to a target or submits a batch job.
    Forward,
    /// Read the results of a batch job from a position on; the read may wait for new ones, see [`CallerHead::wait`].
    ReadResults {
        /// Id from the request; the job may not exist.
        job: JobId,
        /// Position of the first result to return, counted from 0 in the order in which results became readable.
        after: u32,
    },
    /// Read the request body of an item of a batch job.
    ReadItem {
        /// Id from the request; the job may not exist.
        job: JobId,
        /// Id from the request; the job may not contain the item.
        item: ItemId,
    },
    /// End a batch job, so that no further item is run; ending it again has no effect.
    EndJob {
        /// Id from the request; the job may not exist.
        job: JobId,
    },
}

/// Decoded head of a caller's request; nothing in it has been checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHead {
    /// Id chosen by the caller, which becomes the job id of a submitted batch job; empty when the caller sent none.
    pub request_id: RequestId,
    /// HTTP host name without the port; empty when the request names none.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Path with the query.
    pub path_and_query: String,
    /// Time that the caller waits for the response, counted from the arrival of the request; `None` when the request
    /// names none.
    pub deadline: Option<Duration>,
    /// API key, not yet verified; `None` when the request has none.
    pub key: Option<String>,
    /// Time that a read of results may wait for new ones; `None` for a read that returns at once.
    pub wait: Option<Duration>,
    /// Id of the earlier request that brought the first event of a stream that the caller takes up; `None` when the request
    /// begins anew.
    pub resumes: Option<RequestId>,
    /// Whether the caller names a last event, after which it takes a stream up.
    pub has_last_event: bool,
    /// What to do with the request.
    pub action: CallerAction,
}

/// Part of a job's results, starting at the position that the caller asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultPage {
    /// Number of items in the job.
    pub total: u32,
    /// Position after the last result of the page, from which the next read continues.
    pub next: u32,
    /// Results in the order in which they became readable; empty when none from this position on can be read yet.
    pub results: Vec<ItemResult>,
}

/// Function that takes the items of a job in their order; an error ends the decoding.
pub type ItemTaker<'a> = &'a mut dyn FnMut(ItemSpec) -> Result<(), ResultCode>;

/// Translation between the wire format of callers and the types of this program.
#[derive(Debug, Clone, Copy)]
pub struct CallerCodec {
    /// Decodes the head of any request; requests that are not recognised become [`CallerAction::Forward`].
    pub decode: fn(&http::request::Parts) -> CallerHead,
    /// Returns the headers to forward to a target, without the hop-by-hop headers, the key, and the headers that this
    /// program sets itself.
    pub strip: fn(&HeaderMap) -> HeaderMap,
    /// Decodes the body of a request that submits a batch job, and passes each item on as it is decoded. Fails with the error of
    /// [`ItemTaker`], or with [`ResultCode::BadRequest`] when the body is malformed.
    pub decode_job: fn(ReceivedBody, ItemTaker<'_>) -> Result<JobOutline, ResultCode>,
    /// Encodes a page as the body of a JSON response.
    pub encode_page: fn(&ResultPage) -> Bytes,
    /// Decodes an item's request body from the text in the job; `None` when the text is malformed.
    pub decode_item_body: fn(&str) -> Option<Bytes>,
}
