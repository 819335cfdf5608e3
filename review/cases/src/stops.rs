//! Case about planned stops.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::{Engine, EngineOptions, Run};
use crate::http::CallError;
use crate::record::Record;
use crate::site::{DESK, Site, configuration, plain_route};
use crate::store::Store;

const HOSTS: usize = 3;
const GRACE: Duration = Duration::from_secs(8);

/// Time that a request takes at its server.
const WORK: Duration = Duration::from_millis(3400);

/// Time that the client waits; less than `timeout_ms` of the route.
const DEADLINE: Duration = Duration::from_millis(9000);

/// The platform's balancer: it asks each host once a second, takes a host out after two misses, and uses all hosts of the zone
/// when fewer than half of them are in rotation.
struct Balancer {
    in_rotation: Mutex<[bool; HOSTS]>,
}

impl Balancer {
    fn choose(&self, client: usize) -> usize {
        let in_rotation = *self.in_rotation.lock().unwrap();
        let mut hosts: Vec<usize> = (0..HOSTS).filter(|host| in_rotation[*host]).collect();
        if 2 * hosts.len() < HOSTS {
            hosts = (0..HOSTS).collect();
        }
        hosts[client % hosts.len()]
    }

    fn watch(&self, site: &Site, has_ended: &AtomicBool) {
        let mut misses = [0; HOSTS];
        while !has_ended.load(Ordering::SeqCst) {
            for host in 0..HOSTS {
                misses[host] = if site.is_ready(host) { 0 } else { misses[host] + 1 };
                let is_in = misses[host] < 2;
                let was_in = std::mem::replace(&mut self.in_rotation.lock().unwrap()[host], is_in);
                if is_in != was_in {
                    let state = if is_in { "in" } else { "out of" };
                    site.record.write(&format!("the balancer has {} {state} rotation", site.hosts[host].name));
                }
            }
            std::thread::sleep(Duration::from_secs(1));
        }
    }
}

/// The hosts of a zone are stopped and started one after the other, 1.3 s apart. A request that reaches a host between 3 s and
/// 4 s after its SIGTERM and takes 3.4 s ends with the process, well before `grace_s`.
pub fn rolling_stop(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::new();
    let runs = Arc::new(Mutex::new(Vec::<Run>::new()));
    for number in 1..=4 {
        let options = EngineOptions {
            id: format!("i-{number}"),
            service: DESK.to_owned(),
            zone: "moka".to_owned(),
            model: None,
            events: 0,
            pause: Duration::ZERO,
            work: WORK,
            failing: None,
            endless_in_ten: 0,
        };
        Engine::start(options, &store, &record, &runs);
    }
    let route = plain_route("r-desk", "desk.example", "/desk/", "non_idempotent", 10_000);
    let site = Arc::new(Site::start(HOSTS, &configuration(1, vec![route]), Arc::clone(&record), store));
    let balancer = Arc::new(Balancer { in_rotation: Mutex::new([true; HOSTS]) });
    let has_ended = Arc::new(AtomicBool::new(false));
    let (watch_site, watch_balancer, watch_end) = (Arc::clone(&site), Arc::clone(&balancer), Arc::clone(&has_ended));
    let watcher = std::thread::spawn(move || watch_balancer.watch(&watch_site, &watch_end));
    std::thread::sleep(Duration::from_millis(3500));
    // When each host got its SIGTERM.
    let stops: Arc<Mutex<[Option<Instant>; HOSTS]>> = Arc::default();
    let stopper = {
        let (site, stops, has_ended) = (Arc::clone(&site), Arc::clone(&stops), Arc::clone(&has_ended));
        std::thread::spawn(move || {
            let started = Instant::now();
            let mut is_restarted = [false; HOSTS];
            while has_trouble && !has_ended.load(Ordering::SeqCst) {
                for host in 0..HOSTS {
                    let is_due = started.elapsed() >= Duration::from_millis(1300) * u32::try_from(host).unwrap();
                    if is_due && stops.lock().unwrap()[host].is_none() {
                        stops.lock().unwrap()[host] = Some(Instant::now());
                        site.terminate(host);
                    }
                    let stopped_at = stops.lock().unwrap()[host];
                    if stopped_at.is_some() && !is_restarted[host] && site.has_ended(host) {
                        is_restarted[host] = true;
                        record_end(&site, host, stopped_at);
                        std::thread::sleep(Duration::from_millis(300));
                        site.start_host(host);
                    }
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        })
    };
    let broken = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for client in 0..70 {
        std::thread::sleep(Duration::from_millis(100));
        let host = balancer.choose(client);
        let (site, runs) = (Arc::clone(&site), Arc::clone(&runs));
        let (stops, broken) = (Arc::clone(&stops), Arc::clone(&broken));
        clients.push(std::thread::spawn(move || {
            let id = format!("request{client}");
            let headers = [
                ("Host", "desk.example".to_owned()),
                ("X-Request-Id", id.clone()),
                ("X-Deadline-Ms", DEADLINE.as_millis().to_string()),
            ];
            let sent_at = Instant::now();
            let answer = site.call(host, "POST", &format!("/desk/{client}"), &headers, b"a booking", DEADLINE);
            let Err(CallError::Ended(end)) = answer else { return };
            let Some(stopped_at) = stops.lock().unwrap()[host] else { return };
            let sent_after = sent_at.saturating_duration_since(stopped_at);
            let ended_after = stopped_at.elapsed();
            let has_run = runs.lock().unwrap().iter().any(|run| run.id == id);
            // A request that was sent within 3 s and would have been at work in the last sixth of the grace time is excused.
            let is_excused = sent_after <= Duration::from_secs(3) && sent_at + WORK >= stopped_at + GRACE.mul_f64(5.0 / 6.0);
            if has_run && !is_excused && ended_after < GRACE + Duration::from_secs(1) {
                broken.lock().unwrap().push(format!(
                    "LOST: {id}, sent to {} {} ms after its SIGTERM and run by a server, ended without an answer {} ms after the \
                     SIGTERM, where grace_s is 8: {end}",
                    site.hosts[host].name,
                    sent_after.as_millis(),
                    ended_after.as_millis()
                ));
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    has_ended.store(true, Ordering::SeqCst);
    let _ = (watcher.join(), stopper.join());
    let broken = broken.lock().unwrap().clone();
    Verdict { broken }
}

fn record_end(site: &Site, host: usize, stopped_at: Option<Instant>) {
    let elapsed = stopped_at.map(|at| at.elapsed().as_millis()).unwrap_or_default();
    site.record.write(&format!("{} ended {elapsed} ms after its SIGTERM", site.hosts[host].name));
}
