//! Stand-in of the platform: table service, object store, host list, target orders and usage intake.

mod hosts;
mod intake;
mod table;

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use camphorspring::generated::platform_messages::{
    HostList, HostRecord, TableRow, TargetOrder, TransactionAnswer, TransactionRequest,
};
use hyper::body::Bytes;
use serde::{Deserialize, Serialize};

use crate::faults::FaultSpec;
use crate::rate_limit::RateLimit;
use crate::runtime::shared_runtime;
use crate::server::{HttpRequest, HttpResponse, StandinServer, immediate};
use hosts::HostBoard;
use intake::{OrderIntake, UsageIntake};
pub use intake::{OrderRecord, ReportRecord};
use table::TableStore;

/// Function called with each accepted target order, on a thread of its own, to start or stop engine stand-ins.
pub type OrderHook = Arc<dyn Fn(&TargetOrder) + Send + Sync>;

/// Options of a platform.
#[derive(Clone)]
pub struct PlatformOptions {
    /// Address to listen on.
    pub address: String,
    /// Row and object writes per second beyond which the answer is 429; 0 means no limit.
    pub writes_per_second: u32,
    /// Row, scan and object reads per second beyond which the answer is 429; 0 means no limit.
    pub reads_per_second: u32,
    /// Time after which a change of the host list shows.
    pub host_lag: Duration,
    /// Whether target orders with an old epoch are refused.
    pub checks_fencing: bool,
    /// Called with each accepted target order.
    pub order_hook: Option<OrderHook>,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            writes_per_second: 500,
            reads_per_second: 2000,
            host_lag: Duration::ZERO,
            checks_fencing: true,
            order_hook: None,
        }
    }
}

impl std::fmt::Debug for PlatformOptions {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("PlatformOptions").field("address", &self.address).finish_non_exhaustive()
    }
}

/// Operations since the platform started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationCounts {
    /// Reads of rows, scans and objects.
    pub reads: u64,
    /// Rows and objects written, and transactions that wrote none.
    pub writes: u64,
    /// Requests answered with 429.
    pub limited: u64,
}

struct PlatformState {
    options: PlatformOptions,
    started: Instant,
    table: Mutex<TableStore>,
    objects: Mutex<BTreeMap<String, Bytes>>,
    hosts: Mutex<HostBoard>,
    orders: Mutex<OrderIntake>,
    usage: Mutex<UsageIntake>,
    write_limit: RateLimit,
    read_limit: RateLimit,
    reads: AtomicU64,
    writes: AtomicU64,
    limited: AtomicU64,
}

/// A running platform.
pub struct PlatformStandin {
    server: StandinServer,
    state: Arc<PlatformState>,
}

impl std::fmt::Debug for PlatformStandin {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("PlatformStandin").field("server", &self.server).finish_non_exhaustive()
    }
}

impl PlatformStandin {
    /// Starts a platform.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(options: PlatformOptions) -> io::Result<Self> {
        let address = options.address.clone();
        let state = Arc::new(PlatformState {
            started: Instant::now(),
            table: Mutex::new(TableStore::default()),
            objects: Mutex::new(BTreeMap::new()),
            hosts: Mutex::new(HostBoard::new(options.host_lag)),
            orders: Mutex::new(OrderIntake::default()),
            usage: Mutex::new(UsageIntake::default()),
            write_limit: RateLimit::new(options.writes_per_second),
            read_limit: RateLimit::new(options.reads_per_second),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            limited: AtomicU64::new(0),
            options,
        });
        let shared = Arc::clone(&state);
        let server = StandinServer::start(&address, immediate(move |call| shared.answer(call)))?;
        Ok(Self { server, state })
    }

    /// Server, for its addresses, faults and crashes.
    #[must_use]
    pub fn server(&self) -> &StandinServer {
        &self.server
    }

    /// Base URL.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Puts a fault in force.
    pub fn fault(&self, order: FaultSpec) {
        self.server.fault(order);
    }

    /// Sets the host list, which shows after the lag.
    pub fn set_hosts(&self, hosts: Vec<HostRecord>) {
        lock(&self.state.hosts).set(HostList { hosts });
    }

    /// Reads one row, past all faults and limits.
    #[must_use]
    pub fn read_row(&self, table: &str, key: &str) -> Option<TableRow> {
        lock(&self.state.table).read(table, key)
    }

    /// All rows of a table in key order, past all faults and limits.
    #[must_use]
    pub fn read_table(&self, table: &str) -> Vec<TableRow> {
        lock(&self.state.table).scan(table, "", "", usize::MAX)
    }

    /// Applies a transaction, past all faults and limits.
    #[must_use]
    pub fn transact(&self, request: &TransactionRequest) -> TransactionAnswer {
        lock(&self.state.table).transact(request)
    }

    /// Keys of all objects.
    #[must_use]
    pub fn object_keys(&self) -> Vec<String> {
        lock(&self.state.objects).keys().cloned().collect()
    }

    /// Reads one object, past all faults and limits.
    #[must_use]
    pub fn read_object(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.state.objects).get(key).map(|bytes| bytes.to_vec())
    }

    /// All target orders in order of arrival.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.state.orders).records().to_vec()
    }

    /// All usage reports in order of arrival.
    #[must_use]
    pub fn reports(&self) -> Vec<ReportRecord> {
        lock(&self.state.usage).records().to_vec()
    }

    /// Operations since the start.
    #[must_use]
    pub fn counts(&self) -> OperationCounts {
        self.state.counts()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no handler of the platform panicked")
}

