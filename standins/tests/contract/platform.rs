//! Platform, through the product's client.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use camphorspring::generated::platform_messages::{HostRecord, HostState, RowCheck, RowWrite, TargetOrder};
use camphorspring::store_client::{StoreCallError, StoreClient};
use camphorspring_standins::{FaultKind, FaultSpec, PlatformOptions, PlatformStandin};
use googletest::prelude::*;

use super::support::wait_for;

fn check(key: &str, version: u64) -> RowCheck {
    RowCheck { table: "t".to_owned(), key: key.to_owned(), version }
}

fn write(key: &str, value: Option<&str>) -> RowWrite {
    RowWrite { table: "t".to_owned(), key: key.to_owned(), value: value.map(str::to_owned) }
}

fn start(options: PlatformOptions) -> (PlatformStandin, StoreClient) {
    let platform = PlatformStandin::start(options).expect("a port");
    let client = StoreClient::new(&platform.url());
    (platform, client)
}

/// Guards against a partial transaction, and against a conflict that doesn't show the row as it is.
#[googletest::test]
fn transaction_applies_all_writes_or_none() {
    let (_platform, client) = start(PlatformOptions::default());
    let first = client.transact("w1", vec![check("a", 0)], vec![write("a", Some("1")), write("b/c d", Some("2"))]);
    expect_that!(first.expect("an answer").applied, eq(true));
    let second = client.transact("w2", vec![check("a", 0), check("x", 0)], vec![write("x", Some("3"))]);
    let second = second.expect("an answer");
    expect_that!(second.applied, eq(false));
    expect_that!(second.conflicts.len(), eq(1));
    expect_that!(second.conflicts[0].writer_token, eq("w1"));
    expect_that!(client.read_row("t", "x"), eq(&Ok(None)));
    let row = client.read_row("t", "b/c d").expect("an answer").expect("a row");
    expect_that!((row.value.as_str(), row.version), eq(("2", 1)));
}

/// Guards against a repeat after a lost answer that is told that it lost, or that takes effect twice.
#[googletest::test]
fn repeated_transaction_is_recognised_by_its_token() {
    let (platform, client) = start(PlatformOptions::default());
    platform.fault(FaultSpec::new(FaultKind::AnswerLost).on("/table/transact").times(1));
    let transact = |token: &str| client.transact(token, vec![check("a", 0)], vec![write("a", Some(token))]);
    expect_that!(transact("w1"), eq(&Err(StoreCallError::AnswerLost)));
    expect_that!(transact("w1").expect("an answer").applied, eq(true));
    expect_that!(transact("w2").expect("an answer").applied, eq(false));
    expect_that!(client.read_row("t", "a").expect("an answer").expect("a row").version, eq(1));
}

/// Guards against a version that names two contents of a row after it was deleted and written again.
#[googletest::test]
fn deleted_row_is_absent_and_its_versions_are_not_reused() {
    let (_platform, client) = start(PlatformOptions::default());
    let transact = |version, value| {
        client.transact(&format!("w{version}"), vec![check("a", version)], vec![write("a", value)]).expect("an answer")
    };
    expect_that!(transact(0, Some("1")).applied, eq(true));
    expect_that!(transact(1, None).applied, eq(true));
    expect_that!(client.read_row("t", "a"), eq(&Ok(None)));
    let again = client.transact("w3", vec![check("a", 0)], vec![write("a", Some("3"))]).expect("an answer");
    expect_that!(again.applied, eq(true));
    expect_that!(client.read_row("t", "a").expect("an answer").expect("a row").version, eq(3));
}

/// Guards against a scan out of order, across prefixes or tables, or that repeats its last row.
#[googletest::test]
fn scan_returns_keys_in_order_behind_the_last() {
    let (_platform, client) = start(PlatformOptions::default());
    let writes = ["p/2", "p/1", "q/1", "p/3", "o"].iter().map(|key| write(key, Some("1"))).collect();
    client.transact("w", Vec::new(), writes).expect("an answer");
    let scan = |prefix: &str, after: &str, limit| {
        let rows = client.scan_rows("t", prefix, after, limit).expect("an answer");
        rows.into_iter().map(|row| row.key).collect::<Vec<_>>()
    };
    expect_that!(scan("p/", "", 10), eq(&vec!["p/1", "p/2", "p/3"]));
    expect_that!(scan("p/", "p/1", 1), eq(&vec!["p/2"]));
    expect_that!(scan("", "p/3", 10), eq(&vec!["q/1"]));
    expect_that!(client.scan_rows("s", "", "", 10).expect("an answer").len(), eq(0));
}

