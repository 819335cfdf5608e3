//! Case about the orders of two holders.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::{Engine, EngineOptions, Order};
use crate::http::Link;
use crate::json::Json;
use crate::record::Record;
use crate::site::{ENGINES, MODEL, Site, configuration, rollout_route};
use crate::store::Store;

/// Time within which holders must not take turns, and time after a healed link in which orders don't count.
const TURN: Duration = Duration::from_millis(3000);
const THAW: Duration = Duration::from_millis(300);

/// Host that holds the leader lease, as its row in the store says.
fn leader(site: &Site) -> Option<usize> {
    let row = site.store.rows("duties").into_iter().find(|row| row.key == "lease")?;
    let lease = Json::parse(&row.value?)?;
    site.host_named(lease.get("holder").as_text().split('@').next()?)
}

/// Waits until a host writes the lease, and returns when it did.
fn wait_lease_write(site: &Site, is_wanted: impl Fn(&str) -> bool, patience: Duration) -> Option<(String, Instant)> {
    let started = Instant::now();
    while started.elapsed() < patience {
        let writes = site.store.applied();
        let found = writes.iter().rev().take_while(|write| write.at >= started).find(|write| {
            is_wanted(&write.host) && write.keys.iter().any(|key| key == "duties/lease")
        });
        if let Some(write) = found {
            return Some((write.host.clone(), write.at));
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    None
}

/// The host that holds the lease is cut off for 3.4 s while an engine leaves its orders unanswered. The next holder is stopped
/// as planned soon after its first order. The first host takes the lease again at once and orders the same engine.
pub fn turns(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::new();
    let options = EngineOptions {
        id: "i-1".to_owned(),
        service: ENGINES.to_owned(),
        zone: "moka".to_owned(),
        model: Some(MODEL.to_owned()),
        events: 20,
        pause: Duration::from_millis(10),
        work: Duration::ZERO,
        failing: None,
        endless_in_ten: 0,
    };
    let engine = Engine::start(options, &store, &record, &Arc::new(Mutex::default()));
    let route = rollout_route("r-steps", "steps.example", "/steps/", false);
    let site = Site::start(3, &configuration(1, vec![route]), Arc::clone(&record), store);
    let mut broken = Vec::new();
    let started = Instant::now();
    let mut healed: Vec<Instant> = Vec::new();
    for version in 2.. {
        if !broken.is_empty() || started.elapsed() > Duration::from_secs(if has_trouble { 85 } else { 40 }) {
            break;
        }
        // Beyond `contact_ms`, and until hosts that held the lease may take it again.
        std::thread::sleep(Duration::from_millis(4000));
        let Some(first) = leader(&site) else { continue };
        let first_name = site.hosts[first].name.clone();
        engine.is_order_late.store(true, Ordering::SeqCst);
        let Some((_, renewed_at)) = wait_lease_write(&site, |host| host == first_name, Duration::from_secs(3)) else { continue };
        std::thread::sleep(Duration::from_millis(200));
        let named = Json::map(vec![("model", Json::text(MODEL)), ("version", Json::number(version))]);
        site.store.put("op", &format!("version/{MODEL}"), Some(&named));
        record.write(&format!("a trainer names version {version}; {first_name} is the holder"));
        sleep_until(renewed_at + Duration::from_millis(450));
        if has_trouble {
            site.set_links(first, Link::Silent);
        }
        sleep_until(renewed_at + Duration::from_millis(2200));
        engine.is_order_late.store(false, Ordering::SeqCst);
        if !has_trouble {
            std::thread::sleep(Duration::from_millis(2500));
            broken.extend(find_turns(&engine.orders.lock().unwrap(), &healed));
            continue;
        }
        let next = wait_lease_write(&site, |host| host != first_name, Duration::from_secs(4));
        let Some(second) = next.and_then(|(host, _)| site.host_named(&host)) else {
            site.set_links(first, Link::Open);
            continue;
        };
        let second_name = &site.hosts[second].name;
        record.write(&format!("{second_name} took the lease"));
        let waiting = Instant::now();
        let has_ordered = || engine.orders.lock().unwrap().last().is_some_and(|order| order.holder == *second_name);
        while !has_ordered() && waiting.elapsed() < Duration::from_millis(600) {
            std::thread::sleep(Duration::from_millis(2));
        }
        // The order has arrived before the link heals, so that it counts.
        std::thread::sleep(Duration::from_millis(10));
        site.set_links(first, Link::Open);
        healed.push(Instant::now());
        std::thread::sleep(Duration::from_millis(180));
        site.terminate(second);
        std::thread::sleep(Duration::from_millis(1500));
        broken.extend(find_turns(&engine.orders.lock().unwrap(), &healed));
        while !site.has_ended(second) {
            std::thread::sleep(Duration::from_millis(20));
        }
        site.start_host(second);
    }
    Verdict { broken }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Orders of one holder before and after those of another one, within `lease_ms`. Orders within `thaw_ms` after a link healed
/// don't count.
fn find_turns(orders: &[Order], healed: &[Instant]) -> Option<String> {
    let counts = |order: &&Order| {
        !healed.iter().any(|at| order.at >= *at && order.at < *at + THAW)
    };
    let orders: Vec<&Order> = orders.iter().filter(counts).collect();
    for (position, last) in orders.iter().enumerate() {
        let near = orders[..position].iter().filter(|order| last.at - order.at < TURN);
        let near: Vec<&&Order> = near.collect();
        let first = near.iter().position(|order| order.holder == last.holder);
        let other = first.and_then(|first| near[first..].iter().find(|order| order.holder != last.holder));
        if let (Some(first), Some(other)) = (first, other) {
            return Some(format!(
                "ONE: i-1 got orders of {} (fence {}), {} (fence {}) and {} (fence {}) within {} ms, where lease_ms is 3000",
                near[first].holder,
                near[first].fence,
                other.holder,
                other.fence,
                last.holder,
                last.fence,
                (last.at - near[first].at).as_millis()
            ));
        }
    }
    None
}