impl PlatformState {
    fn answer(&self, call: &HttpRequest) -> HttpResponse {
        let segments = call.segments();
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (call.method.as_str(), segments.as_slice()) {
            ("POST", ["table", "transact"]) => self.transact(call),
            ("GET", ["table", table]) => self.scan(call, table),
            ("GET", ["table", table, key]) => self.read_row(table, key),
            ("PUT", ["objects", key]) => self.put_object(call, key),
            ("GET", ["objects", key]) => self.get_object(key),
            ("GET", ["hosts"]) => HttpResponse::json(200, &lock(&self.hosts).shown()),
            ("PUT", ["hosts"]) => self.put_hosts(call),
            ("POST", ["targets", "orders"]) => self.take_order(call),
            ("GET", ["targets", "orders"]) => HttpResponse::json(200, &lock(&self.orders).records()),
            ("POST", ["usage", "reports"]) => lock(&self.usage).take(&call.body, self.started.elapsed()),
            ("GET", ["usage", "reports"]) => HttpResponse::json(200, &lock(&self.usage).records()),
            ("GET", ["counts"]) => HttpResponse::json(200, &self.counts()),
            _ => HttpResponse::error(404, "no such path"),
        }
    }

    fn counts(&self) -> OperationCounts {
        OperationCounts {
            reads: self.reads.load(Ordering::Acquire),
            writes: self.writes.load(Ordering::Acquire),
            limited: self.limited.load(Ordering::Acquire),
        }
    }

    fn admit_read(&self) -> Result<(), HttpResponse> {
        if self.read_limit.take(1) {
            self.reads.fetch_add(1, Ordering::AcqRel);
            return Ok(());
        }
        self.limited.fetch_add(1, Ordering::AcqRel);
        Err(HttpResponse::error(429, "too many reads"))
    }

    fn admit_writes(&self, count: usize) -> Result<(), HttpResponse> {
        let count = u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        if self.write_limit.take(count) {
            self.writes.fetch_add(u64::from(count), Ordering::AcqRel);
            return Ok(());
        }
        self.limited.fetch_add(1, Ordering::AcqRel);
        Err(HttpResponse::error(429, "too many writes"))
    }

    fn transact(&self, call: &HttpRequest) -> HttpResponse {
        let request = match serde_json::from_slice::<TransactionRequest>(&call.body) {
            Ok(request) => request,
            Err(error) => return HttpResponse::error(400, &error.to_string()),
        };
        if let Err(refusal) = self.admit_writes(request.writes.len()) {
            return refusal;
        }
        HttpResponse::json(200, &lock(&self.table).transact(&request))
    }

    fn read_row(&self, table: &str, key: &str) -> HttpResponse {
        if let Err(refusal) = self.admit_read() {
            return refusal;
        }
        match lock(&self.table).read(table, key) {
            Some(row) => HttpResponse::json(200, &row),
            None => HttpResponse::error(404, "no such row"),
        }
    }

    fn scan(&self, call: &HttpRequest, table: &str) -> HttpResponse {
        if let Err(refusal) = self.admit_read() {
            return refusal;
        }
        let prefix = call.query_value("prefix").unwrap_or_default();
        let after = call.query_value("after").unwrap_or_default();
        let limit = call.query_value("limit").and_then(|limit| limit.parse().ok()).unwrap_or(table::SCAN_LIMIT);
        let rows = lock(&self.table).scan(table, &prefix, &after, limit.min(table::SCAN_LIMIT));
        HttpResponse::json(200, &camphorspring::generated::platform_messages::ScanAnswer { rows })
    }

    fn put_object(&self, call: &HttpRequest, key: &str) -> HttpResponse {
        if let Err(refusal) = self.admit_writes(1) {
            return refusal;
        }
        let mut objects = lock(&self.objects);
        if call.header("if-none-match").is_some() && objects.contains_key(key) {
            return HttpResponse::error(412, "the object exists");
        }
        objects.insert(key.to_owned(), call.body.clone());
        HttpResponse::json(201, &serde_json::json!({}))
    }

    fn get_object(&self, key: &str) -> HttpResponse {
        if let Err(refusal) = self.admit_read() {
            return refusal;
        }
        match lock(&self.objects).get(key) {
            Some(bytes) => HttpResponse::bytes(200, "application/octet-stream", bytes.clone()),
            None => HttpResponse::error(404, "no such object"),
        }
    }

    fn put_hosts(&self, call: &HttpRequest) -> HttpResponse {
        match serde_json::from_slice::<HostList>(&call.body) {
            Ok(list) => lock(&self.hosts).set(list),
            Err(error) => return HttpResponse::error(400, &error.to_string()),
        }
        HttpResponse::json(200, &serde_json::json!({}))
    }

    fn take_order(&self, call: &HttpRequest) -> HttpResponse {
        let order = match serde_json::from_slice::<TargetOrder>(&call.body) {
            Ok(order) => order,
            Err(error) => return HttpResponse::error(400, &error.to_string()),
        };
        let elapsed = self.started.elapsed();
        let answer = lock(&self.orders).take(order.clone(), elapsed, self.options.checks_fencing);
        if answer.accepted
            && let Some(hook) = self.options.order_hook.clone()
        {
            shared_runtime().spawn_blocking(move || hook(&order));
        }
        HttpResponse::json(200, &answer)
    }
}
