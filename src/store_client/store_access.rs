//! Access to the table service and object store through functions, so that tests can inject a fault at every call.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use rand::TryRng;
use rand::rngs::SysRng;

use crate::generated::platform_messages::{RowCheck, RowWrite, TableRow, TransactionAnswer};
use crate::prelude::*;
use crate::store_client::{StoreCallError, StoreClient};

/// Function that reads one row by table and key.
pub type RowReader = Arc<dyn Fn(&str, &str) -> Result<Option<TableRow>, StoreCallError> + Send + Sync>;

/// Function that reads rows by table, key prefix, last key seen and limit.
pub type RowScanner = Arc<dyn Fn(&str, &str, &str, usize) -> Result<Vec<TableRow>, StoreCallError> + Send + Sync>;

/// Function that applies a transaction under a writer token.
pub type Transactor =
    Arc<dyn Fn(&str, Vec<RowCheck>, Vec<RowWrite>) -> Result<TransactionAnswer, StoreCallError> + Send + Sync>;

/// Function that stores an object unless it exists.
pub type ObjectWriter = Arc<dyn Fn(&str, &[u8]) -> Result<(), StoreCallError> + Send + Sync>;

/// Function that reads an object.
pub type ObjectReader = Arc<dyn Fn(&str) -> Result<Option<Vec<u8>>, StoreCallError> + Send + Sync>;

/// Writer token that no other transaction has: a random number of this process and a counter.
///
/// A repeat of a transaction after a lost answer uses the token of the first attempt.
#[must_use]
pub fn new_writer_token() -> String {
    static PROCESS: OnceLock<u64> = OnceLock::new();
    static COUNTER: AtomicU64 = AtomicU64::new(0);
    // Without system randomness the boot-time clock has to do; two processes hardly start in the same nanosecond.
    let process = PROCESS.get_or_init(|| SysRng.try_next_u64().unwrap_or_else(|_| fold_time(boot_time())));
    format!("{process:016x}-{}", COUNTER.fetch_add(1, Ordering::Relaxed))
}

fn fold_time(time: BootTime) -> u64 {
    time.as_secs() << 32 | u64::from(time.subsec_nanos())
}

/// Rows that one scan call asks for.
const SCAN_PAGE: usize = 200;

/// The store as a set of functions.
#[derive(Clone)]
pub struct StoreAccess {
    /// Reads a row.
    pub read_row: RowReader,
    /// Reads rows in key order.
    pub scan_rows: RowScanner,
    /// Applies a transaction.
    pub transact: Transactor,
    /// Stores an object.
    pub put_object: ObjectWriter,
    /// Reads an object.
    pub get_object: ObjectReader,
}

impl StoreAccess {
    /// Access through the platform's client.
    #[must_use]
    pub fn of_client(client: &StoreClient) -> Self {
        let (rows, scans, writes) = (client.clone(), client.clone(), client.clone());
        let (puts, gets) = (client.clone(), client.clone());
        Self {
            read_row: Arc::new(move |table, key| rows.read_row(table, key)),
            scan_rows: Arc::new(move |table, prefix, after, limit| scans.scan_rows(table, prefix, after, limit)),
            transact: Arc::new(move |token, checks, changes| writes.transact(token, checks, changes)),
            put_object: Arc::new(move |key, content| puts.put_object(key, content)),
            get_object: Arc::new(move |key| gets.get_object(key)),
        }
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// The store gave no result.
    pub fn row(&self, table: &str, key: &str) -> Result<Option<TableRow>, StoreCallError> {
        (self.read_row)(table, key)
    }

    /// Reads all rows under a prefix, page by page.
    ///
    /// # Errors
    ///
    /// The store gave no result for one of the pages.
    pub fn all_rows(&self, table: &str, prefix: &str) -> Result<Vec<TableRow>, StoreCallError> {
        let mut rows: Vec<TableRow> = Vec::new();
        loop {
            let after = rows.last().map_or(String::new(), |row| row.key.clone());
            let page = (self.scan_rows)(table, prefix, &after, SCAN_PAGE)?;
            let is_last = page.is_empty();
            rows.extend(page);
            if is_last {
                return Ok(rows);
            }
        }
    }
}

/// Condition that a row has this version; 0 requires its absence.
#[must_use]
pub fn row_check(table: &str, key: &str, version: u64) -> RowCheck {
    RowCheck { table: table.to_owned(), key: key.to_owned(), version }
}

/// Write of a row.
#[must_use]
pub fn row_write(table: &str, key: &str, value: String) -> RowWrite {
    RowWrite { table: table.to_owned(), key: key.to_owned(), value: Some(value) }
}

/// Deletion of a row.
#[must_use]
pub fn row_delete(table: &str, key: &str) -> RowWrite {
    RowWrite { table: table.to_owned(), key: key.to_owned(), value: None }
}
