//! Stand-in of the platform: table service, object store, host list, and the endpoints that receive target orders and
//! usage reports. All state is in memory and survives a crash of the server, but not the end of the stand-in.

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
use hosts::DelayedHostList;
use intake::{OrderLog, ReportLog};
pub use intake::{OrderRecord, ReportRecord};
use table::TableStore;

/// Function called with each accepted target order, for example to start or stop engine stand-ins. A call may block;
/// calls for consecutive orders may overlap.
pub type OrderHook = Arc<dyn Fn(&TargetOrder) + Send + Sync>;

/// Address, limits and behaviour of a [`PlatformStandin`].
#[derive(Clone)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 chooses a free one.
    pub address: String,
    /// Row and object writes per second beyond which the response is 429; 0 means no limit. A transaction without
    /// writes counts as one write.
    pub writes_per_second: u32,
    /// Row, scan and object reads per second beyond which the response is 429; 0 means no limit.
    pub reads_per_second: u32,
    /// Delay before a change of the host list becomes visible; the first list is visible at once.
    pub host_lag: Duration,
    /// Whether a target order is rejected when its epoch is below the highest that its failure domain has sent.
    pub checks_fencing: bool,
    /// Called with each accepted target order, if present.
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

/// Operations received over HTTP since the platform started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationCounts {
    /// Reads of rows and objects, and scans, within the limit.
    pub reads: u64,
    /// Row and object writes within the limit, also when a conflict prevented them; a transaction without writes counts
    /// as one.
    pub writes: u64,
    /// Requests refused with 429.
    pub limited: u64,
}

/// State behind the HTTP interface.
struct PlatformState {
    options: PlatformOptions,
    started: Instant,
    table: Mutex<TableStore>,
    objects: Mutex<BTreeMap<String, Bytes>>,
    hosts: Mutex<DelayedHostList>,
    orders: Mutex<OrderLog>,
    usage: Mutex<ReportLog>,
    write_limit: RateLimit,
    read_limit: RateLimit,
    reads: AtomicU64,
    writes: AtomicU64,
    limited: AtomicU64,
}

/// A running platform, which stops when dropped.
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
    /// Starts a platform with empty state.
    ///
    /// # Errors
    ///
    /// The address is invalid, or a port cannot be bound or configured.
    pub fn start(options: PlatformOptions) -> io::Result<Self> {
        let address = options.address.clone();
        let state = Arc::new(PlatformState {
            started: Instant::now(),
            table: Mutex::new(TableStore::default()),
            objects: Mutex::new(BTreeMap::new()),
            hosts: Mutex::new(DelayedHostList::new(options.host_lag)),
            orders: Mutex::new(OrderLog::default()),
            usage: Mutex::new(ReportLog::default()),
            write_limit: RateLimit::new(options.writes_per_second),
            read_limit: RateLimit::new(options.reads_per_second),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            limited: AtomicU64::new(0),
            options,
        });
        let shared_state = Arc::clone(&state);
        let server = StandinServer::start(&address, immediate(move |request| shared_state.handle_request(request)))?;
        Ok(Self { server, state })
    }

    /// Returns the HTTP server, which has the addresses and injects faults and crashes.
    #[must_use]
    pub fn server(&self) -> &StandinServer {
        &self.server
    }

    /// Returns the base URL of the main port, without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Applies a fault, as [`StandinServer::fault`] does.
    pub fn fault(&self, spec: FaultSpec) {
        self.server.fault(spec);
    }

    /// Replaces the host list; the change becomes visible after [`PlatformOptions::host_lag`].
    pub fn set_hosts(&self, hosts: Vec<HostRecord>) {
        lock(&self.state.hosts).set(HostList { hosts });
    }

    /// Returns one row, regardless of faults and limits; `None` when it is absent or deleted.
    #[must_use]
    pub fn read_row(&self, table: &str, key: &str) -> Option<TableRow> {
        lock(&self.state.table).read(table, key)
    }

    /// Returns all rows of a table in key order, regardless of faults and limits.
    #[must_use]
    pub fn read_table(&self, table: &str) -> Vec<TableRow> {
        lock(&self.state.table).scan(table, "", "", usize::MAX)
    }

    /// Applies a transaction, regardless of faults and limits.
    #[must_use]
    pub fn transact(&self, request: &TransactionRequest) -> TransactionAnswer {
        lock(&self.state.table).transact(request)
    }

    /// Returns the keys of all objects in order.
    #[must_use]
    pub fn object_keys(&self) -> Vec<String> {
        lock(&self.state.objects).keys().cloned().collect()
    }

    /// Returns one object, regardless of faults and limits; `None` when it is absent.
    #[must_use]
    pub fn read_object(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.state.objects).get(key).map(|bytes| bytes.to_vec())
    }

    /// Returns all target orders in order of arrival, rejected ones included.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.state.orders).records().to_vec()
    }

    /// Returns all usage reports in order of arrival, repeated and rejected ones included.
    #[must_use]
    pub fn reports(&self) -> Vec<ReportRecord> {
        lock(&self.state.usage).records().to_vec()
    }

    /// Returns the operations received over HTTP since the start.
    #[must_use]
    pub fn counts(&self) -> OperationCounts {
        self.state.counts()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no handler of the platform panicked")
}

