//! Stand-in for a plain service with bookings and a tracking page. It executes every booking that
//! arrives and counts the executions, so that tests can detect repeated ones.
//!
//! The product forwards the whole path of a request, route prefix included, so the service matches only the last
//! segments of a path.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use camphorspring::http_server::HeaderPair;
use serde::{Deserialize, Serialize};

use crate::faults::FaultSpec;
use crate::server::{AnswerFuture, HttpRequest, HttpResponse, StandinServer};

/// Address and delays of a plain service stand-in.
#[derive(Debug, Clone)]
pub struct PlainOptions {
    /// Host and port to listen on; port 0 picks a free one.
    pub address: String,
    /// Delay between the execution of a booking and the response.
    pub booking_time: Duration,
    /// Delay before a tracking page is counted and sent.
    pub page_time: Duration,
}

impl Default for PlainOptions {
    fn default() -> Self {
        Self { address: "127.0.0.1:0".to_owned(), booking_time: Duration::from_millis(5), page_time: Duration::ZERO }
    }
}

/// Number of executions of one booking body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BookingCount {
    /// Request body; invalid UTF-8 is replaced.
    pub body: String,
    /// Number of executions since the start.
    pub count: u64,
}

/// Response to `GET /executions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionList {
    /// One entry for each distinct body, sorted by body.
    pub executions: Vec<BookingCount>,
}

#[derive(Debug, Default)]
struct ServiceRecords {
    executions: BTreeMap<String, u64>,
    bookings: u64,
    pages: u64,
    headers: Vec<HeaderPair>,
}

/// Running plain service; the server stops when this value is dropped.
#[derive(Debug)]
pub struct PlainStandin {
    server: StandinServer,
    records: Arc<Mutex<ServiceRecords>>,
}

impl PlainStandin {
    /// Starts a plain service that serves requests until dropped.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(options: PlainOptions) -> io::Result<Self> {
        let records = Arc::new(Mutex::new(ServiceRecords::default()));
        let shared = Arc::clone(&records);
        let address = options.address.clone();
        let handler = Arc::new(move |request: HttpRequest| {
            Box::pin(handle_request(request, Arc::clone(&shared), options.clone())) as AnswerFuture
        });
        let server = StandinServer::start(&address, handler)?;
        Ok(Self { server, records })
    }

    /// HTTP server of the stand-in; gives access to addresses, injected faults and crashes.
    #[must_use]
    pub fn server(&self) -> &StandinServer {
        &self.server
    }

    /// Base URL of the main port, without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Injects a fault; on return the port is open or closed accordingly.
    pub fn fault(&self, spec: FaultSpec) {
        self.server.fault(spec);
    }

    /// Number of executions of bookings with exactly this body.
    ///
    /// # Panics
    ///
    /// A handler panicked.
    #[must_use]
    pub fn executions(&self, body: &str) -> u64 {
        self.records.lock().expect("the records are intact").executions.get(body).copied().unwrap_or(0)
    }

    /// Number of executions of each distinct booking body, sorted by body.
    ///
    /// # Panics
    ///
    /// A handler panicked.
    #[must_use]
    pub fn all_executions(&self) -> Vec<BookingCount> {
        list_executions(&self.records.lock().expect("the records are intact")).executions
    }

    /// Number of tracking pages served.
    ///
    /// # Panics
    ///
    /// A handler panicked.
    #[must_use]
    pub fn pages(&self) -> u64 {
        self.records.lock().expect("the records are intact").pages
    }

    /// Headers of all bookings and tracking page requests, repeats included, in order of execution.
    ///
    /// # Panics
    ///
    /// A handler panicked.
    #[must_use]
    pub fn headers(&self) -> Vec<HeaderPair> {
        self.records.lock().expect("the records are intact").headers.clone()
    }
}

async fn handle_request(
    request: HttpRequest,
    records: Arc<Mutex<ServiceRecords>>,
    options: PlainOptions,
) -> HttpResponse {
    let segments = request.segments();
    let last = segments.last().map(String::as_str);
    let parent = segments.len().checked_sub(2).map(|index| segments[index].as_str());
    match (request.method.as_str(), parent, last) {
        ("POST", _, Some("bookings")) => {
            let number = execute_booking(&request, &records);
            tokio::time::sleep(options.booking_time).await;
            HttpResponse::json(201, &serde_json::json!({ "booking": format!("B-{number:06}") }))
        }
        ("GET", Some("parcels"), Some(parcel)) => {
            tokio::time::sleep(options.page_time).await;
            record_page(&request, &records);
            HttpResponse::json(200, &serde_json::json!({ "parcel": parcel, "state": "on the way" }))
        }
        ("GET", _, Some("executions")) => {
            HttpResponse::json(200, &list_executions(&records.lock().expect("the records are intact")))
        }
        ("GET", _, Some("headers")) => {
            let records = records.lock().expect("the records are intact");
            let headers: Vec<String> =
                records.headers.iter().map(|pair| format!("{}: {}", pair.name, pair.value)).collect();
            HttpResponse::json(200, &headers)
        }
        _ => HttpResponse::error(404, "no such path"),
    }
}

fn execute_booking(request: &HttpRequest, records: &Mutex<ServiceRecords>) -> u64 {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let mut records = records.lock().expect("the records are intact");
    *records.executions.entry(body).or_default() += 1;
    records.headers.extend(request.headers.iter().cloned());
    records.bookings += 1;
    records.bookings
}

fn record_page(request: &HttpRequest, records: &Mutex<ServiceRecords>) {
    let mut records = records.lock().expect("the records are intact");
    records.headers.extend(request.headers.iter().cloned());
    records.pages += 1;
}

fn list_executions(records: &ServiceRecords) -> ExecutionList {
    let counts = records.executions.iter().map(|(body, count)| BookingCount { body: body.clone(), count: *count });
    ExecutionList { executions: counts.collect() }
}
