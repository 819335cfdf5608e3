//! Results of key checks, of the member table, of the configuration log with its snapshots, and of the withdrawn set.

use std::time::Duration;

use camphorspring::constants::{DEAD_AFTER, SUSPECT_AFTER, VIEW_AGE_LIMIT};
use camphorspring::control::ControlView;
use camphorspring::control::authentication::{check_key, hash_secret};
use camphorspring::control::configuration::{Configuration, KeyRecord};
use camphorspring::control::configuration_log::ConfigurationLog;
use camphorspring::control::configuration_snapshot::{
    SnapshotReceiver, SnapshotSender, decode_snapshot, encode_snapshot, restore_configuration,
};
use camphorspring::control::control_view::MemberState;
use camphorspring::control::member_table::{MemberHeartbeat, MemberTable};
use camphorspring::control::withdrawn_set::WithdrawnSet;
use camphorspring::generated::peer_messages::{ConfigurationChange, ConfigurationItem};
use googletest::prelude::*;
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(1000);

fn view_with_keys() -> ControlView {
    let key = |key_id: &str| KeyRecord {
        key_id: key_id.to_owned(),
        organisation: "o1".to_owned(),
        secret_sha256: hash_secret("secret"),
    };
    let mut view = ControlView::empty("h1", "north", 7);
    let configuration = Configuration { version: 1, keys: vec![key("gone"), key("good")], ..Configuration::default() };
    view.configuration = configuration.into();
    view.withdrawn = vec!["gone".to_owned()].into();
    view.is_initialised = true;
    view.store_read_at = Some(NOW);
    view
}

/// Guards against a check that admits a wrong, withdrawn or unknown key, or any key on a stale or empty view, and
/// against one that reveals to a caller without the secret that a key id was withdrawn.
#[googletest::test]
fn keys_are_checked_by_table() {
    let view = view_with_keys();
    let mut empty = view.clone();
    empty.is_initialised = false;
    let late = NOW + VIEW_AGE_LIMIT + Duration::from_millis(1);
    let cases = [
        ("good", &view, NOW, Some("Bearer cs_good_secret")),
        ("good at the age limit", &view, NOW + VIEW_AGE_LIMIT, Some("bearer cs_good_secret")),
        ("no header", &view, NOW, None),
        ("other scheme", &view, NOW, Some("Basic cs_good_secret")),
        ("malformed key", &view, NOW, Some("Bearer good_secret")),
        ("no secret", &view, NOW, Some("Bearer cs_good_")),
        ("wrong secret", &view, NOW, Some("Bearer cs_good_other")),
        ("unknown key", &view, NOW, Some("Bearer cs_none_secret")),
        ("withdrawn", &view, NOW, Some("Bearer cs_gone_secret")),
        ("withdrawn, wrong secret", &view, NOW, Some("Bearer cs_gone_other")),
        ("withdrawn, stale view", &view, late, Some("Bearer cs_gone_secret")),
        ("stale view", &view, late, Some("Bearer cs_good_secret")),
        ("unknown key, stale view", &view, late, Some("Bearer cs_none_secret")),
        ("view not full", &empty, NOW, Some("Bearer cs_good_secret")),
    ];
    let shown: Vec<String> = cases
        .iter()
        .map(|(name, view, now, authorization)| match check_key(view, *now, *authorization) {
            Ok(holder) => format!("{name}: {} of {}", holder.key_id, holder.organisation),
            Err(code) => format!("{name}: {}", code.number()),
        })
        .collect();
    insta::assert_snapshot!(shown.join("\n"));
}

