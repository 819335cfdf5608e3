//! Calls of trainers: hand a batch job in, read its results, read the body of an item, end it.

use bytes::Bytes;
use hyper::{Response, StatusCode};

use crate::entry::host_context::HostContext;
use crate::fleet::service_map::RouteRule;
use crate::jobs::job_keeper::preferred_owner;
use crate::jobs::job_record::{ItemSet, JobHeader, JobSpec};
use crate::jobs::job_store::{HeaderWrite, read_header, read_results, read_spec, replace_header, store_job};
use crate::jobs::read_wait::ResultRead;
use crate::prelude::*;
use crate::relay::caller_codec::ResultPage;
use crate::relay::reply::{ResponseBody, code_reply, json_reply, whole_body};
use crate::row_store::{RowVersion, StoreCallError};

/// Wait that is suggested while the store refuses.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Pause before a store call is repeated.
const STORE_PAUSE: Duration = Duration::from_millis(50);

/// Time that a call spends on the store at most.
const CALL_LIMIT: Duration = Duration::from_millis(2500);

/// Age up to which the known headers answer without a look into the store.
const BOARD_AGE_LIMIT: Duration = Duration::from_millis(800);

/// A job that is handed in.
#[derive(Debug)]
pub struct Submission<'a> {
    /// Id, chosen by the caller.
    pub job: JobId,
    /// Route.
    pub route: &'a RouteRule,
    /// Host name that the caller used.
    pub caller_host: String,
    /// Organisation.
    pub organisation: Option<OrganisationId>,
    /// Job.
    pub spec: JobSpec,
}

/// Accepts a job, once.
pub async fn submit_job(context: &Arc<HostContext>, submission: Submission<'_>) -> Response<ResponseBody> {
    let job = submission.job.clone();
    if context.board.get(&job).is_some() {
        return accepted();
    }
    let started_at = boot_time();
    let Some(header) = new_header(context, &submission) else {
        return refuse(&job, &StoreCallError::NotSent, started_at);
    };
    let mut may_be_stored = false;
    loop {
        match store_job(&context.store, &header, &submission.spec).await {
            Ok(HeaderWrite::Written(version)) => {
                log::info!(
                    job = job, route = header.route, model = header.model, step = submission.spec.step,
                    items = header.item_count, least_version = header.least_version, owner = header.owner,
                    elapsed_ms = whole_millis(boot_time().saturating_sub(started_at));
                    "job_accepted"
                );
                context.board.upsert_header(header, version, boot_time());
                return accepted();
            }
            Ok(HeaderWrite::Changed(Some((known, version)))) => {
                context.board.upsert_header(known, version, boot_time());
                return accepted();
            }
            Ok(HeaderWrite::Changed(None)) => may_be_stored = true,
            Err(fault @ (StoreCallError::NotSent | StoreCallError::Refused(_))) if !may_be_stored => {
                return refuse(&job, &fault, started_at);
            }
            Err(fault) => {
                may_be_stored |= !matches!(fault, StoreCallError::NotSent | StoreCallError::Refused(_));
            }
        }
        if boot_time().saturating_sub(started_at) > CALL_LIMIT {
            log::warn!(job = job, may_be_stored = may_be_stored; "job_acceptance_unknown");
            return code_reply(ResultCode::OutcomeUnknown, None);
        }
        tokio::time::sleep(STORE_PAUSE).await;
    }
}

fn new_header(context: &HostContext, submission: &Submission<'_>) -> Option<JobHeader> {
    let view = context.view();
    let (route, spec) = (submission.route, &submission.spec);
    let own = &context.settings.host;
    let owner = preferred_owner(&view, &route.name, &spec.model).unwrap_or_else(|| own.clone());
    let member = view.members.iter().find(|member| member.host == owner);
    let owner_incarnation = if owner == *own { context.incarnation } else { member?.row.incarnation };
    Some(JobHeader {
        job: submission.job.clone(),
        route: route.name.clone(),
        caller_host: submission.caller_host.clone(),
        organisation: submission.organisation.clone(),
        model: spec.model.clone(),
        least_version: spec.least_version,
        item_count: u32::try_from(spec.items.len()).unwrap_or(u32::MAX),
        group_target: spec.group_target,
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
    })
}

