//! Calls to the platform's store, made by helper threads: commands go out, reports come back as events.

use crate::generated::platform_messages::{HostRecord, RowCheck, RowWrite, TableRow, TransactionAnswer};
use crate::prelude::*;
pub use crate::store_client::store_access::row_check;
use crate::store_client::{StoreCallError, StoreClient};

/// Table of the configuration log; its keys are versions of twelve digits.
pub const CONFIGURATION_TABLE: &str = "config_log";
/// Table with the row that names the newest configuration snapshot.
pub const SNAPSHOT_TABLE: &str = "config_snapshot";
/// Table of withdrawn keys.
pub const WITHDRAWN_TABLE: &str = "withdrawn";
/// Table with the row that sums up the withdrawn keys, so that a poll need not read them all.
pub const WITHDRAWN_MARK_TABLE: &str = "withdrawn_mark";
/// Table of granted keys.
pub const KEY_TABLE: &str = "keys";
/// Table of host sessions.
pub const SESSION_TABLE: &str = "sessions";
/// Table of resources.
pub const RESOURCE_TABLE: &str = "resources";
/// Table of host start orders.
pub const INCARNATION_TABLE: &str = "incarnations";
/// Key of the only row of [`SNAPSHOT_TABLE`] and [`WITHDRAWN_MARK_TABLE`].
pub const SINGLETON_ROW_KEY: &str = "all";

/// Key of a configuration version.
#[must_use]
pub fn version_key(version: ConfigurationVersion) -> String {
    format!("{version:012}")
}

/// Object that holds the snapshot of a configuration version.
#[must_use]
pub fn snapshot_object(version: ConfigurationVersion) -> String {
    format!("config_snapshot/{version:012}")
}

/// One call.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreCall {
    /// Reads a row.
    ReadRow {
        /// Table.
        table: &'static str,
        /// Key.
        key: String,
    },
    /// Reads rows in key order.
    ScanRows {
        /// Table.
        table: &'static str,
        /// Keys greater than this one.
        after: String,
        /// Most rows.
        limit: usize,
    },
    /// Applies writes if checks hold.
    Transact {
        /// Writer token.
        token: String,
        /// Conditions.
        checks: Vec<RowCheck>,
        /// Writes.
        writes: Vec<RowWrite>,
    },
    /// Reads an object.
    GetObject(String),
    /// Stores the snapshot object of a configuration. It is encoded on the helper thread.
    PutSnapshot(Arc<crate::control::configuration::Configuration>),
    /// Reads the host list.
    ListHosts,
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreAnswer {
    /// Row, if present.
    Row(Option<TableRow>),
    /// Rows.
    Rows(Vec<TableRow>),
    /// Outcome of a transaction.
    Transaction(TransactionAnswer),
    /// Object, if present.
    Object(Option<Vec<u8>>),
    /// Stored.
    Stored,
    /// Host list.
    Hosts(Vec<HostRecord>),
}

/// What a call is for; the report repeats it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StorePurpose {
    /// Host list.
    HostList,
    /// Step of the poll.
    Poll,
    /// Newest snapshot of the configuration log.
    Snapshot,
    /// Row of a withdrawn key.
    WithdrawnWrite(KeyId),
    /// Own session.
    Session,
    /// Row of a resource.
    ResourceRead(String),
    /// Session of a resource's owner.
    OwnerRead(String),
    /// Claim of a resource.
    ResourceClaim(String),
    /// Release of a resource; its outcome is not needed.
    ResourceRelease,
}

impl StorePurpose {
    /// Helper thread that makes the call.
    #[must_use]
    pub fn lane(&self) -> StoreLane {
        match self {
            Self::HostList | Self::Poll | Self::Snapshot => StoreLane::Poll,
            Self::Session => StoreLane::Session,
            _ => StoreLane::Resource,
        }
    }
}

/// Helper threads. Each call may take [`PLATFORM_CALL_TIMEOUT`], so what must not wait has a thread of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreLane {
    /// Polls and snapshots.
    Poll,
    /// Renewals of the session, on which all leases depend.
    Session,
    /// Resources and withdrawals.
    Resource,
}

/// Call with its purpose.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreCommand {
    /// Purpose.
    pub purpose: StorePurpose,
    /// Call.
    pub call: StoreCall,
}

/// Result of a command.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreReport {
    /// Purpose of the command.
    pub purpose: StorePurpose,
    /// Time just before the call was made.
    pub started_at: BootTime,
    /// Result.
    pub outcome: Result<StoreAnswer, StoreCallError>,
}

/// Makes a call; blocks until the platform answers or its time limit ends.
///
/// # Errors
///
/// The platform gave no result.
pub fn execute_call(client: &StoreClient, call: StoreCall) -> Result<StoreAnswer, StoreCallError> {
    match call {
        StoreCall::ReadRow { table, key } => client.read_row(table, &key).map(StoreAnswer::Row),
        StoreCall::ScanRows { table, after, limit } => {
            client.scan_rows(table, "", &after, limit).map(StoreAnswer::Rows)
        }
        StoreCall::Transact { token, checks, writes } => {
            client.transact(&token, checks, writes).map(StoreAnswer::Transaction)
        }
        StoreCall::GetObject(key) => client.get_object(&key).map(StoreAnswer::Object),
        StoreCall::PutSnapshot(configuration) => {
            let bytes = crate::control::configuration_snapshot::encode_snapshot(&configuration);
            client.put_object(&snapshot_object(configuration.version), &bytes).map(|()| StoreAnswer::Stored)
        }
        StoreCall::ListHosts => client.list_hosts().map(|list| StoreAnswer::Hosts(list.hosts)),
    }
}

/// Write of a row whose value is the JSON text of `value`.
#[must_use]
pub fn row_write(table: &str, key: &str, value: &impl serde::Serialize) -> RowWrite {
    RowWrite { table: table.to_owned(), key: key.to_owned(), value: serde_json::to_string(value).ok() }
}
