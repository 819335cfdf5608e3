//! Intents: the row that names the set of targets before it is ordered.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::samples::step_rows::RESOURCES_TABLE;
use crate::store_client::StoreCallError;
use crate::store_client::store_access::{StoreAccess, new_writer_token, row_check, row_write};

/// Table of intents, by failure domain.
pub const INTENTS_TABLE: &str = "order_intents";

/// Right of an owner to order the targets of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderLease {
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Fencing number.
    pub epoch: LeaseEpoch,
    /// Version of the resource row while this claim holds.
    pub row_version: u64,
}

/// An intent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderIntent {
    /// Number of the intent in its failure domain.
    pub number: u64,
    /// Targets that shall run, sorted.
    pub running: Vec<TargetId>,
    /// Targets of those that get no new work and shall stop when they are idle.
    pub draining: Vec<TargetId>,
    /// Targets that were taken out by a drain and are not back in. Other targets that are out are an operator's.
    pub taken_out: Vec<TargetId>,
}

/// An intent as read; the version is 0 when there is none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundIntent {
    /// Intent.
    pub intent: Option<OrderIntent>,
    /// Version of its row.
    pub version: u64,
}

/// Reads the intent of a failure domain.
///
/// # Errors
///
/// The store gave no result, or the row cannot be read.
pub fn read_intent(store: &StoreAccess, failure_domain: &str) -> Result<FoundIntent, StoreCallError> {
    let Some(row) = store.row(INTENTS_TABLE, failure_domain)? else {
        return Ok(FoundIntent { intent: None, version: 0 });
    };
    let intent = serde_json::from_str(&row.value).map_err(|_| StoreCallError::Malformed)?;
    Ok(FoundIntent { intent: Some(intent), version: row.version })
}

/// Replaces the intent with the given version; returns the new version of its row.
///
/// # Errors
///
/// The store gave no result, another host owns the orders, or the row has changed ([`StoreCallError::Refused`]). The
/// intent must be read again before the next attempt, since this one may have taken effect.
pub fn write_intent(
    store: &StoreAccess,
    claim: &OrderLease,
    intent: &OrderIntent,
    version: u64,
) -> Result<u64, StoreCallError> {
    let value = serde_json::to_string(intent).map_err(|_| StoreCallError::Malformed)?;
    let checks = vec![
        row_check(RESOURCES_TABLE, &format!("orders/{}", claim.failure_domain), claim.row_version),
        row_check(INTENTS_TABLE, &claim.failure_domain, version),
    ];
    let writes = vec![row_write(INTENTS_TABLE, &claim.failure_domain, value)];
    let answer = (store.transact)(&new_writer_token(), checks, writes)?;
    if answer.applied { Ok(version + 1) } else { Err(StoreCallError::Refused(409)) }
}
