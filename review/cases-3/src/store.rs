//! Stand-in of the platform's metadata store: transactions, range reads and change feeds on rows in memory. It also answers the
//! calls of the platform's API that only one host makes.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{Connection, Message, response};

type RowName = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Value in base64, `None` once removed, and version.
    rows: BTreeMap<RowName, (Option<String>, u64)>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

/// Addresses of servers and those that the readers of one port of the store see instead.
pub type Addresses = Arc<Vec<(SocketAddr, SocketAddr)>>;

impl Store {
    pub fn new() -> Self {
        let rows = Rows { rows: BTreeMap::new(), version: 1 };
        Self { rows: Arc::new((Mutex::new(rows), Condvar::new())), started: Instant::now() }
    }

    /// Writes or removes a row, as operators and servers do.
    pub fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = value.map(|value| STANDARD.encode(value.to_string()));
        rows.rows.insert((table.to_owned(), String::new(), key.to_owned()), (value, version));
        self.rows.1.notify_all();
    }

    /// Serves the store at a free port; the readers there see the given addresses of servers.
    pub fn serve(&self, addresses: Addresses) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, addresses) = (store.clone(), Arc::clone(&addresses));
                std::thread::spawn(move || store.serve_connection(stream, &addresses));
            }
        });
        address
    }

    fn serve_connection(&self, stream: TcpStream, addresses: &Addresses) {
        let mut connection = Connection::new(stream);
        while let Some(request) = connection.read_message() {
            let (status, body) = self.answer(&request, addresses);
            let bytes = response(status, &[("Content-Type", "application/json")], body.to_string().as_bytes());
            if connection.stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, addresses: &Addresses) -> (u16, Value) {
        match request.path() {
            "/rows-tx" => self.transact(request),
            "/rows-get" => self.read_range(request, addresses),
            "/rows-feed" => self.feed(request, addresses),
            "/usage" | "/scale" => (200, json!({})),
            _ => (404, json!({})),
        }
    }

    fn body(&self, rows: &Rows, listed: &[Value], truncated: bool) -> Value {
        let now_ms = self.started.elapsed().as_secs_f64() * 1000.0 + 1.0;
        json!({"rows": listed, "truncated": truncated, "ver": rows.version, "now_ms": now_ms})
    }

    fn transact(&self, request: &Message) -> (u16, Value) {
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else { return (400, json!({})) };
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_owned();
        let name = |entry: &Value| (text(entry, "table"), text(entry, "part"), text(entry, "key"));
        let mut rows = self.rows.0.lock().unwrap();
        let checks = entries("expected_rev");
        let version_of = |rows: &Rows, name: &RowName| match rows.rows.get(name) {
            Some((Some(_), version)) => *version,
            _ => 0,
        };
        if checks.iter().any(|check| Some(version_of(&rows, &name(check))) != check["ver"].as_u64()) {
            let present: Vec<Value> = checks
                .iter()
                .filter_map(|check| {
                    let name = name(check);
                    let (value, version) = rows.rows.get(&name)?;
                    value.as_ref().map(|value| row_json(&name, Some(value), *version))
                })
                .collect();
            return (412, self.body(&rows, &present, false));
        }
        rows.version += 1;
        let version = rows.version;
        for entry in entries("writes") {
            rows.rows.insert(name(&entry), (Some(text(&entry, "value")), version));
        }
        for entry in entries("drop") {
            rows.rows.insert(name(&entry), (None, version));
        }
        self.rows.1.notify_all();
        let body = self.body(&rows, &[], false);
        (200, body)
    }

    fn read_range(&self, request: &Message, addresses: &Addresses) -> (u16, Value) {
        let query = |name: &str| request.query(name).unwrap_or_default();
        let (table, part, from, to) = (query("table"), query("part"), query("from"), query("to"));
        let limit = query("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.0.lock().unwrap();
        let start = (table.clone(), part.clone(), from);
        let (mut listed, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (name, (value, version)) in rows.rows.range(start..) {
            if name.0 != table || name.1 != part || (!to.is_empty() && name.2 >= to) {
                break;
            }
            let Some(value) = value else { continue };
            bytes += value.len();
            if listed.len() == limit || bytes > 1_000_000 {
                truncated = true;
                break;
            }
            listed.push(row_json(name, Some(&present(&table, value, addresses)), *version));
        }
        (200, self.body(&rows, &listed, truncated))
    }

    fn feed(&self, request: &Message, addresses: &Addresses) -> (u16, Value) {
        let number = |name: &str| request.query(name).and_then(|value| value.parse::<u64>().ok()).unwrap_or_default();
        let (table, after) = (request.query("table").unwrap_or_default(), number("after"));
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut rows = self.rows.0.lock().unwrap();
        loop {
            let mut changed: Vec<(&RowName, &(Option<String>, u64))> =
                rows.rows.iter().filter(|(name, (_, version))| name.0 == table && *version > after).collect();
            changed.sort_by_key(|(_, (_, version))| *version);
            let listed: Vec<Value> = changed
                .into_iter()
                .map(|(name, (value, version))| {
                    let value = value.as_ref().map(|value| present(&table, value, addresses));
                    row_json(name, value.as_ref(), *version)
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !listed.is_empty() || left.is_zero() {
                let body = self.body(&rows, &listed, false);
                return (200, body);
            }
            rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn row_json(name: &RowName, value: Option<&String>, version: u64) -> Value {
    json!({"table": name.0, "part": name.1, "key": name.2, "value": value, "ver": version, "removed": value.is_none()})
}

/// Value of a row as the readers of a port see it.
fn present(table: &str, value: &str, addresses: &Addresses) -> String {
    if table != "servers" || addresses.is_empty() {
        return value.to_owned();
    }
    let entry = STANDARD.decode(value).ok().and_then(|bytes| serde_json::from_slice::<Value>(&bytes).ok());
    let Some(mut entry) = entry else { return value.to_owned() };
    let known = entry["address"].as_str().and_then(|address| address.parse().ok());
    if let Some((_, seen)) = addresses.iter().find(|(address, _)| Some(*address) == known) {
        entry["address"] = json!(seen.to_string());
    }
    STANDARD.encode(entry.to_string())
}
