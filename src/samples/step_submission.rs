//! Accepting a step: the specification is written to the object store, then one transaction adds the step's row and
//! opens all shards.

use crate::control::ControlHandle;
use crate::generated::caller_messages::{StepAccepted, StepRequest};
use crate::generated::platform_messages::RowWrite;
use crate::prelude::*;
use crate::samples::step_rows::{
    OPEN_SHARDS_TABLE, OpenShardRow, STEPS_TABLE, StepRow, StepShard, decode_row, encode_row, step_key,
};
use crate::samples::step_spec::{check_step, content_digest, effective_staleness_bound, split_into_shards};
use crate::store_client::StoreCallError;
use crate::store_client::store_access::{StoreAccess, new_writer_token, row_check, row_write};

/// Number of attempts before the caller is told to submit the step again.
const MAX_SUBMISSION_ATTEMPTS: u32 = 4;

/// Backoff before the second attempt; each further attempt doubles the backoff.
const SUBMISSION_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts a step, or confirms a step that was accepted before with the same content.
///
/// # Errors
///
/// - the codes of [`check_step`] when the step is invalid, and [`ResultCode::TooLarge`] when it has too many groups
/// - [`ResultCode::WrongOrganisation`] when the trainer's step with this number belongs to another organisation
/// - [`ResultCode::ClaimMismatch`] when that step was accepted with other content
/// - [`ResultCode::StoreUnavailable`] when no attempt succeeded and this call certainly did not add the step
/// - [`ResultCode::ClaimUnsettled`] when it is not known whether this call added the step
/// - [`ResultCode::Internal`] when the specification or a row cannot be encoded or decoded
pub fn submit_step(
    control: &ControlHandle,
    store: &StoreAccess,
    organisation: &str,
    request: &StepRequest,
) -> Result<StepAccepted, ResultCode> {
    let view = control.view();
    let service = check_step(request, &view.configuration)?;
    let content = serde_json::to_vec(request).map_err(|_| ResultCode::Internal)?;
    let row = build_row(organisation, request, effective_staleness_bound(request, service), &content)?;
    let mut is_unsettled = false;
    for attempt in 0..MAX_SUBMISSION_ATTEMPTS {
        if attempt > 0 {
            std::thread::sleep(SUBMISSION_BACKOFF * 2_u32.pow(attempt - 1));
        }
        match run_attempt(store, request, &row, &content) {
            Ok(present) => return confirm_step(&present, &row, request),
            Err(AttemptError::NotApplied) => {}
            Err(AttemptError::MayBeApplied) => is_unsettled = true,
            Err(AttemptError::Fatal(code)) => return Err(code),
        }
    }
    Err(if is_unsettled { ResultCode::ClaimUnsettled } else { ResultCode::StoreUnavailable })
}

/// Why an attempt did not return the row that the store has for the step.
enum AttemptError {
    /// The attempt did not add the step; another one may.
    NotApplied,
    /// The response to the transaction was lost or unreadable, so the step may have been added.
    MayBeApplied,
    /// Further attempts would fail as well.
    Fatal(ResultCode),
}

/// Makes one attempt to add the step, unless the store has it. Returns the row that the store has for the step: `row`,
/// or the row of an earlier submission.
fn run_attempt(
    store: &StoreAccess,
    request: &StepRequest,
    row: &StepRow,
    content: &[u8],
) -> Result<StepRow, AttemptError> {
    let key = step_key(&request.trainer, request.step);
    let present = store.row(STEPS_TABLE, &key).map_err(|_| AttemptError::NotApplied)?;
    if let Some(present) = present {
        return decode_row(&present.value).map_err(AttemptError::Fatal);
    }
    (store.put_object)(&row.object, content).map_err(|_| AttemptError::NotApplied)?;
    let writes = build_writes(request, row).map_err(AttemptError::Fatal)?;
    let answer = (store.transact)(&new_writer_token(), vec![row_check(STEPS_TABLE, &key, 0)], writes);
    match answer {
        Ok(answer) if answer.applied => Ok(row.clone()),
        // The transaction was not applied, since another submission came first; the next attempt reads the row that it
        // wrote.
        Ok(_) | Err(StoreCallError::NotSent | StoreCallError::Refused(_)) => Err(AttemptError::NotApplied),
        Err(StoreCallError::AnswerLost | StoreCallError::Malformed) => Err(AttemptError::MayBeApplied),
    }
}

fn build_row(
    organisation: &str,
    request: &StepRequest,
    staleness_bound: u64,
    content: &[u8],
) -> Result<StepRow, ResultCode> {
    let digest = content_digest(content);
    let shards = split_into_shards(&request.groups).len();
    Ok(StepRow {
        organisation: organisation.to_owned(),
        service: request.service.clone(),
        object: format!("steps/{}/{}/{digest}", request.trainer, request.step),
        digest,
        staleness_bound,
        groups: u32::try_from(request.groups.len()).map_err(|_| ResultCode::TooLarge)?,
        samples: request.groups.iter().map(|group| group.samples).sum(),
        shards: u32::try_from(shards).map_err(|_| ResultCode::TooLarge)?,
    })
}

fn build_writes(request: &StepRequest, row: &StepRow) -> Result<Vec<RowWrite>, ResultCode> {
    let mut writes = vec![row_write(STEPS_TABLE, &step_key(&request.trainer, request.step), encode_row(row)?)];
    let open_value = encode_row(&OpenShardRow { service: row.service.clone() })?;
    for shard in 0..row.shards {
        let name = StepShard { trainer: request.trainer.clone(), step: request.step, shard };
        writes.push(row_write(OPEN_SHARDS_TABLE, &name.open_key(), open_value.clone()));
    }
    Ok(writes)
}

/// Accepts the row in the store when it has the organisation and the content of the request.
fn confirm_step(present: &StepRow, row: &StepRow, request: &StepRequest) -> Result<StepAccepted, ResultCode> {
    if present.organisation != row.organisation {
        return Err(ResultCode::WrongOrganisation);
    }
    if present.digest != row.digest {
        return Err(ResultCode::ClaimMismatch);
    }
    Ok(StepAccepted {
        trainer: request.trainer.clone(),
        step: request.step,
        groups: present.groups,
        samples: present.samples,
        shards: present.shards,
    })
}
