//! Table service and object store as a set of functions, so that tests can inject a fault at every call.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use rand::TryRng;
use rand::rngs::SysRng;

use crate::generated::platform_messages::{RowCheck, RowWrite, TableRow, TransactionAnswer};
use crate::prelude::*;
use crate::store_client::{StoreCallError, StoreClient};

/// Function that reads one row by table and key; `None` when the row does not exist.
pub type RowReader = Arc<dyn Fn(&str, &str) -> Result<Option<TableRow>, StoreCallError> + Send + Sync>;

/// Function that reads rows in key order, by table, key prefix, last key read before, and maximum number of rows.
pub type RowScanner = Arc<dyn Fn(&str, &str, &str, usize) -> Result<Vec<TableRow>, StoreCallError> + Send + Sync>;

/// Function that applies writes under a writer token if all checks hold.
pub type Transactor =
    Arc<dyn Fn(&str, Vec<RowCheck>, Vec<RowWrite>) -> Result<TransactionAnswer, StoreCallError> + Send + Sync>;

/// Function that stores an object by key; an existing object is left unchanged.
pub type ObjectWriter = Arc<dyn Fn(&str, &[u8]) -> Result<(), StoreCallError> + Send + Sync>;

/// Function that reads an object by key; `None` when the object does not exist.
pub type ObjectReader = Arc<dyn Fn(&str) -> Result<Option<Vec<u8>>, StoreCallError> + Send + Sync>;

/// Creates a writer token that no other transaction has, from a random number of this process and a counter.
///
/// An attempt that repeats a transaction after a lost answer uses the token of the first attempt.
#[must_use]
pub fn new_writer_token() -> String {
    static PROCESS_NUMBER: OnceLock<u64> = OnceLock::new();
    static COUNTER: AtomicU64 = AtomicU64::new(0);
    // If system randomness is unavailable, the boot-time clock is used instead. Two processes are unlikely to read the
    // same nanosecond.
    let process = PROCESS_NUMBER.get_or_init(|| SysRng.try_next_u64().unwrap_or_else(|_| pack_time(boot_time())));
    format!("{process:016x}-{}", COUNTER.fetch_add(1, Ordering::Relaxed))
}

/// Packs the seconds and nanoseconds of a time into one number.
fn pack_time(time: BootTime) -> u64 {
    time.as_secs() << 32 | u64::from(time.subsec_nanos())
}

/// Maximum number of rows that one scan call returns.
const SCAN_PAGE_ROWS: usize = 200;

/// Functions that access the table service and the object store.
#[derive(Clone)]
pub struct StoreAccess {
    /// Reads one row, as [`StoreClient::read_row`] does.
    pub read_row: RowReader,
    /// Reads one page of rows, as [`StoreClient::scan_rows`] does.
    pub scan_rows: RowScanner,
    /// Applies writes if all checks hold, as [`StoreClient::transact`] does.
    pub transact: Transactor,
    /// Stores an object unless its key exists, as [`StoreClient::put_object`] does.
    pub put_object: ObjectWriter,
    /// Reads a whole object, as [`StoreClient::get_object`] does.
    pub get_object: ObjectReader,
}

impl StoreAccess {
    /// Creates the functions that call the platform through `client`.
    #[must_use]
    pub fn of_client(client: &StoreClient) -> Self {
        let (row_client, scan_client, write_client) = (client.clone(), client.clone(), client.clone());
        let (put_client, get_client) = (client.clone(), client.clone());
        Self {
            read_row: Arc::new(move |table, key| row_client.read_row(table, key)),
            scan_rows: Arc::new(move |table, prefix, after, limit| scan_client.scan_rows(table, prefix, after, limit)),
            transact: Arc::new(move |token, checks, writes| write_client.transact(token, checks, writes)),
            put_object: Arc::new(move |key, content| put_client.put_object(key, content)),
            get_object: Arc::new(move |key| get_client.get_object(key)),
        }
    }

    /// Reads a row; `None` when the row does not exist.
    ///
    /// # Errors
    ///
    /// Any [`StoreCallError`].
    pub fn row(&self, table: &str, key: &str) -> Result<Option<TableRow>, StoreCallError> {
        (self.read_row)(table, key)
    }

    /// Reads all rows with keys that start with `prefix`, page by page, in key order.
    ///
    /// # Errors
    ///
    /// Any [`StoreCallError`] of a page; the rows read until then are dropped.
    pub fn all_rows(&self, table: &str, prefix: &str) -> Result<Vec<TableRow>, StoreCallError> {
        let mut rows: Vec<TableRow> = Vec::new();
        loop {
            let after = rows.last().map_or(String::new(), |row| row.key.clone());
            let page = (self.scan_rows)(table, prefix, &after, SCAN_PAGE_ROWS)?;
            let is_last = page.is_empty();
            rows.extend(page);
            if is_last {
                return Ok(rows);
            }
        }
    }
}

/// Condition that a row has this version; 0 when the row must not exist.
#[must_use]
pub fn row_check(table: &str, key: &str, version: u64) -> RowCheck {
    RowCheck { table: table.to_owned(), key: key.to_owned(), version }
}

/// Write that creates a row or replaces its value.
#[must_use]
pub fn row_write(table: &str, key: &str, value: String) -> RowWrite {
    RowWrite { table: table.to_owned(), key: key.to_owned(), value: Some(value) }
}

/// Write without a value, which deletes the row.
#[must_use]
pub fn row_delete(table: &str, key: &str) -> RowWrite {
    RowWrite { table: table.to_owned(), key: key.to_owned(), value: None }
}
