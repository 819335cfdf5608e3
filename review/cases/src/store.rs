//! Stand-in of the platform's metadata store: transactions, range reads and feeds, as the users' page describes them.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Handler, Reply, Request, listen, serve};
use crate::json::{Json, decode_base64, encode_base64};

#[derive(Debug, Clone)]
pub struct Row {
    pub table: String,
    pub part: String,
    pub key: String,
    /// `None` once the row is dropped.
    pub value: Option<Vec<u8>>,
    pub ver: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: Vec<Row>,
    ver: u64,
    /// Whether the rows with an empty part can neither be read nor written for now.
    is_empty_part_down: bool,
}

/// A transaction that a host had applied.
#[derive(Debug, Clone)]
pub struct Applied {
    pub host: String,
    pub at: Instant,
    pub keys: Vec<String>,
}

#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
    applied: Arc<Mutex<Vec<Applied>>>,
}

impl Store {
    pub fn new() -> Self {
        let state = State { ver: 1, ..State::default() };
        Self { state: Arc::new((Mutex::new(state), Condvar::new())), started: Instant::now(), applied: Arc::default() }
    }

    /// Serves the store to one host. `renamed` are texts in rows that this host sees in place of others, so that its links
    /// to other hosts lead through relays.
    pub fn serve(&self, host: &str, renamed: Arc<Mutex<Vec<(String, String)>>>) -> SocketAddr {
        let (store, host) = (self.clone(), host.to_owned());
        let handler: Handler = Arc::new(move |request, _| store.handle(&host, request, &renamed));
        serve(listen(), handler)
    }

    pub fn set_empty_part_down(&self, is_down: bool) {
        self.state.0.lock().unwrap().is_empty_part_down = is_down;
        self.state.1.notify_all();
    }

