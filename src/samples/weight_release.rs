//! Releasing a weight version: the row of the service's version only increases.

use crate::control::ControlHandle;
use crate::generated::services_text::ServiceKind;
use crate::prelude::*;
use crate::samples::step_rows::{WEIGHTS_TABLE, WeightsRow, encode_row};
use crate::samples::weight_version::present_version;
use crate::store_client::StoreCallError;
use crate::store_client::store_access::{StoreAccess, new_writer_token, row_check, row_write};

/// Attempts to settle a release before the caller is told to ask again.
const RELEASE_ATTEMPTS: u32 = 4;

/// Pause before the second attempt; it doubles for each further one.
const RELEASE_PAUSE: Duration = Duration::from_millis(100);

/// Makes a version the present one of a service. A release of the present version changes nothing.
///
/// # Errors
///
/// [`ResultCode::NotFound`] when there is no such engine service, [`ResultCode::ConfigurationConflict`] when a newer
/// version is present, [`ResultCode::StoreUnavailable`] when the release certainly did not take effect, and
/// [`ResultCode::ClaimUnsettled`] when that is not known.
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
    let mut unsettled = false;
    for attempt in 0..RELEASE_ATTEMPTS {
        if attempt > 0 {
            std::thread::sleep(RELEASE_PAUSE * 2_u32.pow(attempt - 1));
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
            Err(StoreCallError::AnswerLost | StoreCallError::Malformed) => unsettled = true,
        }
    }
    Err(if unsettled { ResultCode::ClaimUnsettled } else { ResultCode::StoreUnavailable })
}
