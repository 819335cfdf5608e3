//! Handlers of the callers' requests for batch jobs: submit a job, read results, read the body of an item, end a job.

use bytes::Bytes;
use hyper::{Response, StatusCode};

use crate::entry::host_context::HostContext;
use crate::fleet::service_map::RouteRule;
use crate::jobs::job_encoder::EncodedJob;
use crate::jobs::job_ownership::preferred_owner;
use crate::jobs::job_record::{ItemSet, JobHeader};
use crate::jobs::job_store::{HeaderWrite, read_header, read_results, read_spec, replace_header, store_job};
use crate::jobs::read_wait::ResultRead;
use crate::prelude::*;
use crate::relay::caller_codec::ResultPage;
use crate::relay::reply::{ResponseBody, code_reply, json_reply, whole_body};
use crate::row_store::{RowVersion, StoreCallError};

/// Delay that a `StoreUnavailable` response suggests to the caller.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Wait before a failed store call is repeated.
const STORE_BACKOFF: Duration = Duration::from_millis(50);

/// Time after which failed writes of a request that submits or ends a job are no longer retried; checked between
/// attempts only.
const STORE_RETRY_TIMEOUT: Duration = Duration::from_millis(2500);

/// Maximum age of cached headers that are used without reading the store.
const MAX_CACHE_AGE: Duration = Duration::from_millis(800);

/// A job that a caller submits, with the context of the request.
#[derive(Debug)]
pub struct Submission<'a> {
    /// Chosen by the caller; a repeated submission with the same id has no effect.
    pub job: JobId,
    /// Route that the request came in on.
    pub route: &'a RouteRule,
    /// HTTP host name of the request.
    pub caller_host: String,
    /// Organisation that is charged and may read the results; `None` when the caller sent no key.
    pub organisation: Option<OrganisationId>,
    /// Body of the request, as it is stored.
    pub encoded: EncodedJob,
}

/// Stores a submitted job, unless a job of this id exists; the response is the same in both cases.
pub async fn submit_job(context: &Arc<HostContext>, submission: Submission<'_>) -> Response<ResponseBody> {
    let job = submission.job.clone();
    if context.board.get(&job).is_some() {
        return accepted_response();
    }
    let started_at = boot_time();
    let Some(header) = build_header(context, &submission) else {
        return refuse_submission(&job, &StoreCallError::NotSent, started_at);
    };
    let mut may_be_stored = false;
    loop {
        match store_job(&context.store, &header, &submission.encoded).await {
            Ok(HeaderWrite::Written(version)) => {
                log::info!(
                    job = job, route = header.route, model = header.model, step = submission.encoded.outline.step,
                    items = header.item_count, least_version = header.least_version, owner = header.owner,
                    elapsed_ms = whole_millis(boot_time().saturating_sub(started_at));
                    "job_accepted"
                );
                context.board.upsert_header(header, version, boot_time());
                return accepted_response();
            }
            Ok(HeaderWrite::Changed(Some((known, version)))) => {
                context.board.upsert_header(known, version, boot_time());
                return accepted_response();
            }
            Ok(HeaderWrite::Changed(None)) => may_be_stored = true,
            Err(error @ (StoreCallError::NotSent | StoreCallError::Refused(_))) if !may_be_stored => {
                return refuse_submission(&job, &error, started_at);
            }
            Err(error) => {
                may_be_stored |= !matches!(error, StoreCallError::NotSent | StoreCallError::Refused(_));
            }
        }
        if boot_time().saturating_sub(started_at) > STORE_RETRY_TIMEOUT {
            log::warn!(job = job, may_be_stored = may_be_stored; "job_acceptance_unknown");
            return code_reply(ResultCode::OutcomeUnknown, None);
        }
        tokio::time::sleep(STORE_BACKOFF).await;
    }
}

