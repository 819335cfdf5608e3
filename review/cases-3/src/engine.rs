//! Stand-in of a server: it registers itself in the store, runs requests, and can crash and start again.

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::http::{Connection, Message, response};
use crate::record::Record;
use crate::store::Store;

/// `heartbeat_ms` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What a server does with a request that it begins to run; writes the answer itself.
pub type Work = Arc<dyn Fn(&Engine, &Message, &mut Connection, u64) + Send + Sync>;

#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Whether the process runs.
    pub is_up: Arc<AtomicBool>,
    /// Whether the machine has no power: its connections stay open and silent, and new ones hang.
    is_dark: Arc<AtomicBool>,
    /// Number of the start.
    start: Arc<AtomicU64>,
    born: Arc<AtomicU64>,
    pub software: Arc<Mutex<String>>,
    pub state: Arc<Mutex<String>>,
    /// Whether a new start keeps the id.
    pub keeps_id: bool,
    sequence: Arc<AtomicU64>,
    last_renewal: Arc<Mutex<Instant>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    store: Store,
    pub record: Record,
    work: Work,
    slots: u32,
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Engine {
    #[expect(clippy::too_many_arguments, reason = "one call")]
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        software: &str,
        slots: u32,
        keeps_id: bool,
        store: &Store,
        record: &Record,
        work: Work,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            is_up: Arc::new(AtomicBool::new(true)),
            is_dark: Arc::default(),
            start: Arc::new(AtomicU64::new(1)),
            born: Arc::new(AtomicU64::new(now_ms())),
            software: Arc::new(Mutex::new(software.to_owned())),
            state: Arc::new(Mutex::new("ready".to_owned())),
            keeps_id,
            sequence: Arc::default(),
            last_renewal: Arc::new(Mutex::new(Instant::now())),
            streams: Arc::default(),
            store: store.clone(),
            record: record.clone(),
            work,
            slots,
        };
        engine.renew_entry();
        let this = engine.clone();
        std::thread::spawn(move || this.serve(listener));
        let this = engine.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let is_due = this.last_renewal.lock().unwrap().elapsed() >= HEARTBEAT;
                if is_due && this.is_up.load(Ordering::Acquire) {
                    this.renew_entry();
                }
            }
        });
        engine
    }

    pub fn number(&self) -> u64 {
        self.start.load(Ordering::Acquire)
    }

    pub fn id(&self) -> String {
        if self.keeps_id { format!("i-{}", self.name) } else { format!("i-{}-{}", self.name, self.number()) }
    }

    /// Writes the entry, as each heartbeat and each change of the state does.
    pub fn renew_entry(&self) {
        *self.last_renewal.lock().unwrap() = Instant::now();
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel);
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": *self.software.lock().unwrap(), "slots": self.slots, "state": *self.state.lock().unwrap(),
            "cold_left_ms": 0, "seq": sequence, "born": self.born.load(Ordering::Acquire),
        });
        self.store.put("servers", &self.id(), Some(&entry));
    }

    /// Ends the process without a word, and starts it again after `down`. The entry goes after three heartbeats of silence.
    pub fn crash(&self, down: Duration) {
        if !self.is_up.swap(false, Ordering::AcqRel) {
            return;
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.come_back(down);
    }

    /// Like [`Self::crash`], but the machine loses its power, so that nothing ends its connections.
    pub fn lose_power(&self, down: Duration) {
        self.is_dark.store(true, Ordering::Release);
        if self.is_up.swap(false, Ordering::AcqRel) {
            self.come_back(down);
        }
    }

    fn come_back(&self, down: Duration) {
        let number = self.number();
        let (old_id, last) = (self.id(), *self.last_renewal.lock().unwrap());
        let this = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(down);
            this.start.store(number + 1, Ordering::Release);
            this.born.store(now_ms(), Ordering::Release);
            this.sequence.store(0, Ordering::Release);
            this.is_dark.store(false, Ordering::Release);
            this.is_up.store(true, Ordering::Release);
            // Listens before it registers itself.
            std::thread::sleep(Duration::from_millis(5));
            this.renew_entry();
            if !this.keeps_id {
                std::thread::sleep((last + HEARTBEAT * 3).saturating_duration_since(Instant::now()));
                this.store.put("servers", &old_id, None);
            }
        });
    }

    fn serve(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let is_up = self.is_up.load(Ordering::Acquire);
            if !is_up && self.is_dark.load(Ordering::Acquire) {
                // With a full queue of connections, the system drops the first packets of further ones.
                let hung = listener.take().filter(|listener| rustix::net::listen(listener, 0).is_ok());
                let fillers: Vec<TcpStream> = (0..3)
                    .filter_map(|_| TcpStream::connect_timeout(&self.address, Duration::from_millis(20)).ok())
                    .collect();
                while self.is_dark.load(Ordering::Acquire) {
                    std::thread::sleep(Duration::from_millis(1));
                }
                drop((hung, fillers));
            } else if !is_up {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(listener) = &listener else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = listener.set_nonblocking(true);
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    self.streams.lock().unwrap().extend(stream.try_clone());
                    let this = self.clone();
                    std::thread::spawn(move || this.serve_connection(stream));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => std::thread::sleep(Duration::from_millis(1)),
                Err(_) => {}
            }
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let number = self.number();
        let mut connection = Connection::new(stream);
        while let Some(request) = connection.read_message() {
            if self.number() != number || !self.is_up.load(Ordering::Acquire) {
                return;
            }
            let id = request.header("x-request-id").unwrap_or_default().to_owned();
            if request.header("x-expect-instance") != Some(self.id().as_str()) {
                let headers = [("X-Not-Executed", "1"), ("X-Request-Id", id.as_str()), ("X-Instance-Id", &self.id())];
                if connection.stream.write_all(&response(421, &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            if request.path() == "/report" {
                let report = json!({
                    "stage": "both", "models": [], "busy": false, "seq": 0, "waiting": 0, "running": 0, "kv_used": 0,
                    "kv_total": 90000, "handles": 0, "born": self.born.load(Ordering::Acquire),
                });
                let bytes = response(200, &[("Content-Type", "application/json")], report.to_string().as_bytes());
                if connection.stream.write_all(&bytes).is_err() {
                    return;
                }
                continue;
            }
            (self.work)(self, &request, &mut connection, number);
            if self.number() != number || !self.is_up.load(Ordering::Acquire) {
                return;
            }
        }
    }

    /// Whether the process that had this number still runs.
    pub fn runs(&self, number: u64) -> bool {
        self.is_up.load(Ordering::Acquire) && self.number() == number
    }

    /// Answers a request after some work, unless the process ends meanwhile.
    pub fn answer_plain(&self, request: &Message, connection: &mut Connection, number: u64, work: Duration) {
        std::thread::sleep(work);
        if !self.runs(number) {
            return;
        }
        let id = request.header("x-request-id").unwrap_or_default();
        let headers = [("X-Request-Id", id), ("X-Server-Stamp", &format!("s-{id}")), ("Keep-Alive", "timeout=5")];
        let _ = connection.stream.write_all(&response(200, &headers, format!("ran {id}").as_bytes()));
    }
}
