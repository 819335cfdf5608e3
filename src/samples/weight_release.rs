//! Release of a weight version of a service. The released version, a row in the store, only increases.

use crate::control::ControlHandle;
use crate::generated::services_text::ServiceKind;
use crate::prelude::*;
use crate::samples::step_rows::{WEIGHTS_TABLE, WeightsRow, encode_row};
use crate::samples::weight_version::present_version;
use crate::store_client::StoreCallError;
use crate::store_client::store_access::{StoreAccess, new_writer_token, row_check, row_write};

/// Most attempts to write a release before the caller is told to ask again.
const MAX_RELEASE_ATTEMPTS: u32 = 4;

/// Delay before the second attempt; it doubles for each further attempt.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Releases a weight version of a service. Does nothing when the version is the released one already.
///
/// # Errors
///
/// - [`ResultCode::NotFound`]: there is no engine service of this name.
/// - [`ResultCode::ConfigurationConflict`]: a newer version is released.
/// - [`ResultCode::StoreUnavailable`]: the release certainly did not take effect.
/// - [`ResultCode::ClaimUnsettled`]: the release may have taken effect.
/// - [`ResultCode::Internal`]: the row could not be encoded.
pub fn release_weights(
    control: &ControlHandle,
    store: &StoreAccess,
    service: &str,
    version: WeightVersion,
) -> Result<(), ResultCode> {
    let view = control.view();
    let is_engine = view.configuration.service(service).is_some_and(|entry| entry.kind == ServiceKind::Engine);
    if !is_engine {
        return Err(ResultCode::NotFound);
    }
    let mut is_unconfirmed = false;
    for attempt in 0..MAX_RELEASE_ATTEMPTS {
        if attempt > 0 {
            std::thread::sleep(RELEASE_RETRY_DELAY * 2_u32.pow(attempt - 1));
        }
        let Ok(present) = present_version(store, service) else { continue };
        if present.version == version && present.row_version > 0 {
            return Ok(());
        }
        if present.version > version {
            return Err(ResultCode::ConfigurationConflict);
        }
        let checks = vec![row_check(WEIGHTS_TABLE, service, present.row_version)];
        let writes = vec![row_write(WEIGHTS_TABLE, service, encode_row(&WeightsRow { version })?)];
        match (store.transact)(&new_writer_token(), checks, writes) {
            Ok(answer) if answer.applied => return Ok(()),
            Ok(_) | Err(StoreCallError::NotSent | StoreCallError::Refused(_)) => {}
            Err(StoreCallError::AnswerLost | StoreCallError::Malformed) => is_unconfirmed = true,
        }
    }
    Err(if is_unconfirmed { ResultCode::ClaimUnsettled } else { ResultCode::StoreUnavailable })
}
