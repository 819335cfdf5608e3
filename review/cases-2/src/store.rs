//! Stand-in of the platform's store: transactions, range reads and feeds, as the pages say.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, respond, serve};
use crate::json::{Json, base64, object};

/// Time of a transaction (`tx_ms`), and of another answer.
const TX_TIME: Duration = Duration::from_millis(5);
const READ_TIME: Duration = Duration::from_millis(4);

type Name = (String, String, String);

#[derive(Default)]
struct State {
    /// Rows by table, part and key: value (`None` once dropped) and version.
    rows: BTreeMap<Name, (Option<String>, u64)>,
    /// Names of the rows of a table by their versions.
    versions: HashMap<String, BTreeMap<u64, Name>>,
    version: u64,
}

impl State {
    fn put(&mut self, name: Name, value: Option<String>) {
        let version = self.version;
        let versions = self.versions.entry(name.0.clone()).or_default();
        if let Some((_, old)) = self.rows.get(&name) {
            versions.remove(old);
        }
        // Several rows of one transaction have the same version on the wire; the map needs distinct ones.
        let mut slot = version * 1000;
        while versions.contains_key(&slot) {
            slot += 1;
        }
        versions.insert(slot, name.clone());
        self.rows.insert(name, (value, slot));
    }

    fn version_of(&self, name: &Name) -> u64 {
        self.rows.get(name).filter(|row| row.0.is_some()).map_or(0, |row| row.1 / 1000)
    }

    fn row(&self, name: &Name) -> Json {
        let (value, slot) = &self.rows[name];
        object([
            ("table", name.0.as_str().into()),
            ("part", name.1.as_str().into()),
            ("key", name.2.as_str().into()),
            ("value", value.as_ref().map_or(Json::Null, |value| value.as_str().into())),
            ("ver", Json::Number((slot / 1000) as f64)),
            ("removed", Json::Bool(value.is_none())),
        ])
    }
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn new() -> Arc<Store> {
        let state = State { version: 1, ..State::default() };
        Arc::new(Store { state: Mutex::new(state), changed: Condvar::new(), started: Instant::now() })
    }

    pub fn serve(self: &Arc<Store>) -> SocketAddr {
        let store = Arc::clone(self);
        serve(Arc::new(move |request, stream| {
            let (status, body) = store.answer(request);
            respond(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
        }))
    }

    /// Writes a row as an operator or an engine does; `None` drops it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.put((table.into(), String::new(), key.into()), value.map(|value| base64(value.to_string().as_bytes())));
        drop(state);
        self.changed.notify_all();
    }

    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0 + 1.0
    }

    fn reply(&self, state: &State, status: u16, rows: Vec<Json>, truncated: bool) -> (u16, String) {
        let now = self.now_ms();
        let body = object([
            ("rows", rows.into()),
            ("truncated", truncated.into()),
            ("ver", Json::Number(state.version as f64)),
            ("now_ms", now.into()),
        ]);
        (status, body.to_string())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let text = |name: &str| request.query(name).unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|value| value.parse::<u64>().ok()).unwrap_or_default();
        match request.path() {
            "/rows-tx" => self.transact(&request.body),
            "/rows-get" => {
                std::thread::sleep(READ_TIME);
                let (table, part, from, to) = (text("table"), text("part"), text("from"), text("to"));
                let limit = (number("limit") as usize).clamp(1, 500);
                let state = self.state.lock().unwrap();
                let mut rows = Vec::new();
                let (mut bytes, mut truncated) = (0, false);
                for (name, (value, _)) in state.rows.range((table.clone(), part.clone(), from)..) {
                    if name.0 != table || name.1 != part || (!to.is_empty() && name.2 >= to) {
                        break;
                    }
                    let Some(value) = value else { continue };
                    bytes += value.len();
                    if rows.len() == limit || (bytes > 1_000_000 && !rows.is_empty()) {
                        truncated = true;
                        break;
                    }
                    rows.push(state.row(name));
                }
                self.reply(&state, 200, rows, truncated)
            }
            "/rows-feed" => {
                std::thread::sleep(READ_TIME);
                let (table, after) = (text("table"), number("after"));
                let deadline = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
                let mut state = self.state.lock().unwrap();
                loop {
                    let changes = state.versions.get(&table);
                    let rows: Vec<Json> = changes.map_or_else(Vec::new, |changes| {
                        changes.range((after + 1) * 1000..).map(|(_, name)| state.row(name)).collect()
                    });
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        return self.reply(&state, 200, rows, false);
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        std::thread::sleep(TX_TIME);
        let Some(body) = Json::parse(body).filter(|_| body.len() <= 1_048_576) else { return (400, "{}".to_owned()) };
        let name = |entry: &Json| {
            let text = |name: &str| entry.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let (checks, writes, drops) =
            (body.get("expected_rev").list(), body.get("writes").list(), body.get("drop").list());
        let is_foreign = |entry: &Json| matches!(name(entry).0.as_str(), "op" | "servers");
        if writes.iter().chain(drops).any(is_foreign) {
            return (403, "{}".to_owned());
        }
        let is_long = |entry: &Json| entry.get("value").text().len() > 65_536 / 3 * 4 + 4;
        if checks.len() + writes.len() + drops.len() > 100 || writes.iter().any(is_long) {
            return (400, "{}".to_owned());
        }
        let mut state = self.state.lock().unwrap();
        if checks.iter().any(|check| state.version_of(&name(check)) != check.get("ver").number() as u64) {
            let present = checks.iter().map(name).filter(|name| state.version_of(name) > 0);
            let rows = present.map(|name| state.row(&name)).collect();
            return self.reply(&state, 412, rows, false);
        }
        state.version += 1;
        for write in writes {
            state.put(name(write), Some(write.get("value").text().to_owned()));
        }
        for entry in drops {
            state.put(name(entry), None);
        }
        let reply = self.reply(&state, 200, Vec::new(), false);
        drop(state);
        self.changed.notify_all();
        reply
    }
}
