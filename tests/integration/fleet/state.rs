//! Events of the store folded into the view.

use camphorspring::clock::BootTime;
use camphorspring::fleet::fleet_state::{FleetChange, FleetState};
use camphorspring::fleet::service_map::{CallerLimits, ServiceMap};
use camphorspring::row_store::table_watch::WatchEvent;
use camphorspring::row_store::{StoreCallError, StoredRow};
use googletest::prelude::*;

use crate::fleet::builders::{at, engine};

fn row(key: &str, is_present: bool) -> StoredRow {
    StoredRow {
        table: "t".to_owned(),
        part: String::new(),
        key: key.to_owned(),
        value: is_present.then(Vec::new),
        version: 1,
    }
}

fn decode(row: &StoredRow, _now: BootTime) -> FleetChange {
    match (&row.value, row.key.strip_prefix('v').and_then(|version| version.parse().ok())) {
        (_, Some(version)) => FleetChange::Services(services(version)),
        (Some(_), None) => FleetChange::Target(engine(&row.key, 1)),
        (None, None) => FleetChange::TargetRemoved(row.key.clone()),
    }
}

fn services(version: u64) -> ServiceMap {
    let limits = CallerLimits { head_bytes: 1, body_bytes: 1, head_time: at(1), idle_time: at(1) };
    ServiceMap {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        organisations: Vec::new(),
        keys: Vec::new(),
        limits,
    }
}

fn targets(state: &FleetState) -> Vec<&str> {
    state.view().targets.iter().map(|target| target.id.as_str()).collect()
}

/// Guards against a leaving target that keeps getting work, and against one that is lost with a reload.
#[gtest]
fn removed_entries_go_at_once_while_the_store_is_well() {
    let mut state = FleetState::new();
    state.apply_targets(&WatchEvent::Loaded(vec![row("a", true), row("b", true), row("c", true)]), decode, at(0));
    state.apply_targets(&WatchEvent::Changed(vec![row("a", false)]), decode, at(100));
    expect_that!(targets(&state), eq(&vec!["b", "c"]));
    state.apply_targets(&WatchEvent::Loaded(vec![row("c", true)]), decode, at(200));
    expect_that!(targets(&state), eq(&vec!["c"]));
}

/// Guards against a store outage that makes all targets vanish for the two seconds in which their entries come back.
#[gtest]
fn entries_that_expired_in_an_outage_are_kept_until_they_can_be_back() {
    let mut state = FleetState::new();
    state.apply_targets(&WatchEvent::Loaded(vec![row("a", true), row("b", true)]), decode, at(0));
    state.apply_targets(&WatchEvent::Failed(StoreCallError::AnswerLost), decode, at(1000));
    state.apply_targets(&WatchEvent::Changed(vec![row("a", false), row("b", false)]), decode, at(6000));
    expect_that!(targets(&state), eq(&vec!["a", "b"]));
    state.apply_targets(&WatchEvent::Changed(vec![row("b", true)]), decode, at(7000));
    state.apply_targets(&WatchEvent::Changed(Vec::new()), decode, at(8000));
    expect_that!(targets(&state), eq(&vec!["b"]));
}

/// Guards against a configuration that reverts when an older row is read again.
#[gtest]
fn configuration_never_goes_back() {
    let mut state = FleetState::new();
    state.apply_operator(&WatchEvent::Loaded(vec![row("v7", true)]), decode, at(0));
    let is_changed = state.apply_operator(&WatchEvent::Loaded(vec![row("v5", true)]), decode, at(1));
    let version = state.view().services.as_ref().map(|services| services.version);
    expect_that!((is_changed, version), eq((true, Some(7))));
}
