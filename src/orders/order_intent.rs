//! Order intents. The owner of target orders names each set of targets in a row of the store before it orders the set.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::samples::step_rows::RESOURCES_TABLE;
use crate::store_client::StoreCallError;
use crate::store_client::store_access::{StoreAccess, new_writer_token, row_check, row_write};

/// Table of order intents; the key is the failure domain.
pub const INTENTS_TABLE: &str = "order_intents";

/// Lease under which a host may order the targets of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderLease {
    /// Failure domain whose targets the host may order.
    pub failure_domain: DomainId,
    /// Epoch of the ownership; the fencing number of the orders.
    pub epoch: LeaseEpoch,
    /// Version that the resource row has while the host is the owner.
    pub row_version: u64,
}

/// Targets that shall run in a failure domain, with the state of their drains.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderIntent {
    /// Counts the intents of the failure domain from 1. The value 0 is never stored.
    pub number: u64,
    /// Targets that shall run, draining ones included, sorted.
    pub running: Vec<TargetId>,
    /// Those of `running` that get no new work and shall stop when they are idle.
    pub draining: Vec<TargetId>,
    /// Targets that a drain took out of rotation, until they run and have been back in rotation for some time, sorted.
    /// Any other target that is out of rotation was taken out by an operator.
    pub taken_out: Vec<TargetId>,
}

/// Result of reading the order intent of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundIntent {
    /// `None` when the failure domain has no intent yet.
    pub intent: Option<OrderIntent>,
    /// Version of the row; 0 when there is none.
    pub version: u64,
}

/// Reads the order intent of a failure domain.
///
/// # Errors
///
/// Any [`StoreCallError`] of the read, and [`StoreCallError::Malformed`] also when the value of the row is unreadable.
pub fn read_intent(store: &StoreAccess, failure_domain: &str) -> Result<FoundIntent, StoreCallError> {
    let Some(row) = store.row(INTENTS_TABLE, failure_domain)? else {
        return Ok(FoundIntent { intent: None, version: 0 });
    };
    let intent = serde_json::from_str(&row.value).map_err(|_| StoreCallError::Malformed)?;
    Ok(FoundIntent { intent: Some(intent), version: row.version })
}

/// Replaces the intent whose row has `version` (0 for no row); returns the new version of the row.
///
/// # Errors
///
/// [`StoreCallError::Refused`] when the ownership or the row has changed, and any [`StoreCallError`] of the write. The
/// intent must be read again before the next attempt, since this one may have taken effect.
pub fn write_intent(
    store: &StoreAccess,
    lease: &OrderLease,
    intent: &OrderIntent,
    version: u64,
) -> Result<u64, StoreCallError> {
    let value = serde_json::to_string(intent).map_err(|_| StoreCallError::Malformed)?;
    let checks = vec![
        row_check(RESOURCES_TABLE, &format!("orders/{}", lease.failure_domain), lease.row_version),
        row_check(INTENTS_TABLE, &lease.failure_domain, version),
    ];
    let writes = vec![row_write(INTENTS_TABLE, &lease.failure_domain, value)];
    let answer = (store.transact)(&new_writer_token(), checks, writes)?;
    if answer.applied { Ok(version + 1) } else { Err(StoreCallError::Refused(409)) }
}
