//! The servers of a service are replaced in place by another version of their software, one after the other, each under the id that
//! it had. Streams that break off are taken up at hosts that have no connection to the server that was replaced just before.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::engine::{Engine, Work};
use crate::host::Host;
use crate::record::Record;
use crate::software_through_peers::{ALLOWED, CALLER_HOST, KEY, NEW, OLD, Received, ZONES, read_stream, run_stream};
use crate::store::Store;

const HOSTS: usize = 9;
const SERVERS: usize = 12;
const EVENTS: u64 = 90;
/// Servers that are replaced: half of them, the `share` of a `release` of the bench.
const REPLACED: usize = 6;
/// Time from the replacement of one to that of the next one; a `release` of the small site files has 0.76 to 1.1 s.
const GAP: Duration = Duration::from_millis(950);
const STREAMS: usize = 60;
/// Distance of the host of a retry from the one before.
const STEP: usize = 1;

/// Time for which a replaced server does not listen.
const DOWN: Duration = Duration::from_millis(900);

pub fn run(scratch: &Path, record: &Record, is_troubled: bool) -> Option<bool> {
    let store = Store::new();
    store.put(
        "op",
        "config",
        Some(&json!({
            "version": 1,
            "route_list": [{
                "name": "draft", "host": CALLER_HOST, "path_prefix": "/draft/", "route_kind": "streaming", "service": "bench-llm",
                "timeout_ms": 12000, "target_latency_ms": 400, "max_attempts": 3, "resumable": true,
            }],
            "services": [{"name": "bench-llm"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
            "tenants": [{"name": "huka270", "api_keys": [KEY.trim_start_matches("Bearer ")]}],
        })),
    );
    let work: Work =
        Arc::new(|engine: &Engine, request, connection, number| run_stream(engine, request, connection, number));
    let engines: Vec<Engine> = (0..SERVERS)
        .map(|number| {
            let zone = ZONES[number % 2];
            // The other servers have the new version already.
            let software = if number < REPLACED { OLD } else { NEW };
            Engine::start(
                &format!("{number}"),
                "bench-llm",
                zone,
                software,
                12,
                true,
                &store,
                record,
                Arc::clone(&work),
            )
        })
        .collect();
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|number| {
            let zone = ZONES[number % 2];
            let address = store.serve(Arc::default());
            Host::prepare(scratch, &format!("edge-{zone}-{}", number / 2 + 1), zone, address, address)
        })
        .collect();
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(15))) {
        return None;
    }
    std::thread::sleep(Duration::from_secs(4));
    let received: Vec<Arc<Mutex<Received>>> = (0..STREAMS).map(|_| Arc::default()).collect();
    let addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.caller).collect();
    let clients: Vec<_> = received
        .iter()
        .enumerate()
        .map(|(number, received)| {
            std::thread::sleep(Duration::from_millis(20));
            let (received, addresses, record) = (Arc::clone(received), addresses.clone(), record.clone());
            std::thread::spawn(move || {
                // Retries reach the other hosts.
                let address_of = |attempt: usize| addresses[(number + STEP * attempt) % HOSTS];
                read_stream(number, address_of, EVENTS, &received, &record);
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    if is_troubled {
        for engine in &engines[..REPLACED] {
            let replaced_at = Instant::now();
            record.write(&format!("{} is replaced in place, by software {NEW}", engine.id()));
            *engine.software.lock().unwrap() = NEW.to_owned();
            engine.crash(DOWN);
            std::thread::sleep(GAP.saturating_sub(replaced_at.elapsed()));
        }
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let (mut mixed, mut whole, mut taken_up) = (0, 0, 0);
    for (number, received) in received.iter().enumerate() {
        let received = received.lock().unwrap();
        let mut versions = received.software.clone();
        versions.dedup();
        mixed += usize::from(versions.len() > 1);
        whole += usize::from(received.is_whole);
        taken_up += usize::from(received.tries > 1);
        record.write(&format!(
            "draft-{number}: {} events of versions {versions:?}, whole: {}, {} tries",
            received.software.len(),
            received.is_whole,
            received.tries
        ));
    }
    record.say(&format!(
        "{STREAMS} streams, {taken_up} were taken up, {whole} ended whole; {mixed} hold events of two versions, allowed {ALLOWED}"
    ));
    if is_troubled && taken_up < 12 {
        return None;
    }
    Some(mixed <= ALLOWED)
}