/// Guards against an object that is overwritten by a second writer.
#[googletest::test]
fn object_is_stored_once() {
    let (_platform, client) = start(PlatformOptions::default());
    expect_that!(client.get_object("a/b"), eq(&Ok(None)));
    client.put_object("a/b", b"first").expect("stored");
    client.put_object("a/b", b"second").expect("left as it is");
    expect_that!(client.get_object("a/b"), eq(&Ok(Some(b"first".to_vec()))));
}

/// Guards against limits that are not applied, so that a load beyond the platform's would go unnoticed.
#[googletest::test]
fn operations_beyond_the_limits_are_refused() {
    let options = PlatformOptions { writes_per_second: 2, reads_per_second: 3, ..PlatformOptions::default() };
    let (platform, client) = start(options);
    let writes = (0..4).map(|index| client.transact("w", Vec::new(), vec![write(&index.to_string(), Some("1"))]));
    let refused = writes.filter(|answer| *answer == Err(StoreCallError::Refused(429))).count();
    expect_that!(refused, ge(1));
    let reads = (0..5).map(|_| client.read_row("t", "0"));
    let refused_reads = reads.filter(|answer| *answer == Err(StoreCallError::Refused(429))).count();
    expect_that!(refused_reads, ge(1));
    expect_that!(platform.counts().limited, eq((refused + refused_reads) as u64));
}

fn host(name: &str) -> HostRecord {
    let address = "127.0.0.1:1".to_owned();
    HostRecord {
        host: name.to_owned(),
        failure_domain: "north".to_owned(),
        state: HostState::Live,
        peer_address: address.clone(),
        caller_address: address.clone(),
        operator_address: address,
    }
}

/// Guards against a host list without its lag.
#[googletest::test]
fn host_list_shows_changes_late() {
    let options = PlatformOptions { host_lag: Duration::from_millis(1500), ..PlatformOptions::default() };
    let (platform, client) = start(options);
    let listed = || client.list_hosts().expect("an answer").hosts.len();
    platform.set_hosts(vec![host("h1")]);
    expect_that!(listed(), eq(1));
    platform.set_hosts(vec![host("h1"), host("h2")]);
    expect_that!(listed(), eq(1));
    wait_for("the new list", || listed() == 2);
}

/// Guards against an order with an old epoch that is accepted in spite of fencing, refused without, or not recorded.
#[googletest::test]
fn target_orders_are_fenced_and_recorded() {
    for checks_fencing in [true, false] {
        let called = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&called);
        let order_hook = Some(Arc::new(move |_: &TargetOrder| {
            counter.fetch_add(1, Ordering::AcqRel);
        }) as camphorspring_standins::platform::OrderHook);
        let (platform, client) = start(PlatformOptions { checks_fencing, order_hook, ..PlatformOptions::default() });
        let order = |domain: &str, epoch| {
            let order = TargetOrder {
                order_id: "o".to_owned(),
                failure_domain: domain.to_owned(),
                epoch,
                host: "h".to_owned(),
                running: vec!["e1".to_owned()],
            };
            client.order_targets(&order).expect("an answer").accepted
        };
        let accepted = vec![order("north", 2), order("north", 2), order("south", 1), order("north", 1)];
        expect_that!(accepted, eq(&vec![true, true, true, !checks_fencing]));
        let recorded: Vec<bool> = platform.orders().iter().map(|record| record.accepted).collect();
        expect_that!(recorded, eq(&accepted));
        let expected = accepted.iter().filter(|accepted| **accepted).count() as u64;
        wait_for("the hook", || called.load(Ordering::Acquire) == expected);
    }
}

/// Guards against a repeated report with other figures that goes unnoticed.
#[googletest::test]
fn differing_usage_reports_are_seen() {
    let (platform, client) = start(PlatformOptions::default());
    let report = |epoch: u64| format!(r#"{{"report_id":"r","window":300,"epoch":{epoch},"figures":[]}}"#);
    expect_that!(client.report_usage(report(1).as_bytes()), eq(&Ok(())));
    expect_that!(client.report_usage(report(1).as_bytes()), eq(&Ok(())));
    expect_that!(client.report_usage(report(2).as_bytes()), eq(&Err(StoreCallError::Refused(409))));
    let seen: Vec<bool> = platform.reports().iter().map(|record| record.equals_first).collect();
    expect_that!(seen, eq(&vec![true, true, false]));
    expect_that!(platform.reports()[2].text, eq(&report(2)));
}
