//! In-memory store with the rules of the platform's table service and object store, and a client with planned faults.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};

use camphorspring::generated::platform_messages::{RowCheck, RowWrite, TableRow, TransactionAnswer};
use camphorspring::store_client::StoreCallError;
use camphorspring::store_client::store_access::StoreAccess;

type RowKey = (String, String);

/// Rows and objects that any number of clients share.
#[derive(Debug, Default)]
pub struct MemoryStore {
    rows: Mutex<BTreeMap<RowKey, TableRow>>,
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
}

impl MemoryStore {
    pub fn read(&self, table: &str, key: &str) -> Option<TableRow> {
        self.rows.lock().unwrap().get(&(table.to_owned(), key.to_owned())).cloned()
    }

    pub fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Vec<TableRow> {
        let rows = self.rows.lock().unwrap();
        let matches = rows.values().filter(|row| row.table == table && row.key.starts_with(prefix));
        matches.filter(|row| row.key.as_str() > after).take(limit).cloned().collect()
    }

    pub fn transact(&self, token: &str, checks: &[RowCheck], writes: &[RowWrite]) -> TransactionAnswer {
        let mut rows = self.rows.lock().unwrap();
        let mut conflicts = Vec::new();
        for check in checks {
            let present = rows.get(&(check.table.clone(), check.key.clone()));
            if present.map_or(0, |row| row.version) != check.version {
                let absent = TableRow {
                    table: check.table.clone(),
                    key: check.key.clone(),
                    value: String::new(),
                    version: 0,
                    writer_token: String::new(),
                };
                conflicts.push(present.cloned().unwrap_or(absent));
            }
        }
        if !conflicts.is_empty() {
            return TransactionAnswer { applied: false, conflicts };
        }
        for write in writes {
            let key = (write.table.clone(), write.key.clone());
            let Some(value) = write.value.clone() else {
                rows.remove(&key);
                continue;
            };
            let version = rows.get(&key).map_or(0, |row| row.version) + 1;
            let (table, row_key) = key.clone();
            rows.insert(key, TableRow { table, key: row_key, value, version, writer_token: token.to_owned() });
        }
        TransactionAnswer { applied: true, conflicts }
    }

    /// Writes a row without a condition.
    pub fn set(&self, table: &str, key: &str, value: &str) {
        let write = RowWrite { table: table.to_owned(), key: key.to_owned(), value: Some(value.to_owned()) };
        self.transact("test", &[], &[write]);
    }
}

/// Fault that a client injects at one of its calls; an outage and the death of the process hit later calls too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// There is no connection; the call has no effect, and the client knows that.
    NotSent,
    /// The call has no effect, and the client cannot know that.
    LostRequest,
    /// The call takes effect, and the answer to it is lost.
    LostAnswer,
    /// The answer is lost, and the call takes effect only just before the second call after it.
    LateEffect,
    /// The answer is lost, and the call takes effect only just before the third call after it.
    LaterEffect,
    /// The requests of this call and of the next five are lost.
    Outage,
    /// The process of the client dies before the call: this call and all later ones have no effect.
    Killed,
    /// The process of the client dies after the call has taken effect: all later calls have none.
    KilledAfter,
    /// The process of the client is frozen before the call. After [`FaultyClient::thaw`] the call takes effect, and the
    /// process continues.
    Frozen,
}

/// All faults after which the process of the client still runs.
pub const LIVE_FAULTS: [StoreFault; 6] = [
    StoreFault::NotSent,
    StoreFault::LostRequest,
    StoreFault::LostAnswer,
    StoreFault::LateEffect,
    StoreFault::LaterEffect,
    StoreFault::Outage,
];

/// All faults after which another process must take over: the process died, or is frozen until it is thawed.
pub const FATAL_FAULTS: [StoreFault; 3] = [StoreFault::Killed, StoreFault::KilledAfter, StoreFault::Frozen];

type LateCall = (u64, Box<dyn FnOnce() + Send>);

/// Client of a [`MemoryStore`] that fails at given calls.
pub struct FaultyClient {
    store: Arc<MemoryStore>,
    faults: Vec<(u64, StoreFault)>,
    calls: AtomicU64,
    dead: Mutex<bool>,
    frozen: Mutex<bool>,
    thawed: Condvar,
    late_calls: Mutex<Vec<LateCall>>,
}

