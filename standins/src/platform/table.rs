//! Table service of the platform: rows with versions, conditional transactions and scans.

use std::collections::BTreeMap;
use std::ops::Bound;

use camphorspring::generated::platform_messages::{
    RowCheck, RowWrite, TableRow, TransactionAnswer, TransactionRequest,
};

/// Maximum number of rows in the response to one scan.
pub(super) const MAX_SCAN_ROWS: usize = 1000;

/// Rows of all tables in order of table and key.
///
/// A deleted row keeps its version and writer token, so that no version of a row is used for two values and a repeated
/// delete is recognised.
#[derive(Debug, Default)]
pub(super) struct TableStore {
    rows: BTreeMap<RowName, StoredRow>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RowName {
    table: String,
    key: String,
}

impl RowName {
    fn new(table: &str, key: &str) -> Self {
        Self { table: table.to_owned(), key: key.to_owned() }
    }
}

#[derive(Debug)]
struct StoredRow {
    /// `None` when the row is deleted.
    value: Option<String>,
    /// Number of writes and deletions of the row.
    version: u64,
    /// Token of the transaction that wrote or deleted the row last.
    writer_token: String,
}

impl TableStore {
    /// Returns a row; `None` when it is absent or deleted.
    pub(super) fn read(&self, table: &str, key: &str) -> Option<TableRow> {
        let name = RowName::new(table, key);
        self.rows.get(&name).and_then(|row| to_table_row(&name, row))
    }

    /// Returns up to `limit` rows in key order whose keys start with `prefix` and are greater than `after`.
    pub(super) fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Vec<TableRow> {
        let start = if after >= prefix {
            Bound::Excluded(RowName::new(table, after))
        } else {
            Bound::Included(RowName::new(table, prefix))
        };
        self.rows
            .range((start, Bound::Unbounded))
            .take_while(|(name, _)| name.table == table && name.key.starts_with(prefix))
            .filter_map(|(name, row)| to_table_row(name, row))
            .take(limit)
            .collect()
    }

    /// Applies all writes when all checks hold, otherwise none.
    ///
    /// When a check fails but all rows to write were last written with the writer token of this request, as in a retry
    /// after a lost response, the transaction counts as applied. Otherwise the conflicts are the current rows of the
    /// failed checks.
    pub(super) fn transact(&mut self, request: &TransactionRequest) -> TransactionAnswer {
        let failed: Vec<&RowCheck> = request.checks.iter().filter(|check| !self.is_satisfied(check)).collect();
        if failed.is_empty() {
            for write in &request.writes {
                self.write(write, &request.writer_token);
            }
            return TransactionAnswer { applied: true, conflicts: Vec::new() };
        }
        if !request.writes.is_empty() && request.writes.iter().all(|write| self.is_last_written_by(write, request)) {
            return TransactionAnswer { applied: true, conflicts: Vec::new() };
        }
        let conflicts = failed.iter().map(|check| self.current_row(check)).collect();
        TransactionAnswer { applied: false, conflicts }
    }

    /// Returns whether a row still has the expected version; 0 means that the row is absent or deleted.
    fn is_satisfied(&self, check: &RowCheck) -> bool {
        self.current_row(check).version == check.version
    }

    /// Returns whether the row of `write` was last written with the writer token of this transaction.
    fn is_last_written_by(&self, write: &RowWrite, request: &TransactionRequest) -> bool {
        let row = self.rows.get(&RowName::new(&write.table, &write.key));
        row.is_some_and(|row| row.writer_token == request.writer_token)
    }

    /// Returns the row of a check, with version 0 and an empty value when it is absent or deleted.
    fn current_row(&self, check: &RowCheck) -> TableRow {
        self.read(&check.table, &check.key).unwrap_or_else(|| TableRow {
            table: check.table.clone(),
            key: check.key.clone(),
            value: String::new(),
            version: 0,
            writer_token: String::new(),
        })
    }

    fn write(&mut self, write: &RowWrite, writer_token: &str) {
        let name = RowName::new(&write.table, &write.key);
        let version = self.rows.get(&name).map_or(0, |row| row.version) + 1;
        let row = StoredRow { value: write.value.clone(), version, writer_token: writer_token.to_owned() };
        self.rows.insert(name, row);
    }
}

/// Returns a row as clients see it; `None` when it is deleted.
fn to_table_row(name: &RowName, row: &StoredRow) -> Option<TableRow> {
    let value = row.value.clone()?;
    Some(TableRow {
        table: name.table.clone(),
        key: name.key.clone(),
        value,
        version: row.version,
        writer_token: row.writer_token.clone(),
    })
}
