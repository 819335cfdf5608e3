//! In-memory store of a simulated cluster: rows, objects and the host list.

use std::collections::BTreeMap;

use camphorspring::control::configuration_snapshot::encode_snapshot;
use camphorspring::control::store_call::{StoreAnswer, StoreCall, snapshot_object};
use camphorspring::generated::platform_messages::{HostRecord, RowCheck, RowWrite, TableRow, TransactionAnswer};

/// Smallest limit of a scan; a smaller limit of the caller is raised to this.
const MIN_SCAN_ROWS: usize = 50;

#[derive(Debug, Default)]
pub struct SimStore {
    rows: BTreeMap<(String, String), TableRow>,
    objects: BTreeMap<String, Vec<u8>>,
    pub hosts: Vec<HostRecord>,
}

impl SimStore {
    /// Applies a call. Unlike the platform stand-in, this store does not recognise a repeated transaction by the token.
    pub fn execute(&mut self, call: &StoreCall) -> StoreAnswer {
        match call {
            StoreCall::ReadRow { table, key } => StoreAnswer::Row(self.read(table, key)),
            StoreCall::ScanRows { table, after, limit } => {
                let start = ((*table).to_owned(), after.clone());
                let rows = self.rows.range(start.clone()..).filter(|(name, _)| name.0 == *table && **name != start);
                StoreAnswer::Rows(rows.take((*limit).max(MIN_SCAN_ROWS)).map(|(_, row)| row.clone()).collect())
            }
            StoreCall::Transact { token, checks, writes } => {
                StoreAnswer::Transaction(self.transact(token, checks, writes))
            }
            StoreCall::GetObject(key) => StoreAnswer::Object(self.objects.get(key).cloned()),
            StoreCall::PutSnapshot(configuration) => {
                let key = snapshot_object(configuration.version);
                self.objects.entry(key).or_insert_with(|| encode_snapshot(configuration));
                StoreAnswer::Stored
            }
            StoreCall::ListHosts => StoreAnswer::Hosts(self.hosts.clone()),
        }
    }

    pub fn read(&self, table: &str, key: &str) -> Option<TableRow> {
        self.rows.get(&(table.to_owned(), key.to_owned())).cloned()
    }

    pub fn count_rows(&self, table: &str) -> usize {
        self.rows.keys().filter(|(known, _)| known == table).count()
    }

    pub fn transact(&mut self, token: &str, checks: &[RowCheck], writes: &[RowWrite]) -> TransactionAnswer {
        let current_rows: Vec<(u64, TableRow)> =
            checks.iter().map(|check| (check.version, self.read_or_absent(&check.table, &check.key))).collect();
        let conflicts: Vec<TableRow> =
            current_rows.into_iter().filter(|(version, row)| row.version != *version).map(|(_, row)| row).collect();
        if !conflicts.is_empty() {
            return TransactionAnswer { applied: false, conflicts };
        }
        for write in writes {
            let mut row = self.read_or_absent(&write.table, &write.key);
            row.version += 1;
            row.value = write.value.clone().unwrap_or_default();
            token.clone_into(&mut row.writer_token);
            self.rows.insert((write.table.clone(), write.key.clone()), row);
        }
        TransactionAnswer { applied: true, conflicts }
    }

    fn read_or_absent(&self, table: &str, key: &str) -> TableRow {
        self.read(table, key).unwrap_or_else(|| TableRow {
            table: table.to_owned(),
            key: key.to_owned(),
            value: String::new(),
            version: 0,
            writer_token: String::new(),
        })
    }
}