impl PlatformState {
    fn handle_request(&self, request: &HttpRequest) -> HttpResponse {
        let segments = request.segments();
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (request.method.as_str(), segments.as_slice()) {
            ("POST", ["table", "transact"]) => self.transact(request),
            ("GET", ["table", table]) => self.scan(request, table),
            ("GET", ["table", table, key]) => self.read_row(table, key),
            ("PUT", ["objects", key]) => self.put_object(request, key),
            ("GET", ["objects", key]) => self.get_object(key),
            ("GET", ["hosts"]) => HttpResponse::json(200, &lock(&self.hosts).visible_list()),
            ("PUT", ["hosts"]) => self.put_hosts(request),
            ("POST", ["targets", "orders"]) => self.handle_order(request),
            ("GET", ["targets", "orders"]) => HttpResponse::json(200, &lock(&self.orders).records()),
            ("POST", ["usage", "reports"]) => lock(&self.usage).record(&request.body, self.started.elapsed()),
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

    /// Counts a read; `Err` has the response of a read beyond the limit.
    fn admit_read(&self) -> Result<(), HttpResponse> {
        if self.read_limit.take(1) {
            self.reads.fetch_add(1, Ordering::AcqRel);
            return Ok(());
        }
        self.limited.fetch_add(1, Ordering::AcqRel);
        Err(HttpResponse::error(429, "too many reads"))
    }

    /// Counts `count` writes, at least one; `Err` has the response of a request beyond the limit.
    fn admit_writes(&self, count: usize) -> Result<(), HttpResponse> {
        let count = u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        if self.write_limit.take(count) {
            self.writes.fetch_add(u64::from(count), Ordering::AcqRel);
            return Ok(());
        }
        self.limited.fetch_add(1, Ordering::AcqRel);
        Err(HttpResponse::error(429, "too many writes"))
    }

    fn transact(&self, request: &HttpRequest) -> HttpResponse {
        let transaction = match serde_json::from_slice::<TransactionRequest>(&request.body) {
            Ok(transaction) => transaction,
            Err(error) => return HttpResponse::error(400, &error.to_string()),
        };
        if let Err(error_response) = self.admit_writes(transaction.writes.len()) {
            return error_response;
        }
        HttpResponse::json(200, &lock(&self.table).transact(&transaction))
    }

    fn read_row(&self, table: &str, key: &str) -> HttpResponse {
        if let Err(error_response) = self.admit_read() {
            return error_response;
        }
        match lock(&self.table).read(table, key) {
            Some(row) => HttpResponse::json(200, &row),
            None => HttpResponse::error(404, "no such row"),
        }
    }

    fn scan(&self, request: &HttpRequest, table: &str) -> HttpResponse {
        if let Err(error_response) = self.admit_read() {
            return error_response;
        }
        let prefix = request.query_value("prefix").unwrap_or_default();
        let after = request.query_value("after").unwrap_or_default();
        let limit = request.query_value("limit").and_then(|limit| limit.parse().ok()).unwrap_or(table::MAX_SCAN_ROWS);
        let rows = lock(&self.table).scan(table, &prefix, &after, limit.min(table::MAX_SCAN_ROWS));
        HttpResponse::json(200, &camphorspring::generated::platform_messages::ScanAnswer { rows })
    }

    /// Stores an object; 412 when it exists and the request has `if-none-match`, whatever the value of that header.
    fn put_object(&self, request: &HttpRequest, key: &str) -> HttpResponse {
        if let Err(error_response) = self.admit_writes(1) {
            return error_response;
        }
        let mut objects = lock(&self.objects);
        if request.header("if-none-match").is_some() && objects.contains_key(key) {
            return HttpResponse::error(412, "the object exists");
        }
        objects.insert(key.to_owned(), request.body.clone());
        HttpResponse::json(201, &serde_json::json!({}))
    }

    fn get_object(&self, key: &str) -> HttpResponse {
        if let Err(error_response) = self.admit_read() {
            return error_response;
        }
        match lock(&self.objects).get(key) {
            Some(bytes) => HttpResponse::bytes(200, "application/octet-stream", bytes.clone()),
            None => HttpResponse::error(404, "no such object"),
        }
    }

    fn put_hosts(&self, request: &HttpRequest) -> HttpResponse {
        match serde_json::from_slice::<HostList>(&request.body) {
            Ok(list) => lock(&self.hosts).set(list),
            Err(error) => return HttpResponse::error(400, &error.to_string()),
        }
        HttpResponse::json(200, &serde_json::json!({}))
    }

    /// Records a target order and calls the hook when the order is accepted.
    fn handle_order(&self, request: &HttpRequest) -> HttpResponse {
        let order = match serde_json::from_slice::<TargetOrder>(&request.body) {
            Ok(order) => order,
            Err(error) => return HttpResponse::error(400, &error.to_string()),
        };
        let elapsed = self.started.elapsed();
        let answer = lock(&self.orders).record(order.clone(), elapsed, self.options.checks_fencing);
        if answer.accepted
            && let Some(hook) = self.options.order_hook.clone()
        {
            shared_runtime().spawn_blocking(move || hook(&order));
        }
        HttpResponse::json(200, &answer)
    }
}
