//! Events of watched tables merged into the view of the installation.

use camphorspring::clock::BootTime;
use camphorspring::fleet::fleet_state::{FleetChange, FleetState, LeavingTarget};
use camphorspring::fleet::fleet_view::TargetEntry;
use camphorspring::row_store::table_watch::WatchEvent;
use camphorspring::row_store::{StoreCallError, StoredRow};
use googletest::prelude::*;

use crate::fleet::builders::{at, engine, service_map};

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
        (_, Some(version)) => FleetChange::Services(service_map(version, Vec::new())),
        (Some(_), None) => FleetChange::Target(engine(&row.key, 1)),
        (None, None) => FleetChange::TargetRemoved(row.key.clone()),
    }
}

fn target_ids(state: &FleetState) -> Vec<&str> {
    state.view().targets.iter().map(|target| target.id.as_str()).collect()
}

/// Guards against a target that keeps getting work after its entry was removed, by a change or between two loads of the
/// whole table.
#[gtest]
fn removed_entries_are_dropped_at_once_while_the_store_answers() {
    let mut state = FleetState::new();
    state.apply_targets(&WatchEvent::Loaded(vec![row("a", true), row("b", true), row("c", true)]), decode, at(0));
    state.apply_targets(&WatchEvent::Changed(vec![row("a", false)]), decode, at(100));
    expect_that!(target_ids(&state), eq(&vec!["b", "c"]));
    state.apply_targets(&WatchEvent::Loaded(vec![row("c", true)]), decode, at(200));
    expect_that!(target_ids(&state), eq(&vec!["c"]));
}

/// Guards against a store outage after which all targets are missing: their entries expired in the outage and reappear
/// within two seconds.
#[gtest]
fn entries_that_expired_in_an_outage_are_kept_until_they_reappear() {
    let mut state = FleetState::new();
    state.apply_targets(&WatchEvent::Loaded(vec![row("a", true), row("b", true)]), decode, at(0));
    state.apply_targets(&WatchEvent::Failed(StoreCallError::AnswerLost), decode, at(1000));
    state.apply_targets(&WatchEvent::Changed(vec![row("a", false), row("b", false)]), decode, at(6000));
    expect_that!(target_ids(&state), eq(&vec!["a", "b"]));
    state.apply_targets(&WatchEvent::Changed(vec![row("b", true)]), decode, at(7000));
    state.apply_targets(&WatchEvent::Changed(Vec::new()), decode, at(8000));
    expect_that!(target_ids(&state), eq(&vec!["b"]));
}

/// Guards against a configuration that reverts to an earlier version when a read returns an old row.
#[gtest]
fn configuration_never_goes_back() {
    let mut state = FleetState::new();
    state.apply_operator(&WatchEvent::Loaded(vec![row("v7", true)]), 1, decode, at(0));
    let is_changed = state.apply_operator(&WatchEvent::Loaded(vec![row("v5", true)]), 2, decode, at(1));
    let version = state.view().services.as_ref().map(|services| services.version);
    expect_that!((is_changed, version), eq((true, Some(7))));
}

/// Guards against a target that said that it leaves and is used again, because its entry does not say so or is missing for a
/// moment, and against a later start under its id that is not used.
#[gtest]
fn targets_that_leave_are_not_used_whatever_their_entries_say() {
    let mut state = FleetState::new();
    let started = |key: &str, value: &[u8]| StoredRow { value: Some(value.to_vec()), ..row(key, true) };
    let decode_start = |row: &StoredRow, now: BootTime| match (decode(row, now), row.value.as_deref()) {
        (FleetChange::Target(target), Some([start])) => {
            FleetChange::Target(TargetEntry { started_ms: Some(u64::from(*start)), ..target })
        }
        (change, _) => change,
    };
    let usable = |state: &FleetState| -> Vec<String> {
        state.view().usable_targets("models").map(|target| target.id.clone()).collect()
    };
    state.apply_targets(&WatchEvent::Loaded(vec![started("a", &[1]), started("b", &[1])]), decode_start, at(0));
    let leaving = LeavingTarget { target: "a".to_owned(), started_ms: Some(1) };
    expect_that!(state.set_leaving(std::slice::from_ref(&leaving)), eq(true));
    expect_that!(usable(&state), eq(&vec!["b".to_owned()]));
    state.apply_targets(&WatchEvent::Changed(vec![started("a", &[1])]), decode_start, at(100));
    state.apply_targets(&WatchEvent::Changed(vec![row("a", false)]), decode_start, at(200));
    state.apply_targets(&WatchEvent::Changed(vec![started("a", &[1])]), decode_start, at(300));
    expect_that!(usable(&state), eq(&vec!["b".to_owned()]));
    state.apply_targets(&WatchEvent::Changed(vec![started("a", &[2])]), decode_start, at(400));
    expect_that!(usable(&state), eq(&vec!["a".to_owned(), "b".to_owned()]));
}
