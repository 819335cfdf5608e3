//! Measures the control traffic, CPU and memory of many hosts on loopback, the time until a configuration change is in
//! force, and the time of a takeover.
//!
//! `cargo run --release --example control_bench -- HOSTS DOMAINS SECONDS`. All hosts run in this process, so the CPU
//! share is that of the process without its main thread and the threads of the platform stand-in, and the memory is
//! the growth of its resident memory since before the hosts started; both are divided by the number of hosts.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures of a few million are printed with two decimals"
)]

#[path = "../tests/integration/support/control_hosts.rs"]
mod control_hosts;

use std::time::Duration;

use camphorspring::clock::boot_time;
use camphorspring::control::ControlEvent;
use camphorspring::control::configuration_writer::PlacementKind;
use camphorspring_standins::{PlatformOptions, PlatformStandin};
use control_hosts::{ControlHost, wait_for};

const SERVICES: &str = include_str!("../tests/integration/settings/valid/two_domains.yaml");

/// Resource whose ownership moves in the takeover measurement.
const RESOURCE: &str = "orders/north";

/// Number of configuration changes that are timed.
const CHANGE_COUNT: usize = 40;

/// Maximum number of takeovers that are timed.
const TAKEOVER_COUNT: usize = 4;

fn main() {
    let arguments: Vec<usize> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let [count, domains, seconds] = arguments[..] else {
        eprintln!("usage: control_bench HOSTS DOMAINS SECONDS");
        std::process::exit(2);
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("runtime");
    let options = PlatformOptions { writes_per_second: 0, reads_per_second: 0, ..PlatformOptions::default() };
    let platform = PlatformStandin::start(options).expect("platform");
    let base_memory = read_memory_kib();
    let mut hosts = start_hosts(&runtime, &platform, count, domains);
    hosts[0].writer().apply_text(SERVICES, None, "bench").expect("the text is applied");
    println!("hosts={count} domains={domains}");
    wait_for("hosts are fresh", || hosts.iter().all(|host| host.handle.view().is_fresh(boot_time())));
    std::thread::sleep(Duration::from_secs(10));
    measure_idle(&hosts, &platform, seconds);
    println!("memory_per_host_kib={}", read_memory_kib().saturating_sub(base_memory) / count as u64);
    measure_changes(&hosts);
    measure_takeovers(&mut hosts);
}

/// Starts the hosts and waits until each has a fresh view of all domains.
fn start_hosts(
    runtime: &tokio::runtime::Runtime,
    platform: &PlatformStandin,
    count: usize,
    domains: usize,
) -> Vec<ControlHost> {
    let hosts: Vec<ControlHost> = (0..count)
        .map(|index| {
            let (name, domain) = (format!("host-{index:03}"), format!("domain-{:02}", index % domains));
            ControlHost::start(runtime.handle(), &platform.url(), &name, &domain, (1 << 32) + index as u64)
        })
        .collect();
    platform.set_hosts(hosts.iter().map(ControlHost::record).collect());
    wait_for("hosts know each other", || {
        hosts.iter().all(|host| {
            let view = host.handle.view();
            let expected_members = count / domains;
            view.is_fresh(boot_time()) && view.domains.len() == domains && view.members.len() >= expected_members
        })
    });
    hosts
}

/// Prints the control bytes, CPU share, store calls and stale views while no configuration changes.
fn measure_idle(hosts: &[ControlHost], platform: &PlatformStandin, seconds: usize) {
    let before: Vec<(u64, u64)> = hosts.iter().map(read_control_bytes).collect();
    let (cpu_before, counts_before, started) = (read_cpu_time(), platform.counts(), boot_time());
    let (mut looks, mut stale, mut oldest, mut suspects) = (0_u64, 0_u64, Duration::ZERO, 0_u64);
    while boot_time() < started + Duration::from_secs(seconds as u64) {
        std::thread::sleep(Duration::from_millis(100));
        for host in hosts {
            let (view, now) = (host.handle.view(), boot_time());
            looks += 1;
            stale += u64::from(!view.is_fresh(now));
            oldest = oldest.max(view.view_age(now).unwrap_or(Duration::MAX));
            let suspect_members =
                view.members.iter().filter(|member| now.saturating_sub(member.heard_at).as_secs() >= 3);
            suspects += suspect_members.count() as u64;
        }
    }
    let elapsed = boot_time().checked_sub(started).map_or(1.0, |elapsed| elapsed.as_secs_f64());
    let cpu = read_cpu_time().saturating_sub(cpu_before).as_secs_f64();
    let mut sent = Vec::new();
    let mut received = Vec::new();
    for (host, (sent_before, received_before)) in hosts.iter().zip(before) {
        let (sent_now, received_now) = read_control_bytes(host);
        sent.push((sent_now - sent_before) as f64 / elapsed);
        received.push((received_now - received_before) as f64 / elapsed);
    }
    println!("control_sent_bytes_per_s {}", format_percentiles(&mut sent));
    println!("control_received_bytes_per_s {}", format_percentiles(&mut received));
    println!("cpu_percent_per_host={:.3}", 100.0 * cpu / elapsed / hosts.len() as f64);
    let counts = platform.counts();
    let reads = (counts.reads - counts_before.reads) as f64 / elapsed;
    println!(
        "store_reads_per_s={reads:.1} store_writes_per_s={:.1}",
        (counts.writes - counts_before.writes) as f64 / elapsed
    );
    println!("views looked at={looks} stale={stale} oldest_ms={} suspect_members={suspects}", oldest.as_millis());
}

/// Prints the time from the acceptance of a change until it is in force at every host.
fn measure_changes(hosts: &[ControlHost]) {
    let mut times = Vec::new();
    for change in 0..CHANGE_COUNT {
        let writer = hosts[change % hosts.len()].writer();
        let target = hosts[0].handle.view().configuration.targets[0].id.clone();
        let version = writer.set_placement(PlacementKind::Target, &target, change % 2 == 0, "bench").expect("accepted");
        let accepted_at = boot_time();
        wait_for("the change is in force", || {
            hosts.iter().all(|host| host.handle.view().configuration.version >= version)
        });
        times.push(boot_time().saturating_sub(accepted_at).as_secs_f64());
        std::thread::sleep(Duration::from_millis(137));
    }
    println!("in_force_seconds {}", format_percentiles(&mut times));
}

/// Prints the time from the stop of the owning host until another host owns the resource.
fn measure_takeovers(hosts: &mut Vec<ControlHost>) {
    let contender_count = hosts.len().min(6);
    for host in hosts.iter().take(contender_count) {
        host.handle.send(ControlEvent::RequestResource(RESOURCE.to_owned()));
    }
    let find_owner = |hosts: &[ControlHost]| {
        hosts.iter().position(|host| host.handle.view().owned_resource(RESOURCE, boot_time()).is_some())
    };
    wait_for("a host owns the resource", || find_owner(hosts).is_some());
    let mut times = Vec::new();
    for _ in 0..TAKEOVER_COUNT.min(contender_count - 1) {
        let index = find_owner(hosts).expect("a host owns the resource");
        let crashed_at = boot_time();
        drop(hosts.remove(index));
        wait_for("another host owns the resource", || find_owner(hosts).is_some());
        times.push(boot_time().saturating_sub(crashed_at).as_secs_f64());
    }
    println!("takeover_seconds {}", format_percentiles(&mut times));
}

/// Control bytes that the host has sent and received so far.
fn read_control_bytes(host: &ControlHost) -> (u64, u64) {
    let counters = host.network.counters();
    (counters.control_sent.get(), counters.control_received.get())
}

fn format_percentiles(values: &mut [f64]) -> String {
    values.sort_by(f64::total_cmp);
    let percentile = |share: f64| values[((values.len() - 1) as f64 * share).round() as usize];
    format!("p50={:.2} p99={:.2} max={:.2}", percentile(0.5), percentile(0.99), percentile(1.0))
}

/// CPU time of all threads except those of the platform stand-in and the main thread, which reads the views.
fn read_cpu_time() -> Duration {
    let main_thread_id = std::process::id().to_string();
    let threads = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let ticks = threads.filter(|thread| thread.file_name().to_str() != Some(&main_thread_id)).map(|thread| {
        let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        let (name, fields) = stat.rsplit_once(") ").unwrap_or_default();
        let times = fields.split(' ').skip(11).take(2).filter_map(|field| field.parse::<u64>().ok());
        if name.contains("(standins") { 0 } else { times.sum() }
    });
    // The kernel reports CPU time in ticks of 10 ms.
    Duration::from_millis(10 * ticks.sum::<u64>())
}

/// Resident memory of this process in KiB; 0 when it cannot be read.
fn read_memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or_default()
}
