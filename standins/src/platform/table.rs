//! The transactional table service.

use std::collections::BTreeMap;
use std::ops::Bound;

use camphorspring::generated::platform_messages::{
    RowCheck, RowWrite, TableRow, TransactionAnswer, TransactionRequest,
};

/// Most rows in the answer to one scan.
pub(super) const SCAN_LIMIT: usize = 1000;

/// Rows of all tables in order of table and key.
///
/// A deleted row keeps its version and token, so that a version never names two contents of a row and a repeated
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
    value: Option<String>,
    version: u64,
    writer_token: String,
}

impl TableStore {
    pub(super) fn read(&self, table: &str, key: &str) -> Option<TableRow> {
        let name = RowName::new(table, key);
        self.rows.get(&name).and_then(|row| shown_row(&name, row))
    }

    pub(super) fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Vec<TableRow> {
        let start = if after >= prefix {
            Bound::Excluded(RowName::new(table, after))
        } else {
            Bound::Included(RowName::new(table, prefix))
        };
        self.rows
            .range((start, Bound::Unbounded))
            .take_while(|(name, _)| name.table == table && name.key.starts_with(prefix))
            .filter_map(|(name, row)| shown_row(name, row))
            .take(limit)
            .collect()
    }

    /// Applies all writes or none.
    pub(super) fn transact(&mut self, request: &TransactionRequest) -> TransactionAnswer {
        let failed: Vec<&RowCheck> = request.checks.iter().filter(|check| !self.holds(check)).collect();
        if failed.is_empty() {
            for write in &request.writes {
                self.write(write, &request.writer_token);
            }
            return TransactionAnswer { applied: true, conflicts: Vec::new() };
        }
        if !request.writes.is_empty() && request.writes.iter().all(|write| self.is_written(write, request)) {
            return TransactionAnswer { applied: true, conflicts: Vec::new() };
        }
        let conflicts = failed.iter().map(|check| self.present_row(check)).collect();
        TransactionAnswer { applied: false, conflicts }
    }

    fn holds(&self, check: &RowCheck) -> bool {
        self.present_row(check).version == check.version
    }

    /// Whether a row was last written by the same transaction: a repeat after a lost answer.
    fn is_written(&self, write: &RowWrite, request: &TransactionRequest) -> bool {
        let row = self.rows.get(&RowName::new(&write.table, &write.key));
        row.is_some_and(|row| row.writer_token == request.writer_token)
    }

    fn present_row(&self, check: &RowCheck) -> TableRow {
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

fn shown_row(name: &RowName, row: &StoredRow) -> Option<TableRow> {
    let value = row.value.clone()?;
    Some(TableRow {
        table: name.table.clone(),
        key: name.key.clone(),
        value,
        version: row.version,
        writer_token: row.writer_token.clone(),
    })
}
