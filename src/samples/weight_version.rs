//! The present weight version of a service, which is the newest released one, and whether samples are too old for it.

use crate::prelude::*;
use crate::samples::step_rows::{WEIGHTS_TABLE, WeightsRow, decode_row};
use crate::store_client::StoreCallError;
use crate::store_client::store_access::StoreAccess;

/// The present weight version of a service, as read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PresentVersion {
    /// Weight version; 0 before the first release.
    pub version: WeightVersion,
    /// Version of the store row, for conditional writes; 0 when there is no row.
    pub row_version: u64,
}

/// Reads the present weight version of a service.
///
/// # Errors
///
/// The store gave no result, or the row cannot be read.
pub fn present_version(store: &StoreAccess, service: &str) -> Result<PresentVersion, StoreCallError> {
    let Some(row) = store.row(WEIGHTS_TABLE, service)? else {
        return Ok(PresentVersion { version: 0, row_version: 0 });
    };
    let value: WeightsRow = decode_row(&row.value).map_err(|_| StoreCallError::Malformed)?;
    Ok(PresentVersion { version: value.version, row_version: row.version })
}

/// Whether text whose oldest token was made with version `oldest` is more than `staleness_bound` versions behind the
/// `present` version; text without a version is never stale.
#[must_use]
pub fn is_stale(oldest: Option<WeightVersion>, present: WeightVersion, staleness_bound: u64) -> bool {
    oldest.is_some_and(|oldest| present.saturating_sub(oldest) > staleness_bound)
}
