//! Control threads of four hosts, with network links between them and the stand-in of the platform.

use camphorspring::clock::boot_time;
use camphorspring::control::ControlEvent;
use camphorspring::control::authentication::check_key;
use camphorspring::control::configuration_writer::ChangeError;
use camphorspring::result_code::ResultCode;
use camphorspring_standins::{FaultKind, FaultSpec, PlatformOptions, PlatformStandin};
use googletest::prelude::*;
use tokio::runtime::Runtime;

use crate::support::control_hosts::{ControlHost, wait_for};

const SERVICES: &str = include_str!("settings/valid/two_domains.yaml");

struct Installation {
    runtime: Runtime,
    platform: PlatformStandin,
    hosts: Vec<ControlHost>,
}

/// Starts two hosts in each of two failure domains.
fn start_installation() -> Installation {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("a runtime starts");
    let platform = PlatformStandin::start(PlatformOptions::default()).expect("a port is free");
    let mut hosts = Vec::new();
    for (index, name) in ["n1", "n2", "s1", "s2"].into_iter().enumerate() {
        let domain = if name.starts_with('n') { "north" } else { "south" };
        hosts.push(ControlHost::start(runtime.handle(), &platform.url(), name, domain, index as u64 + 1));
    }
    platform.set_hosts(hosts.iter().map(ControlHost::record).collect());
    wait_for("every host has a fresh view and news of both domains", || {
        hosts.iter().all(|host| {
            let view = host.handle.view();
            view.is_fresh(boot_time())
                && view.domains.len() == 2
                && view.domains.iter().all(|domain| domain.heard_at.is_some())
        })
    });
    Installation { runtime, platform, hosts }
}

fn first_organisation(installation: &Installation) -> String {
    installation.hosts[0].handle.view().configuration.organisations[0].name.clone()
}

/// Guards against a configuration, grant or withdrawal that stays at the host that accepted it.
#[googletest::test]
fn operator_changes_reach_every_host() {
    let installation = start_installation();
    let hosts = &installation.hosts;
    let answer = hosts[0].writer().apply_text(SERVICES, Some(0), "test").unwrap();
    expect_that!(answer.version, eq(1));
    let conflict = hosts[3].writer().apply_text(SERVICES, Some(0), "test");
    expect_that!(conflict, err(eq(&ChangeError::Conflict(1))));
    let grant = hosts[1].writer().grant_key(&first_organisation(&installation), "test").unwrap();
    let authorization = format!("Bearer {}", grant.key);
    let check = |host: &ControlHost| check_key(&host.handle.view(), boot_time(), Some(&authorization));
    wait_for("the key works everywhere", || hosts.iter().all(|host| check(host).is_ok()));
    let withdrawal = hosts[2].writer().withdraw_key(&grant.key_id).unwrap();
    expect_that!(withdrawal.code(), eq(ResultCode::Done), "{withdrawal:?}");
    wait_for("the key is refused everywhere", || {
        hosts.iter().all(|host| check(host).err() == Some(ResultCode::KeyWithdrawn))
    });
    expect_that!(installation.platform.read_table("withdrawn").len(), eq(1));
}

/// Guards against a store outage in which requests with a key are refused, a withdrawal is lost, or a withdrawal that
/// is not in the store is reported as complete. Guards also against a restarted host that admits requests before it has
/// learned the configuration.
#[googletest::test]
fn store_outage_keeps_keyed_work_and_withdrawals() {
    let mut installation = start_installation();
    let writer = installation.hosts[0].writer();
    writer.apply_text(SERVICES, None, "test").unwrap();
    let organisation = first_organisation(&installation);
    let kept = writer.grant_key(&organisation, "test").unwrap();
    let withdrawn = writer.grant_key(&organisation, "test").unwrap();
    wait_for("all hosts have both keys", || {
        installation.hosts.iter().all(|host| host.handle.view().configuration.version == withdrawn.version)
    });
    installation.platform.fault(FaultSpec::new(FaultKind::Down).on("/table"));
    let outage_at = boot_time();
    let answer = installation.hosts[0].writer().withdraw_key(&withdrawn.key_id).unwrap();
    expect_that!(answer.is_stored, eq(false));
    expect_that!(answer.unconfirmed, is_empty());
    expect_that!(answer.code(), eq(ResultCode::Unconfirmed));
    wait_for("the outage is older than the view age limit", || {
        boot_time() > outage_at + 2 * camphorspring::constants::VIEW_AGE_LIMIT
    });
    let stopped = installation.hosts.pop().unwrap();
    let (name, domain) = (stopped.origin.host.clone(), stopped.origin.failure_domain.clone());
    drop(stopped);
    let url = installation.platform.url();
    let restarted = ControlHost::start(installation.runtime.handle(), &url, &name, &domain, 99);
    let key = format!("Bearer {}", kept.key);
    expect_that!(check_key(&restarted.handle.view(), boot_time(), Some(&key)), err(eq(&ResultCode::NotReady)));
    installation.hosts.push(restarted);
    installation.platform.set_hosts(installation.hosts.iter().map(ControlHost::record).collect());
    wait_for("the restarted host learns everything from its peers", || {
        let view = installation.hosts[3].handle.view();
        check_key(&view, boot_time(), Some(&key)).is_ok() && view.is_withdrawn(&withdrawn.key_id)
    });
    for host in &installation.hosts {
        expect_that!(check_key(&host.handle.view(), boot_time(), Some(&key)), ok(anything()), "{}", host.origin.host);
    }
    installation.platform.fault(FaultSpec::new(FaultKind::Clear));
    wait_for("the withdrawal is in the store", || installation.platform.read_table("withdrawn").len() == 1);
}

/// Guards against a lease that no other host takes over after its owner crashed, and against one that is taken over
/// only when it expires although its owner announced a planned stop.
#[googletest::test]
fn lease_moves_after_crash_and_stop() {
    let mut installation = start_installation();
    let name = "orders/north";
    for host in &installation.hosts {
        host.handle.send(ControlEvent::RequestResource(name.to_owned()));
    }
    let find_owner = |hosts: &[ControlHost]| {
        let owner = hosts.iter().position(|host| host.handle.view().owned_resource(name, boot_time()).is_some());
        owner.map(|index| {
            (index, hosts[index].handle.view().owned_resource(name, boot_time()).map_or(0, |owned| owned.epoch))
        })
    };
    wait_for("one host holds the lease", || find_owner(&installation.hosts).is_some());
    let (index, epoch) = find_owner(&installation.hosts).unwrap();
    expect_that!(epoch, eq(1));
    drop(installation.hosts.remove(index));
    wait_for("another host holds it", || find_owner(&installation.hosts).is_some_and(|(_, epoch)| epoch == 2));
    let (index, _) = find_owner(&installation.hosts).unwrap();
    let stopped_at = boot_time();
    installation.hosts[index].handle.send(ControlEvent::Leave);
    wait_for("a third host holds it", || find_owner(&installation.hosts).is_some_and(|(_, epoch)| epoch == 3));
    expect_that!(boot_time().saturating_sub(stopped_at), lt(camphorspring::constants::LEASE_TTL));
}
