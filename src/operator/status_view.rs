//! Converts the control state into the answers of the operator interface.

use serde::Serialize;

use crate::control::ControlView;
use crate::control::control_view::{MemberRecord, MemberState};
use crate::generated::caller_messages::{HostView, StatusAnswer, TargetView};
use crate::generated::platform_messages::{HostRecord, HostState};
use crate::generated::services_text::{OrganisationEntry, RouteEntry, ServiceEntry, TargetEntry};
use crate::prelude::*;

/// Configuration in force, for `show` and `keys list`. The digests of key secrets are left out.
#[derive(Debug, Serialize)]
pub struct ConfigurationAnswer<'a> {
    version: ConfigurationVersion,
    services: &'a [ServiceEntry],
    routes: &'a [RouteEntry],
    organisations: &'a [OrganisationEntry],
    targets: &'a [TargetEntry],
    out_domains: &'a [DomainId],
    out_targets: &'a [TargetId],
    keys: Vec<KeySummary<'a>>,
}

#[derive(Debug, Serialize)]
struct KeySummary<'a> {
    key_id: &'a str,
    organisation: &'a str,
    withdrawn: bool,
}

/// Creates the answer with the configuration that is in force on this host.
#[must_use]
pub fn configuration_answer(view: &ControlView) -> ConfigurationAnswer<'_> {
    let configuration = &view.configuration;
    let keys = configuration.keys.iter().map(|key| KeySummary {
        key_id: &key.key_id,
        organisation: &key.organisation,
        withdrawn: view.is_withdrawn(&key.key_id),
    });
    ConfigurationAnswer {
        version: configuration.version,
        services: &configuration.services,
        routes: &configuration.routes,
        organisations: &configuration.organisations,
        targets: &configuration.targets,
        out_domains: &configuration.out_domains,
        out_targets: &configuration.out_targets,
        keys: keys.collect(),
    }
}

/// Creates the answer for `hosts`, `targets` and `leases`. The view age is `u64::MAX` milliseconds when it is not
/// known.
#[must_use]
pub fn status_answer(view: &ControlView, targets: Vec<TargetView>, now: BootTime) -> StatusAnswer {
    let age_ms = view.view_age(now).map_or(u64::MAX, whole_millis);
    StatusAnswer {
        host: view.host.clone(),
        failure_domain: view.failure_domain.clone(),
        incarnation: format!("{:016x}", view.incarnation),
        configuration_version: view.configuration.version,
        view_age_ms: age_ms,
        ready: view.is_ready(),
        hosts: host_views(view, now),
        targets,
        resources: view.owned.iter().map(|owned| owned.name.clone()).collect(),
    }
}

// Hosts of the platform's host list, and members of the own failure domain that are not in that list.
fn host_views(view: &ControlView, now: BootTime) -> Vec<HostView> {
    let mut hosts: Vec<HostView> = view.listed.iter().map(|record| listed_host_view(view, record, now)).collect();
    for member in &view.members {
        if !view.listed.iter().any(|record| record.host == member.host) {
            hosts.push(member_host_view(member, &view.failure_domain, "", now));
        }
    }
    hosts.sort_by(|left, right| left.host.cmp(&right.host));
    hosts
}

fn listed_host_view(view: &ControlView, record: &HostRecord, now: BootTime) -> HostView {
    match view.members.iter().find(|member| member.host == record.host) {
        Some(member) => member_host_view(member, &record.failure_domain, &record.operator_address, now),
        None => HostView {
            host: record.host.clone(),
            failure_domain: record.failure_domain.clone(),
            state: listed_host_state(record.state).to_owned(),
            incarnation: String::new(),
            heartbeat_age_ms: 0,
            operator_address: record.operator_address.clone(),
        },
    }
}

// State of a host that is in the platform's host list but not a member of the own failure domain, such as any host of
// another domain.
fn listed_host_state(state: HostState) -> &'static str {
    match state {
        HostState::Live => "listed",
        HostState::Leaving => "listed_leaving",
    }
}

fn member_host_view(member: &MemberRecord, failure_domain: &str, operator_address: &str, now: BootTime) -> HostView {
    let state = match member.state {
        MemberState::Live => "live",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Leaving => "leaving",
    };
    HostView {
        host: member.host.clone(),
        failure_domain: failure_domain.to_owned(),
        state: state.to_owned(),
        incarnation: format!("{:016x}", member.incarnation),
        heartbeat_age_ms: whole_millis(now.saturating_sub(member.heard_at)),
        operator_address: operator_address.to_owned(),
    }
}