impl FaultyClient {
    /// Creates a client. Each fault has the number of the call that it begins at, from 0.
    pub fn new(store: &Arc<MemoryStore>, faults: &[(u64, StoreFault)]) -> Arc<Self> {
        Arc::new(Self {
            store: store.clone(),
            faults: faults.to_vec(),
            calls: AtomicU64::new(0),
            dead: Mutex::new(false),
            frozen: Mutex::new(false),
            thawed: Condvar::new(),
            late_calls: Mutex::new(Vec::new()),
        })
    }

    /// Whether the process of the client has died or is frozen now.
    pub fn is_stopped(&self) -> bool {
        *self.dead.lock().unwrap() || *self.frozen.lock().unwrap()
    }

    /// Lets a frozen process continue, and all calls take effect that were to do so later.
    pub fn thaw(&self) {
        *self.frozen.lock().unwrap() = false;
        self.thawed.notify_all();
        for (_, call) in self.late_calls.lock().unwrap().drain(..) {
            call();
        }
    }

    pub fn access(self: &Arc<Self>) -> StoreAccess {
        let (row, scan, write) = (self.clone(), self.clone(), self.clone());
        let (put, get) = (self.clone(), self.clone());
        StoreAccess {
            read_row: Arc::new(move |table, key| {
                let (table, key) = (table.to_owned(), key.to_owned());
                row.call(move |store| store.read(&table, &key))
            }),
            scan_rows: Arc::new(move |table, prefix, after, limit| {
                let (table, prefix, after) = (table.to_owned(), prefix.to_owned(), after.to_owned());
                scan.call(move |store| store.scan(&table, &prefix, &after, limit))
            }),
            transact: Arc::new(move |token, checks, writes| {
                let token = token.to_owned();
                write.call(move |store| store.transact(&token, &checks, &writes))
            }),
            put_object: Arc::new(move |key, content| {
                let (key, content) = (key.to_owned(), content.to_vec());
                put.call(move |store| {
                    store.objects.lock().unwrap().entry(key).or_insert(content);
                })
            }),
            get_object: Arc::new(move |key| {
                let key = key.to_owned();
                get.call(move |store| store.objects.lock().unwrap().get(&key).cloned())
            }),
        }
    }

    fn call<T: 'static>(&self, effect: impl FnOnce(&MemoryStore) -> T + Send + 'static) -> Result<T, StoreCallError> {
        let number = self.calls.fetch_add(1, Ordering::SeqCst);
        self.run_late_calls(number);
        if *self.dead.lock().unwrap() {
            return Err(StoreCallError::NotSent);
        }
        match self.fault_at(number) {
            None => Ok(effect(&self.store)),
            Some(StoreFault::NotSent) => Err(StoreCallError::NotSent),
            Some(StoreFault::LostRequest | StoreFault::Outage) => Err(StoreCallError::AnswerLost),
            Some(StoreFault::LostAnswer) => {
                effect(&self.store);
                Err(StoreCallError::AnswerLost)
            }
            Some(fault @ (StoreFault::LateEffect | StoreFault::LaterEffect)) => {
                let delay = if fault == StoreFault::LateEffect { 2 } else { 3 };
                let store = self.store.clone();
                let call = Box::new(move || {
                    effect(&store);
                });
                self.late_calls.lock().unwrap().push((number + delay, call));
                Err(StoreCallError::AnswerLost)
            }
            Some(StoreFault::Killed) => {
                *self.dead.lock().unwrap() = true;
                Err(StoreCallError::NotSent)
            }
            Some(StoreFault::KilledAfter) => {
                effect(&self.store);
                *self.dead.lock().unwrap() = true;
                Err(StoreCallError::AnswerLost)
            }
            Some(StoreFault::Frozen) => {
                self.freeze();
                Ok(effect(&self.store))
            }
        }
    }

    fn fault_at(&self, number: u64) -> Option<StoreFault> {
        let matches = |(call, fault): &&(u64, StoreFault)| match fault {
            StoreFault::Outage => (*call..call + 6).contains(&number),
            _ => *call == number,
        };
        self.faults.iter().find(matches).map(|(_, fault)| *fault)
    }

    fn run_late_calls(&self, number: u64) {
        let mut late_calls = self.late_calls.lock().unwrap();
        let due = late_calls.extract_if(.., |(due, _)| *due <= number);
        for (_, call) in due {
            call();
        }
    }

    fn freeze(&self) {
        let mut frozen = self.frozen.lock().unwrap();
        *frozen = true;
        while *frozen {
            frozen = self.thawed.wait(frozen).unwrap();
        }
    }
}