fn build_header(context: &HostContext, submission: &Submission<'_>) -> Option<JobHeader> {
    let view = context.view();
    let (route, encoded) = (submission.route, &submission.encoded);
    let outline = &encoded.outline;
    let own_host = &context.settings.host;
    let owner = preferred_owner(&view, &route.name, &outline.model).unwrap_or_else(|| own_host.clone());
    let member = view.members.iter().find(|member| member.host == owner);
    let owner_incarnation = if owner == *own_host { context.incarnation } else { member?.row.incarnation };
    Some(JobHeader {
        job: submission.job.clone(),
        route: route.name.clone(),
        caller_host: submission.caller_host.clone(),
        organisation: submission.organisation.clone(),
        model: outline.model.clone(),
        least_version: outline.least_version,
        item_count: encoded.item_count,
        group_target: outline.group_target,
        submitted_ms: whole_millis((context.store.store_time)()?),
        objective_ms: whole_millis(route.job_objective),
        limit_ms: whole_millis(route.job_limit),
        owner,
        owner_incarnation,
        owner_changes: 0,
        listed: 0,
        listed_items: ItemSet::default(),
        listed_groups: 0,
        is_ended: false,
        run_bytes: encoded.run_bytes as u64,
    })
}

fn accepted_response() -> Response<ResponseBody> {
    json_reply(StatusCode::ACCEPTED, Bytes::from_static(b"{}"))
}

fn refuse_submission(job: &str, error: &StoreCallError, started_at: BootTime) -> Response<ResponseBody> {
    log::info!(
        job = job, fault = error.to_string(),
        elapsed_ms = whole_millis(boot_time().saturating_sub(started_at));
        "job_refused"
    );
    code_reply(ResultCode::StoreUnavailable, Some(STORE_RETRY_AFTER))
}

/// A job that a caller asks for, and the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobAccess {
    /// Id from the path of the request; the job may not exist.
    pub job: JobId,
    /// Organisation of the caller's key, `None` when no keys are in use; the error is why the caller has no valid key.
    pub organisation: Result<Option<OrganisationId>, ResultCode>,
}

impl JobAccess {
    /// Whether the caller may see a job of this organisation. A job that was submitted without a key belongs to no
    /// organisation, and all who know its id may see it.
    ///
    /// # Errors
    ///
    /// The caller has no valid key, or the job belongs to another organisation and does not exist for the caller.
    pub fn check(&self, owner: Option<&OrganisationId>) -> Result<(), ResultCode> {
        let Some(owner) = owner else { return Ok(()) };
        match &self.organisation {
            Ok(organisation) if organisation.as_ref() == Some(owner) => Ok(()),
            Ok(_) => Err(ResultCode::NotFound),
            Err(code) => Err(*code),
        }
    }
}

/// Header of a job that the caller may see, from the cache if fresh or closed. The error is the response to send.
async fn find_job(
    context: &HostContext,
    access: &JobAccess,
) -> Result<(JobHeader, RowVersion), Response<ResponseBody>> {
    let is_fresh = boot_time().saturating_sub(context.board.read_at()) < MAX_CACHE_AGE;
    let known = context.board.get(&access.job).filter(|known| is_fresh || known.header.is_closed());
    let found = match known {
        Some(known) => Some((known.header, known.version)),
        // The store is not asked for callers without a valid key; a fresh cache has the jobs that need none.
        None if access.organisation.is_err() && is_fresh => None,
        None if access.organisation.is_err() => {
            return Err(code_reply(ResultCode::StoreUnavailable, Some(STORE_RETRY_AFTER)));
        }
        None => match read_header(&context.store, &access.job).await {
            Ok(found) => found,
            Err(error) => {
                log::info!(job = access.job, fault = error.to_string(); "job_read_refused");
                return Err(code_reply(ResultCode::StoreUnavailable, Some(STORE_RETRY_AFTER)));
            }
        },
    };
    let is_found = found.is_some();
    let admitted = match found {
        Some((header, version)) => access.check(header.organisation.as_ref()).map(|()| (header, version)),
        None => Err(access.organisation.as_ref().err().copied().unwrap_or(ResultCode::NotFound)),
    };
    match admitted {
        Ok((header, version)) => {
            context.board.upsert_header(header.clone(), version, boot_time());
            Ok((header, version))
        }
        Err(code) => {
            log::info!(job = access.job, found = is_found, code = code.number(); "job_not_found");
            Err(code_reply(code, None))
        }
    }
}

