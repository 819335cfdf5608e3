//! Builders of views, entries and rows for the tests of several modules.

use std::time::Duration;

use camphorspring::clock::BootTime;
use camphorspring::fleet::fleet_view::{FleetView, LoadedModel, MemberEntry, NamedVersion, TargetEntry, TargetState};
use camphorspring::fleet::member_row::MemberRow;
use camphorspring::fleet::service_map::{CallerLimits, RouteKind, RouteRule, ServiceMap};
use camphorspring::policy::limit_share::ShareClock;

/// Point in time at this many milliseconds after the boot.
pub fn at(millis: u64) -> BootTime {
    Duration::from_millis(millis)
}

/// Ready engine with twelve slots, in domain `north`, with model `m` at `version`.
pub fn engine(id: &str, version: u64) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        started_ms: Some(1),
        service: "models".to_owned(),
        software: "s1".to_owned(),
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        domain: "north".to_owned(),
        slots: 12,
        state: TargetState::Ready,
        is_cheap: false,
        cold_until: BootTime::ZERO,
        models: vec![LoadedModel { model: "m".to_owned(), version }],
    }
}

/// Clock of this host at `now`, at which the hosts were read and the store's clock shows the same time.
pub fn share_clock(host: &str, now: BootTime) -> ShareClock<'_> {
    ShareClock { host, now, store_time: now, renewed_at: now }
}

/// Entry of a host whose row changed last at `changed_at`.
pub fn member(host: &str, incarnation: u64, changed_at: BootTime) -> MemberEntry {
    let row = MemberRow { incarnation, domain: "north".to_owned(), beat: 1, ..MemberRow::default() };
    MemberEntry { host: host.to_owned(), row, changed_at }
}

/// View of these targets and hosts, all read at `now`, in which all hosts are live.
pub fn view(targets: Vec<TargetEntry>, hosts: &[&str], now: BootTime) -> FleetView {
    let mut members: Vec<MemberEntry> = hosts.iter().map(|host| member(host, 1, now)).collect();
    members.sort_by(|one, other| one.host.cmp(&other.host));
    let mut targets = targets;
    targets.sort_by(|one, other| one.id.cmp(&other.id));
    FleetView {
        targets: targets.into(),
        members: members.into(),
        members_read_at: now,
        targets_read_at: now,
        services_read_at: now,
        ..FleetView::default()
    }
}

/// Announced version of model `m`.
pub fn named(version: u64) -> NamedVersion {
    NamedVersion { model: "m".to_owned(), version }
}

/// Repeatable route `plain` for the paths under `/plain/`.
pub fn plain_route() -> RouteRule {
    RouteRule {
        name: "plain".to_owned(),
        host: "c".to_owned(),
        path_prefix: "/plain/".to_owned(),
        kind: RouteKind::Repeatable,
        is_resumable: false,
        is_open: true,
        timeout: None,
        objective: at(400),
        job_objective: Duration::ZERO,
        job_limit: Duration::ZERO,
        is_single_version: false,
        attempts: 3,
        priority: 0,
        services: Vec::new(),
    }
}

/// Configuration without services and organisations.
pub fn service_map(version: u64, routes: Vec<RouteRule>) -> ServiceMap {
    let limits = CallerLimits { head_bytes: 1, body_bytes: 1, head_time: at(1), idle_time: at(1) };
    ServiceMap { version, routes, services: Vec::new(), organisations: Vec::new(), keys: Vec::new(), limits }
}