fn accepted() -> Response<ResponseBody> {
    json_reply(StatusCode::ACCEPTED, Bytes::from_static(b"{}"))
}

fn refuse(job: &str, fault: &StoreCallError, started_at: BootTime) -> Response<ResponseBody> {
    log::info!(
        job = job, fault = fault.to_string(),
        elapsed_ms = whole_millis(boot_time().saturating_sub(started_at));
        "job_refused"
    );
    code_reply(ResultCode::StoreUnavailable, Some(STORE_RETRY_AFTER))
}

/// A caller's access to a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobAccess {
    /// Job.
    pub job: JobId,
    /// Organisation of the caller.
    pub organisation: Option<OrganisationId>,
}

/// Header of a job that the caller may see.
async fn find_job(
    context: &HostContext,
    access: &JobAccess,
) -> Result<(JobHeader, RowVersion), Response<ResponseBody>> {
    let is_fresh = boot_time().saturating_sub(context.board.read_at()) < BOARD_AGE_LIMIT;
    let known = context.board.get(&access.job).filter(|known| is_fresh || known.header.is_closed());
    let found = match known {
        Some(known) => Some((known.header, known.version)),
        None => match read_header(&context.store, &access.job).await {
            Ok(found) => found,
            Err(fault) => {
                log::info!(job = access.job, fault = fault.to_string(); "job_read_refused");
                return Err(code_reply(ResultCode::StoreUnavailable, Some(STORE_RETRY_AFTER)));
            }
        },
    };
    match found {
        Some((header, version)) if header.organisation == access.organisation => {
            context.board.upsert_header(header.clone(), version, boot_time());
            Ok((header, version))
        }
        _ => {
            log::info!(job = access.job, found = found.is_some(); "job_not_found");
            Err(code_reply(ResultCode::NotFound, None))
        }
    }
}

/// Answers with results from a position on, waiting up to `wait` for them.
pub async fn read_job(
    context: &Arc<HostContext>,
    access: JobAccess,
    after: u32,
    wait: Duration,
) -> Response<ResponseBody> {
    let read = ResultRead { after, asked_at: boot_time(), wait };
    let mut age = None;
    loop {
        let (header, _) = match find_job(context, &access).await {
            Ok(found) => found,
            Err(reply) => return reply,
        };
        age = age.or_else(|| Some(header.age((context.store.store_time)()?)));
        let left = read.answer_at(&header, age).saturating_sub(boot_time());
        if !left.is_zero() {
            context.board.wait_change(left).await;
            continue;
        }
        if header.listed > after {
            return match read_results(&context.store, &access.job, after).await {
                Ok(results) if !results.is_empty() => page_reply(context, &header, after, results),
                Ok(_) | Err(_) => code_reply(ResultCode::StoreUnavailable, Some(STORE_RETRY_AFTER)),
            };
        }
        return page_reply(context, &header, after, Vec::new());
    }
}

fn page_reply(
    context: &HostContext,
    header: &JobHeader,
    after: u32,
    results: Vec<crate::jobs::job_record::ItemResult>,
) -> Response<ResponseBody> {
    let next = after + u32::try_from(results.len()).unwrap_or(u32::MAX);
    let page = ResultPage { total: header.item_count, next, results };
    json_reply(StatusCode::OK, (context.caller_codec.encode_page)(&page))
}

/// Answers with the body of an item of an open job.
pub async fn read_item(context: &Arc<HostContext>, access: JobAccess, item: &str) -> Response<ResponseBody> {
    let header = match find_job(context, &access).await {
        Ok((header, _)) => header,
        Err(reply) => return reply,
    };
    if header.is_ended {
        return code_reply(ResultCode::NotFound, None);
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

/// Ends a job; a job that is ended already stays so.
pub async fn end_job(context: &Arc<HostContext>, access: JobAccess) -> Response<ResponseBody> {
    let deadline = boot_time() + CALL_LIMIT;
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
                tokio::time::sleep(STORE_PAUSE).await;
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
