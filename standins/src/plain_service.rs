//! Stand-in of a plain service: bookings that may not be repeated, and a tracking page.
//!
//! The product forwards the whole path of a route, so only the last segments of a path are looked at.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use camphorspring::http_server::HeaderPair;
use serde::{Deserialize, Serialize};

use crate::faults::FaultSpec;
use crate::server::{AnswerFuture, HttpRequest, HttpResponse, StandinServer};

/// Options of a plain service.
#[derive(Debug, Clone)]
pub struct PlainOptions {
    /// Address to listen on.
    pub address: String,
    /// Time between the execution of a booking and its answer.
    pub booking_time: Duration,
    /// Time that a tracking page takes.
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
    /// Body of the booking.
    pub body: String,
    /// Number of times it was executed.
    pub count: u64,
}

/// Answer of `GET /executions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionList {
    /// Counts in order of body.
    pub executions: Vec<BookingCount>,
}

#[derive(Debug, Default)]
struct ServiceRecords {
    executions: BTreeMap<String, u64>,
    bookings: u64,
    pages: u64,
    headers: Vec<HeaderPair>,
}

/// A running plain service.
#[derive(Debug)]
pub struct PlainStandin {
    server: StandinServer,
    records: Arc<Mutex<ServiceRecords>>,
}

impl PlainStandin {
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(options: PlainOptions) -> io::Result<Self> {
        let records = Arc::new(Mutex::new(ServiceRecords::default()));
        let shared = Arc::clone(&records);
        let address = options.address.clone();
        let handler = Arc::new(move |call: HttpRequest| {
            Box::pin(answer(call, Arc::clone(&shared), options.clone())) as AnswerFuture
        });
        let server = StandinServer::start(&address, handler)?;
        Ok(Self { server, records })
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

    /// Number of executions of a booking body.
    ///
    /// # Panics
    ///
    /// A handler panicked.
    #[must_use]
    pub fn executions(&self, body: &str) -> u64 {
        self.records.lock().expect("the records are intact").executions.get(body).copied().unwrap_or(0)
    }

    /// Number of executions of each booking body.
    ///
    /// # Panics
    ///
    /// A handler panicked.
    #[must_use]
    pub fn all_executions(&self) -> Vec<BookingCount> {
        list_executions(&self.records.lock().expect("the records are intact")).executions
    }

    /// Number of pages answered.
    ///
    /// # Panics
    ///
    /// A handler panicked.
    #[must_use]
    pub fn pages(&self) -> u64 {
        self.records.lock().expect("the records are intact").pages
    }

    /// All headers received, of all requests.
    ///
    /// # Panics
    ///
    /// A handler panicked.
    #[must_use]
    pub fn headers(&self) -> Vec<HeaderPair> {
        self.records.lock().expect("the records are intact").headers.clone()
    }
}

async fn answer(call: HttpRequest, records: Arc<Mutex<ServiceRecords>>, options: PlainOptions) -> HttpResponse {
    let segments = call.segments();
    let last = segments.last().map(String::as_str);
    let parent = segments.len().checked_sub(2).map(|index| segments[index].as_str());
    match (call.method.as_str(), parent, last) {
        ("POST", _, Some("bookings")) => {
            let number = execute_booking(&call, &records);
            tokio::time::sleep(options.booking_time).await;
            HttpResponse::json(201, &serde_json::json!({ "booking": format!("B-{number:06}") }))
        }
        ("GET", Some("parcels"), Some(parcel)) => {
            tokio::time::sleep(options.page_time).await;
            count_page(&call, &records);
            HttpResponse::json(200, &serde_json::json!({ "parcel": parcel, "state": "on the way" }))
        }
        ("GET", _, Some("executions")) => {
            HttpResponse::json(200, &list_executions(&records.lock().expect("the records are intact")))
        }
        ("GET", _, Some("headers")) => {
            let records = records.lock().expect("the records are intact");
            let lines: Vec<String> =
                records.headers.iter().map(|pair| format!("{}: {}", pair.name, pair.value)).collect();
            HttpResponse::json(200, &lines)
        }
        _ => HttpResponse::error(404, "no such path"),
    }
}

fn execute_booking(call: &HttpRequest, records: &Mutex<ServiceRecords>) -> u64 {
    let body = String::from_utf8_lossy(&call.body).into_owned();
    let mut records = records.lock().expect("the records are intact");
    *records.executions.entry(body).or_default() += 1;
    records.headers.extend(call.headers.iter().cloned());
    records.bookings += 1;
    records.bookings
}

fn count_page(call: &HttpRequest, records: &Mutex<ServiceRecords>) {
    let mut records = records.lock().expect("the records are intact");
    records.headers.extend(call.headers.iter().cloned());
    records.pages += 1;
}

fn list_executions(records: &ServiceRecords) -> ExecutionList {
    let counts = records.executions.iter().map(|(body, count)| BookingCount { body: body.clone(), count: *count });
    ExecutionList { executions: counts.collect() }
}
