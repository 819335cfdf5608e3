//! Calls to the platform's store that the control thread leaves to helper threads: a [`StoreCommand`] goes out, a
//! [`StoreReport`] comes back as an event.

use crate::generated::platform_messages::{HostRecord, RowCheck, RowWrite, TableRow, TransactionAnswer};
use crate::prelude::*;
pub use crate::store_client::store_access::row_check;
use crate::store_client::{StoreCallError, StoreClient};

/// Table of the configuration log; the keys come from [`version_key`].
pub const CONFIGURATION_TABLE: &str = "config_log";
/// Table with the row that names the newest configuration snapshot.
pub const SNAPSHOT_TABLE: &str = "config_snapshot";
/// Table of withdrawn keys, one row for each key id.
pub const WITHDRAWN_TABLE: &str = "withdrawn";
/// Table with the summary row of the withdrawn keys, their hash and count, so that a poll need not read them all.
pub const WITHDRAWN_SUMMARY_TABLE: &str = "withdrawn_mark";
/// Table of granted keys, one row for each key id.
pub const KEY_TABLE: &str = "keys";
/// Table of host sessions, one row for each host that wanted or owned a resource.
pub const SESSION_TABLE: &str = "sessions";
/// Table of resources, which one host at a time owns by a lease, such as `orders/north`; a row has owner and epoch.
pub const RESOURCE_TABLE: &str = "resources";
/// Table with one row for each host: a number that rises with each start, which gives the order of its incarnations.
pub const INCARNATION_TABLE: &str = "incarnations";
/// Key of the only row of [`SNAPSHOT_TABLE`] and [`WITHDRAWN_SUMMARY_TABLE`].
pub const SINGLETON_ROW_KEY: &str = "all";

/// Key of a version in [`CONFIGURATION_TABLE`]: twelve digits, so that the order of the keys is that of the versions.
#[must_use]
pub fn version_key(version: ConfigurationVersion) -> String {
    format!("{version:012}")
}

/// Key of the object that holds the snapshot of a configuration version.
#[must_use]
pub fn snapshot_object(version: ConfigurationVersion) -> String {
    format!("config_snapshot/{version:012}")
}

/// Call to the store or the host list.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreCall {
    /// Reads a single row, which may be absent.
    ReadRow {
        /// Table name, one of the constants of this module.
        table: &'static str,
        /// Complete key; it is no prefix.
        key: String,
    },
    /// Reads several rows in key order.
    ScanRows {
        /// Table name, one of the constants of this module.
        table: &'static str,
        /// Key before the first row, so that only greater keys are read; empty for all.
        after: String,
        /// Greatest number of rows to read.
        limit: usize,
    },
    /// Applies all writes if all checks hold, otherwise none.
    Transact {
        /// Token that the written rows keep, by which a writer recognises its own rows.
        token: String,
        /// Versions that rows must have; 0 for an absent row.
        checks: Vec<RowCheck>,
        /// Rows to write or delete.
        writes: Vec<RowWrite>,
    },
    /// Reads the object with this key, which may be absent.
    GetObject(String),
    /// Encodes a configuration on the helper thread and stores it as a snapshot object.
    PutSnapshot(Arc<crate::control::configuration::Configuration>),
    /// Reads the platform's list of hosts.
    ListHosts,
}

/// Answer to a [`StoreCall`].
#[derive(Debug, Clone, PartialEq)]
pub enum StoreAnswer {
    /// To [`StoreCall::ReadRow`]; `None` when the row is absent.
    Row(Option<TableRow>),
    /// To [`StoreCall::ScanRows`], in key order.
    Rows(Vec<TableRow>),
    /// To [`StoreCall::Transact`]; also when a check failed, with the rows that conflict.
    Transaction(TransactionAnswer),
    /// To [`StoreCall::GetObject`]; `None` when the object is absent.
    Object(Option<Vec<u8>>),
    /// To [`StoreCall::PutSnapshot`].
    Stored,
    /// To [`StoreCall::ListHosts`], in the order of the platform.
    Hosts(Vec<HostRecord>),
}

/// What a call is for, which decides who handles the report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StorePurpose {
    /// Read of the host list, which is repeated periodically.
    HostList,
    /// One of the calls of a store poll, which also reads the newest snapshot after a start.
    Poll,
    /// One of the calls that store a snapshot of the configuration and the row that names it.
    Snapshot,
    /// Write of the row of this withdrawn key, with the summary row.
    WithdrawnWrite(KeyId),
    /// Renewal of the session of this host.
    Session,
    /// Read of the row of the resource with this name.
    ResourceRead(String),
    /// Read of the session of the host that owns the resource with this name.
    OwnerRead(String),
    /// Write by which this host becomes owner of the resource with this name.
    ResourceAcquisition(String),
    /// Write by which this host gives a resource up; nothing depends on the outcome.
    ResourceRelease,
}

impl StorePurpose {
    /// Helper thread that makes calls for this purpose.
    #[must_use]
    pub fn lane(&self) -> StoreLane {
        match self {
            Self::HostList | Self::Poll | Self::Snapshot => StoreLane::Poll,
            Self::Session => StoreLane::Session,
            _ => StoreLane::Resource,
        }
    }
}

/// Helper threads; each makes its calls in order. A call may take [`PLATFORM_CALL_TIMEOUT`], so session renewals,
/// resources and withdrawals must not wait behind polls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreLane {
    /// Polls, snapshots and the host list.
    Poll,
    /// Renewals of the session of this host, on which all its leases depend.
    Session,
    /// Reads and writes of resources, reads of their owners' sessions, and writes of withdrawals.
    Resource,
}

/// Order to a helper thread to make a call.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreCommand {
    /// What the call is for; selects the helper thread and returns in the report.
    pub purpose: StorePurpose,
    /// Call that the helper thread makes.
    pub call: StoreCall,
}

/// What a helper thread reports after a [`StoreCommand`].
#[derive(Debug, Clone, PartialEq)]
pub struct StoreReport {
    /// Purpose from the command.
    pub purpose: StorePurpose,
    /// Time just before the call was made; the answer is at least as new.
    pub started_at: BootTime,
    /// Answer, or why there is none; a call without one may have taken effect.
    pub outcome: Result<StoreAnswer, StoreCallError>,
}

/// Makes a call; blocks until the platform answers or the timeout of `client` ends.
///
/// # Errors
///
/// Any [`StoreCallError`]: no connection, no answer in time, a refusal, or an answer that cannot be read.
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

/// Builds the write of a row whose value is the JSON text of `value`.
#[must_use]
pub fn row_write(table: &str, key: &str, value: &impl serde::Serialize) -> RowWrite {
    RowWrite { table: table.to_owned(), key: key.to_owned(), value: serde_json::to_string(value).ok() }
}
