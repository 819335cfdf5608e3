//! A request that crashes the servers that run it comes again and again at hosts that are partitioned from all servers and pass
//! their requests on through other hosts.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::engine::{Engine, Work};
use crate::host::Host;
use crate::http;
use crate::link::{Link, OPEN, REFUSED};
use crate::record::Record;
use crate::store::Store;

const CALLER_HOST: &str = "ficu95.example";
const KEY: &str = "Bearer 2b9wu3fexd9dnn2ctnfz";

/// Length of the partition, the longest of a `node_cut` in the small site files.
const CUT: Duration = Duration::from_secs(12);
/// Time from the begin of the partition until the crashing request comes for the first time.
const FIRST: Duration = Duration::from_millis(1500);
/// Time after which the request comes again.
const AGAIN: Duration = Duration::from_millis(700);
/// Time for which a server that crashed is down.
const DOWN: Duration = Duration::from_secs(2);
/// `contact_ms` of the rule.
const CONTACT: Duration = Duration::from_secs(3);
/// Retries that the rule allows after that.
const ALLOWED: usize = 3;

const ZONES: [&str; 2] = ["tt-south-a", "tt-south-b"];

pub fn run(scratch: &Path, record: &Record, is_troubled: bool) -> Option<bool> {
    let store = Store::new();
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": CALLER_HOST, "path_prefix": format!("/{name}/"), "route_kind": kind, "service": "post-desk",
            "timeout_ms": 5000, "target_latency_ms": 150, "max_attempts": 3,
        })
    };
    store.put(
        "op",
        "config",
        Some(&json!({
            "version": 1,
            "route_list": [route("look", "idempotent"), route("book", "non_idempotent")],
            "services": [{"name": "post-desk"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
            "tenants": [{"name": "huka270", "api_keys": [KEY.trim_start_matches("Bearer ")]}],
        })),
    );
    // Runs of the request that crashes servers.
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let known = Arc::clone(&crashes);
    let work: Work = Arc::new(move |engine: &Engine, request, connection, number| {
        let id = request.header("x-request-id").unwrap_or_default();
        if request.body == b"crash" {
            known.lock().unwrap().push(Instant::now());
            engine.record.write(&format!("{} runs {id}, which crashes it", engine.id()));
            engine.crash(DOWN);
            return;
        }
        let work = if request.path().starts_with("/book/") { 120 } else { 25 };
        engine.answer_plain(request, connection, number, Duration::from_millis(work));
    });
    let engines: Vec<Engine> = (0..8)
        .map(|number| {
            let zone = ZONES[number % 2];
            Engine::start(&format!("{number}"), "post-desk", zone, "1.4", 6, false, &store, record, Arc::clone(&work))
        })
        .collect();
    // Hosts 0 and 1 are all hosts of the first zone and have links of their own.
    let mut links: Vec<Link> = Vec::new();
    let mut hosts: Vec<Host> = (0..4)
        .map(|number| {
            let mut addresses = Vec::new();
            if number < 2 {
                for engine in &engines {
                    let link = Link::start(engine.address, Arc::clone(&engine.is_up));
                    addresses.push((engine.address, link.address));
                    links.push(link);
                }
            }
            let zone = ZONES[number / 2];
            let address = store.serve(Arc::new(addresses));
            Host::prepare(scratch, &format!("edge-{zone}-{}", number % 2 + 1), zone, address, address)
        })
        .collect();
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(15))) {
        return None;
    }
    std::thread::sleep(Duration::from_secs(4));

    let is_ending = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    let mut callers = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        for (kind, interval) in [("look", 60), ("book", 90)] {
            let (caller, is_ending, lost, served) =
                (host.caller, Arc::clone(&is_ending), Arc::clone(&lost), Arc::clone(&served));
            callers.push(std::thread::spawn(move || {
                for request in 0.. {
                    if is_ending.load(Ordering::Acquire) {
                        return;
                    }
                    let id = format!("{kind}-{number}-{request}");
                    match send(caller, kind, &id, b"parcel").map(|answer| answer.status()) {
                        Some(200) => served.fetch_add(1, Ordering::Relaxed),
                        Some(502 | 504) | None if kind == "book" => lost.fetch_add(1, Ordering::Relaxed),
                        _ => 0,
                    };
                    std::thread::sleep(Duration::from_millis(interval));
                }
            }));
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    if is_troubled {
        record.write("the hosts of the first zone are partitioned from all servers");
        links.iter().for_each(|link| link.set_mode(REFUSED));
    }
    let cut_at = Instant::now();
    std::thread::sleep(FIRST);
    let mut request = 0;
    while cut_at.elapsed() + AGAIN < CUT {
        let sent_at = Instant::now();
        let id = format!("crash-{request}");
        // A client of the first zone; its retries reach the other host of the zone.
        let host = &hosts[request % 2];
        record.write(&format!("{id} is sent to {}", host.name));
        let answer = send(host.caller, "book", &id, b"crash");
        record.write(&format!("{id} is answered {}", answer.map_or(0, |answer| answer.status())));
        request += 1;
        std::thread::sleep(AGAIN.saturating_sub(sent_at.elapsed()));
    }
    std::thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    links.iter().for_each(|link| link.set_mode(OPEN));
    record.write("the partition has ended");
    std::thread::sleep(Duration::from_secs(2));
    is_ending.store(true, Ordering::Release);
    callers.into_iter().for_each(|caller| drop(caller.join()));

    let crashes = crashes.lock().unwrap().clone();
    let third = crashes.get(2).copied();
    let late =
        third.map_or(0, |third| crashes.iter().filter(|at| at.saturating_duration_since(third) > CONTACT).count());
    record.say(&format!(
        "{request} times sent, {} times run; {late} retries reached servers later than {CONTACT:?} after the third crash, allowed {ALLOWED}",
        crashes.len()
    ));
    record.say(&format!(
        "other requests: {} served, {} bookings ended without an answer of their server",
        served.load(Ordering::Relaxed),
        lost.load(Ordering::Relaxed)
    ));
    if served.load(Ordering::Relaxed) < 100 || crashes.len() < 3 {
        return None;
    }
    Some(late <= ALLOWED)
}

fn send(caller: std::net::SocketAddr, kind: &str, id: &str, body: &[u8]) -> Option<http::Message> {
    let headers = [("Host", CALLER_HOST), ("X-Request-Id", id), ("X-Deadline-Ms", "2000"), ("Authorization", KEY)];
    http::send(caller, "POST", &format!("/{kind}/parcel"), &headers, body, Duration::from_millis(2000))
}
