//! The present weight version of a service and the age of samples.

use crate::prelude::*;
use crate::samples::step_rows::{WEIGHTS_TABLE, WeightsRow, decode_row};
use crate::store_client::StoreCallError;
use crate::store_client::store_access::StoreAccess;

/// Present version as read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PresentVersion {
    /// Version; 0 before the first release.
    pub version: WeightVersion,
    /// Version of the row, for conditional writes.
    pub row_version: u64,
}

/// Reads the present version of a service.
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

/// Whether text of this version is older than the bound allows.
#[must_use]
pub fn is_stale(oldest: Option<WeightVersion>, present: WeightVersion, bound: u64) -> bool {
    oldest.is_some_and(|oldest| present.saturating_sub(oldest) > bound)
}
