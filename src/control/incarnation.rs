//! Incarnation of a host process: a number that tells it from earlier processes of the host. It
//! increases with each start, unless the store is down and the wall clock went back.
//!
//! The upper 32 bits are the wall clock in seconds, or one more than the value of the last process in the row
//! `incarnations/{host}` if that is greater. The lower 32 bits are random, so that two processes differ even if the
//! upper bits are equal. While the store is down, the upper 32 bits are the wall clock alone. Incarnations are compared
//! only with others of the same host, so a wrong clock only delays the moment at which the peers accept the new process
//! instead of the earlier one.

use std::time::{SystemTime, UNIX_EPOCH};

use rand::TryRng;
use rand::rngs::SysRng;
use serde::{Deserialize, Serialize};

use crate::control::store_call::{INCARNATION_TABLE, row_check, row_write};
use crate::prelude::*;
use crate::store_client::StoreClient;

/// Attempts to advance the row before the wall clock alone is used.
const MAX_ROW_ATTEMPTS: u32 = 3;

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct StartRow {
    /// Upper 32 bits of the incarnation of the last process.
    order: u32,
}

/// Allocates the incarnation of this process. Blocks during up to three attempts, of two
/// store calls each.
#[must_use]
pub fn allocate_incarnation(client: &StoreClient, host: &str) -> Incarnation {
    let random = SysRng.try_next_u32().unwrap_or_else(|_| std::process::id());
    let clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let clock = u32::try_from(clock).unwrap_or(u32::MAX);
    let order = (0..MAX_ROW_ATTEMPTS).find_map(|_| advance_row(client, host, clock, random)).unwrap_or(clock);
    (u64::from(order) << 32) | u64::from(random)
}

/// Writes the next upper half to the row and returns it; `None` if a store call fails or the row
/// was changed meanwhile.
fn advance_row(client: &StoreClient, host: &str, clock: u32, random: u32) -> Option<u32> {
    let row = client.read_row(INCARNATION_TABLE, host).ok()?;
    let last = row.as_ref().and_then(|row| serde_json::from_str::<StartRow>(&row.value).ok());
    let order = last.map_or(clock, |last| clock.max(last.order.saturating_add(1)));
    let version = row.map_or(0, |row| row.version);
    let checks = vec![row_check(INCARNATION_TABLE, host, version)];
    let writes = vec![row_write(INCARNATION_TABLE, host, &StartRow { order })];
    let answer = client.transact(&format!("{host}.start.{random:x}"), checks, writes).ok()?;
    answer.applied.then_some(order)
}
