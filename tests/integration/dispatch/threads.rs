//! Dispatch with its threads and the real clock.

use std::sync::mpsc::sync_channel;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use camphorspring::control::{ControlHandle, ControlView, HostIdentity};
use camphorspring::dispatch::{DispatchHandle, DispatchSetup, start_dispatch};
use camphorspring::peer::FrameSender;
use camphorspring::prelude::*;
use googletest::prelude::*;
use prometheus::Registry;

use super::network::{SERVICE, ask, configuration, incarnation_of, view};

const HOSTS: [(&str, &str); 2] = [("host-1", "north"), ("host-2", "north")];

struct ThreadedHost {
    dispatch: DispatchHandle,
    registry: Registry,
}

/// Starts hosts whose frames go straight to each other's handlers.
fn start_hosts() -> Vec<Arc<ThreadedHost>> {
    let hosts: Arc<OnceLock<Vec<Arc<ThreadedHost>>>> = Arc::new(OnceLock::new());
    let configuration = Arc::new(configuration(&[("t1", "north"), ("t2", "north")], 2, 2));
    let started = HOSTS.map(|(name, domain)| {
        let now = boot_time();
        let mut view = view(name, &HOSTS, &configuration, now);
        view.store_read_at = Some(now + Duration::from_hours(1));
        start_host(name, domain, view, &hosts)
    });
    assert!(hosts.set(started.to_vec()).is_ok());
    started.to_vec()
}

fn start_host(
    name: &str,
    domain: &str,
    view: ControlView,
    hosts: &Arc<OnceLock<Vec<Arc<ThreadedHost>>>>,
) -> Arc<ThreadedHost> {
    let (events, _) = sync_channel(1);
    let control = ControlHandle::new(Arc::new(ArcSwap::from_pointee(view)), events);
    let origin =
        HostIdentity { host: name.to_owned(), failure_domain: domain.to_owned(), incarnation: incarnation_of(name) };
    let peers = Arc::clone(hosts);
    let frames: FrameSender = Arc::new(move |to, frame| {
        let Some(peers) = peers.get() else { return false };
        let position = HOSTS.iter().position(|(host, _)| *host == to).unwrap();
        (peers[position].dispatch.frame_handler)(&origin, frame);
        true
    });
    let registry = Registry::new();
    let mut setup = DispatchSetup::new(control, frames, registry.clone());
    setup.share_increase_delay = Duration::from_millis(100);
    setup.probe_period = None;
    Arc::new(ThreadedHost { dispatch: start_dispatch(setup), registry })
}

/// Guards against a coordinator that grants more permits than the limit, or loses slots, when requests of several hosts
/// race.
#[googletest::test]
fn requests_of_two_hosts_share_slots() {
    let hosts = start_hosts();
    // Current and highest number of requests that run at once.
    let running = Arc::new(Mutex::new((0_u32, 0_u32)));
    std::thread::scope(|scope| {
        for thread in 0..16 {
            let host = &hosts[thread % 2];
            let running = Arc::clone(&running);
            scope.spawn(move || {
                for _ in 0..5 {
                    let permit = (host.dispatch.source)(&ask("small"));
                    let permit = permit.unwrap_or_else(|code| panic!("no permit: {code}"));
                    {
                        let mut counts = running.lock().unwrap();
                        counts.0 += 1;
                        counts.1 = counts.1.max(counts.0);
                    }
                    std::thread::yield_now();
                    running.lock().unwrap().0 -= 1;
                    drop(permit);
                }
            });
        }
    });
    expect_that!(running.lock().unwrap().1, all!(ge(1), le(4)));
    for host in &hosts {
        expect_that!(host.dispatch.count_held_permits(), eq(0));
    }
}

/// Guards against metrics that are registered and never counted.
#[googletest::test]
fn metrics_count_grants_and_refusals() {
    let hosts = start_hosts();
    let permit = (hosts[0].dispatch.source)(&ask("small"));
    expect_that!(permit.is_ok(), eq(true));
    let mut impossible = ask("small");
    impossible.excluded_targets = vec!["t1".to_owned(), "t2".to_owned()];
    expect_that!((hosts[0].dispatch.source)(&impossible).err(), some(eq(ResultCode::NoTarget)));
    let is_shown = |line: &str| hosts.iter().any(|host| metrics_text(&host.registry).contains(line));
    let end = Instant::now() + Duration::from_secs(20);
    let gauge = format!("camphorspring_queue_length{{service=\"{SERVICE}\",shard=\"0\"}} 0");
    while !is_shown(&gauge) && Instant::now() < end {
        std::thread::yield_now();
    }
    expect_that!(is_shown(&gauge), eq(true));
    let text = metrics_text(&hosts[0].registry);
    expect_that!(text, contains_substring("camphorspring_permit_grants_total{service=\"scoring\"} 1"));
    expect_that!(text, contains_substring("camphorspring_permit_refusals_total{code=\"1203\",service=\"scoring\"} 1"));
}

fn metrics_text(registry: &Registry) -> String {
    String::from_utf8(camphorspring::metrics::render_metrics(registry)).unwrap()
}
