//! Incarnation of a host process.
//!
//! The upper 32 bits order the lives of one host, the lower 32 bits are random, so that a later life never equals an
//! earlier one. The order comes from the row `incarnations/{host}`; while the store is down it is the wall clock, which
//! is only compared with earlier lives of the same host, and on which nothing but the speed of their replacement
//! depends.

use std::time::{SystemTime, UNIX_EPOCH};

use rand::TryRng;
use rand::rngs::SysRng;
use serde::{Deserialize, Serialize};

use crate::control::store_call::{INCARNATION_TABLE, row_check, row_write};
use crate::prelude::*;
use crate::store_client::StoreClient;

/// Tries to advance the row before the wall clock is used.
const ROW_TRIES: u32 = 3;

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct StartRow {
    order: u32,
}

/// Draws the incarnation of this process.
#[must_use]
pub fn allocate_incarnation(client: &StoreClient, host: &str) -> Incarnation {
    let random = SysRng.try_next_u32().unwrap_or_else(|_| std::process::id());
    let clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let clock = u32::try_from(clock).unwrap_or(u32::MAX);
    let order = (0..ROW_TRIES).find_map(|_| advance_row(client, host, clock, random)).unwrap_or(clock);
    (u64::from(order) << 32) | u64::from(random)
}

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