/// Guards against a member that is declared dead too early, revived by a repeated heartbeat, replaced by its former
/// incarnation, or declared dead because this host itself was paused and heard nothing.
#[googletest::test]
fn member_states_follow_heartbeats() {
    let mut members = MemberTable::new("h1", 1, NOW);
    let build_beat =
        |incarnation, beat, is_direct| MemberHeartbeat { host: "h2", incarnation, beat, is_leaving: false, is_direct };
    let state = |members: &MemberTable, now| {
        let records = members.records(now, |_| false);
        records.iter().find(|record| record.host == "h2").map(|record| (record.state, record.incarnation))
    };
    members.observe(build_beat(5, 10, true), NOW);
    expect_that!(state(&members, NOW + SUSPECT_AFTER), some(eq((MemberState::Suspect, 5))));
    expect_that!(state(&members, NOW + DEAD_AFTER), some(eq((MemberState::Dead, 5))));
    members.observe(build_beat(5, 10, false), NOW + DEAD_AFTER);
    expect_that!(state(&members, NOW + DEAD_AFTER), some(eq((MemberState::Dead, 5))), "the same heartbeat");
    members.observe(build_beat(9, 1, false), NOW + DEAD_AFTER);
    expect_that!(state(&members, NOW + DEAD_AFTER), some(eq((MemberState::Live, 9))), "a new incarnation");
    members.observe(build_beat(5, 99, true), NOW + DEAD_AFTER);
    expect_that!(state(&members, NOW + DEAD_AFTER), some(eq((MemberState::Live, 9))), "the former incarnation resumes");
    let paused_until = NOW + DEAD_AFTER + Duration::from_mins(1);
    members.tick(NOW + DEAD_AFTER);
    members.tick(paused_until);
    expect_that!(state(&members, paused_until), some(eq((MemberState::Live, 9))), "this host was paused");
}

fn any_changes() -> impl Strategy<Value = Vec<ConfigurationChange>> {
    let item = ("[a-d]", prop::bool::ANY).prop_map(|(name, is_out)| ConfigurationItem {
        kind: "target_out".to_owned(),
        name,
        value: is_out.then(|| "true".to_owned()),
    });
    prop::collection::vec(prop::collection::vec(item, 1..3), 1..20).prop_map(|lists| {
        let changes = (1..).zip(lists).map(|(version, items)| ConfigurationChange { version, items });
        changes.collect()
    })
}

proptest! {
    /// Guards against a configuration that depends on the order or repetition in which changes and a snapshot arrive,
    /// or that goes back to an earlier version.
    #[test]
    fn configuration_depends_on_version_only(
        changes in any_changes(),
        arrivals in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
        snapshot_at in any::<prop::sample::Index>(),
    ) {
        let mut complete_log = ConfigurationLog::default();
        let mut contents = vec![Configuration::default()];
        for change in &changes {
            complete_log.apply(std::slice::from_ref(change));
            contents.push((**complete_log.configuration()).clone());
        }
        let mut log = ConfigurationLog::default();
        for (index, arrival) in arrivals.iter().enumerate() {
            let before = log.version();
            if index == arrivals.len() / 2 {
                let content = &contents[snapshot_at.index(contents.len())];
                let mut source = SnapshotSender::default();
                let mut sink = SnapshotReceiver::default();
                if let Some(found) = sink.take(source.part(&sink.request(), content)) {
                    log.install(found.version, found.items);
                }
            } else {
                log.apply(std::slice::from_ref(&changes[arrival.index(changes.len())]));
            }
            prop_assert!(log.version() >= before);
            prop_assert_eq!(&**log.configuration(), &contents[usize::try_from(log.version()).unwrap()]);
        }
        let object = decode_snapshot(&encode_snapshot(complete_log.configuration())).unwrap();
        prop_assert_eq!(&restore_configuration(object.version, object.items), &**complete_log.configuration());
    }

    /// Guards against two sets that differ after each was sent the ids it lacked, and against a set that
    /// takes the hash of the other for a known one although the other has ids that it lacks.
    #[test]
    fn withdrawn_sets_merge_by_union(
        one in prop::collection::vec("[a-f]{1,2}", 0..20),
        other in prop::collection::vec("[a-f]{1,2}", 0..20),
    ) {
        let mut first = WithdrawnSet::default();
        let mut second = WithdrawnSet::default();
        first.add(&one);
        second.add(&other);
        let is_subset = second.ids().iter().all(|key_id| first.contains(key_id));
        prop_assert!(first.count_at_hash(second.hash()).is_none() || is_subset);
        let missing = second.missing_from(first.ids());
        first.add(&missing);
        prop_assert!(second.ids().iter().all(|key_id| first.contains(key_id)));
        let missing = first.missing_from(second.ids());
        second.add(&missing);
        prop_assert_eq!(first.ids(), second.ids());
        prop_assert_eq!(first.hash(), second.hash());
    }
}