/// Answers a read of the results from position `start` on, waiting up to `wait` for them.
pub async fn read_job(
    context: &Arc<HostContext>,
    access: JobAccess,
    start: u32,
    wait: Duration,
) -> Response<ResponseBody> {
    let read = ResultRead { start, asked_at: boot_time(), wait };
    let mut age = None;
    loop {
        let (header, _) = match find_job(context, &access).await {
            Ok(found) => found,
            Err(reply) => return reply,
        };
        age = age.or_else(|| Some(header.age((context.store.store_time)()?)));
        let remaining = read.answer_at(&header, age).saturating_sub(boot_time());
        if !remaining.is_zero() {
            context.board.wait_change(remaining).await;
            continue;
        }
        if header.listed > start {
            return match read_results(&context.store, &access.job, start).await {
                Ok(results) if !results.is_empty() => page_response(context, &header, start, results),
                Ok(_) | Err(_) => code_reply(ResultCode::StoreUnavailable, Some(STORE_RETRY_AFTER)),
            };
        }
        return page_response(context, &header, start, Vec::new());
    }
}

fn page_response(
    context: &HostContext,
    header: &JobHeader,
    start: u32,
    results: Vec<crate::jobs::job_record::ItemResult>,
) -> Response<ResponseBody> {
    let next = start + u32::try_from(results.len()).unwrap_or(u32::MAX);
    let page = ResultPage { total: header.item_count, next, results };
    json_reply(StatusCode::OK, (context.caller_codec.encode_page)(&page))
}

/// Answers with the body of an item, as long as the caller has not ended the job.
pub async fn read_item(context: &Arc<HostContext>, access: JobAccess, item: &str) -> Response<ResponseBody> {
    let header = match find_job(context, &access).await {
        Ok((header, _)) => header,
        Err(reply) => return reply,
    };
    if header.is_ended {
        return code_reply(ResultCode::NotFound, None);
    }
    // The whole job is read for the body of one item.
    let lease = context.memory.lease_body();
    let run_bytes = usize::try_from(header.run_bytes).unwrap_or(usize::MAX);
    if lease.grow(run_bytes).is_err() || !lease.settle() {
        return code_reply(ResultCode::HostBusy, Some(STORE_RETRY_AFTER));
    }
    let Ok(spec) = read_spec(&context.store, &access.job).await else {
        return code_reply(ResultCode::StoreUnavailable, Some(STORE_RETRY_AFTER));
    };
    let found = spec.items.iter().find(|known| known.id == item);
    match found.and_then(|known| (context.caller_codec.decode_item_body)(&known.body)) {
        Some(body) => Response::new(whole_body(body)),
        None => code_reply(ResultCode::NotFound, None),
    }
}

/// Ends a job on behalf of the caller; ending an ended job succeeds.
pub async fn end_job(context: &Arc<HostContext>, access: JobAccess) -> Response<ResponseBody> {
    let deadline = boot_time() + STORE_RETRY_TIMEOUT;
    let mut found = match find_job(context, &access).await {
        Ok(found) => found,
        Err(reply) => return reply,
    };
    loop {
        let (mut header, version) = found;
        if header.is_ended {
            return json_reply(StatusCode::OK, Bytes::from_static(b"{}"));
        }
        header.is_ended = true;
        let result = replace_header(&context.store, &header, version).await;
        found = match result {
            Ok(HeaderWrite::Written(version)) => {
                log::info!(job = access.job, listed = header.listed, items = header.item_count; "job_ended");
                context.board.upsert_header(header, version, boot_time());
                return json_reply(StatusCode::OK, Bytes::from_static(b"{}"));
            }
            Ok(HeaderWrite::Changed(Some(found))) => found,
            Ok(HeaderWrite::Changed(None)) => return code_reply(ResultCode::NotFound, None),
            Err(_) => {
                tokio::time::sleep(STORE_BACKOFF).await;
                header.is_ended = false;
                let read = read_header(&context.store, &access.job).await;
                read.ok().flatten().unwrap_or((header, version))
            }
        };
        if boot_time() > deadline {
            return code_reply(ResultCode::OutcomeUnknown, None);
        }
    }
}