    /// Writes a row with an empty part as operators, trainers and engines do; returns when it is acknowledged.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut state = self.state.0.lock().unwrap();
        state.ver += 1;
        put_row(&mut state, table, "", key, value.map(|value| value.to_string().into_bytes()));
        drop(state);
        self.state.1.notify_all();
    }

    /// Rows of a table, dropped ones left out.
    pub fn rows(&self, table: &str) -> Vec<Row> {
        let state = self.state.0.lock().unwrap();
        state.rows.iter().filter(|row| row.table == table && row.value.is_some()).cloned().collect()
    }

    pub fn applied(&self) -> Vec<Applied> {
        self.applied.lock().unwrap().clone()
    }

    fn handle(&self, host: &str, request: &Request, renamed: &Mutex<Vec<(String, String)>>) -> Reply {
        let renamed = renamed.lock().unwrap().clone();
        match request.path.as_str() {
            "/rows-tx" => self.transact(host, request),
            "/rows-get" => self.read(request, &renamed),
            "/rows-feed" => self.follow(request, &renamed),
            _ => Reply::json(404, "{}"),
        }
    }

    fn answer(&self, status: u16, rows: Vec<Json>, is_truncated: bool, ver: u64) -> Reply {
        #[allow(clippy::cast_precision_loss)]
        let now_ms = Json::Number(1.0 + self.started.elapsed().as_millis() as f64);
        let body = Json::map(vec![
            ("rows", Json::List(rows)),
            ("truncated", Json::Bool(is_truncated)),
            ("ver", Json::number(ver)),
            ("now_ms", now_ms),
        ]);
        Reply::json(status, &body.to_string())
    }

    fn transact(&self, host: &str, request: &Request) -> Reply {
        // The store takes some milliseconds.
        std::thread::sleep(Duration::from_millis(4));
        let Some(body) = Json::parse(&request.body) else { return Reply::json(400, "{}") };
        let name = |entry: &Json| {
            let text = |field: &str| entry.get(field).as_text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.state.0.lock().unwrap();
        let entries = ["expected_rev", "writes", "drop"].iter().flat_map(|list| body.get(list).as_list());
        if state.is_empty_part_down && entries.clone().any(|entry| entry.get("part").as_text().is_empty()) {
            return Reply::json(503, "{}");
        }
        if entries.clone().any(|entry| matches!(entry.get("table").as_text(), "op" | "servers")) {
            return Reply::json(403, "{}");
        }
        let find = |state: &State, entry: &Json| {
            let (table, part, key) = name(entry);
            let found = state.rows.iter().find(|row| row.table == table && row.part == part && row.key == key);
            found.filter(|row| row.value.is_some()).cloned()
        };
        let checks = body.get("expected_rev").as_list();
        if checks.iter().any(|entry| find(&state, entry).map_or(0, |row| row.ver) != entry.get("ver").as_u64()) {
            let present = checks.iter().filter_map(|entry| find(&state, entry)).map(|row| to_json(&row, &[]));
            return self.answer(412, present.collect(), false, state.ver);
        }
        state.ver += 1;
        let mut keys = Vec::new();
        for entry in body.get("writes").as_list() {
            let (table, part, key) = name(entry);
            keys.push(format!("{table}/{key}"));
            put_row(&mut state, &table, &part, &key, Some(decode_base64(entry.get("value").as_text())));
        }
        for entry in body.get("drop").as_list() {
            let (table, part, key) = name(entry);
            put_row(&mut state, &table, &part, &key, None);
        }
        let ver = state.ver;
        drop(state);
        self.applied.lock().unwrap().push(Applied { host: host.to_owned(), at: Instant::now(), keys });
        self.state.1.notify_all();
        self.answer(200, Vec::new(), false, ver)
    }

    fn read(&self, request: &Request, renamed: &[(String, String)]) -> Reply {
        std::thread::sleep(Duration::from_millis(4));
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let state = self.state.0.lock().unwrap();
        if state.is_empty_part_down && part.is_empty() {
            return Reply::json(503, "{}");
        }
        let mut found: Vec<&Row> = state
            .rows
            .iter()
            .filter(|row| row.table == table && row.part == part && row.value.is_some())
            .filter(|row| row.key >= from && (to.is_empty() || row.key < to))
            .collect();
        found.sort_by(|one, other| one.key.cmp(&other.key));
        let mut bytes = 0;
        let page = found.iter().take(500).take_while(|row| {
            bytes += row.value.as_ref().map_or(0, |value| value.len() * 4 / 3 + 100);
            bytes < 1_000_000
        });
        let page: Vec<Json> = page.map(|row| to_json(row, renamed)).collect();
        let is_truncated = page.len() < found.len();
        self.answer(200, page, is_truncated, state.ver)
    }

    fn follow(&self, request: &Request, renamed: &[(String, String)]) -> Reply {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or_default();
        let wait = Duration::from_millis(request.parameter("wait_ms").parse().unwrap_or_default());
        let deadline = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.is_empty_part_down && matches!(table.as_str(), "op" | "servers" | "status" | "duties") {
                return Reply::json(503, "{}");
            }
            let mut changed: Vec<&Row> = state.rows.iter().filter(|row| row.table == table && row.ver > after).collect();
            changed.sort_by_key(|row| row.ver);
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows = changed.into_iter().map(|row| to_json(row, renamed)).collect();
                return self.answer(200, rows, false, state.ver);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn put_row(state: &mut State, table: &str, part: &str, key: &str, value: Option<Vec<u8>>) {
    state.rows.retain(|row| !(row.table == table && row.part == part && row.key == key));
    let owned = |text: &str| text.to_owned();
    state.rows.push(Row { table: owned(table), part: owned(part), key: owned(key), value, ver: state.ver });
}

fn to_json(row: &Row, renamed: &[(String, String)]) -> Json {
    let value = row.value.as_ref().map_or(Json::Null, |value| {
        let mut text = String::from_utf8_lossy(value).into_owned();
        for (from, to) in renamed {
            text = text.replace(from, to);
        }
        Json::Text(encode_base64(text.as_bytes()))
    });
    Json::map(vec![
        ("table", Json::text(&row.table)),
        ("part", Json::text(&row.part)),
        ("key", Json::text(&row.key)),
        ("value", value),
        ("ver", Json::number(row.ver)),
        ("removed", Json::Bool(row.value.is_none())),
    ])
}
