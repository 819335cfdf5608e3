//! Contract tests of the platform stand-in, through the store client of the product.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use camphorspring::generated::platform_messages::{HostRecord, HostState, RowCheck, RowWrite, TargetOrder};
use camphorspring::store_client::{StoreCallError, StoreClient};
use camphorspring_standins::{FaultKind, FaultSpec, PlatformOptions, PlatformStandin};
use googletest::prelude::*;

use super::support::wait_for;

fn row_check(key: &str, version: u64) -> RowCheck {
    RowCheck { table: "t".to_owned(), key: key.to_owned(), version }
}

fn row_write(key: &str, value: Option<&str>) -> RowWrite {
    RowWrite { table: "t".to_owned(), key: key.to_owned(), value: value.map(str::to_owned) }
}

fn start_platform(options: PlatformOptions) -> (PlatformStandin, StoreClient) {
    let platform = PlatformStandin::start(options).expect("a port");
    let client = StoreClient::new(&platform.url());
    (platform, client)
}

/// Guards against a transaction that applies some of its writes although a check fails, and against a conflict that
/// does not return the current row.
#[googletest::test]
fn transaction_applies_all_writes_or_none() {
    let (_platform, client) = start_platform(PlatformOptions::default());
    let first =
        client.transact("w1", vec![row_check("a", 0)], vec![row_write("a", Some("1")), row_write("b/c d", Some("2"))]);
    expect_that!(first.expect("an answer").applied, eq(true));
    let second = client.transact("w2", vec![row_check("a", 0), row_check("x", 0)], vec![row_write("x", Some("3"))]);
    let second = second.expect("an answer");
    expect_that!(second.applied, eq(false));
    expect_that!(second.conflicts.len(), eq(1));
    expect_that!(second.conflicts[0].writer_token, eq("w1"));
    expect_that!(client.read_row("t", "x"), eq(&Ok(None)));
    let row = client.read_row("t", "b/c d").expect("an answer").expect("a row");
    expect_that!((row.value.as_str(), row.version), eq(("2", 1)));
}

/// Guards against a retried transaction that is reported as a conflict or applied twice, when the first attempt was
/// applied and its response was lost.
#[googletest::test]
fn repeated_transaction_is_recognised_by_its_token() {
    let (platform, client) = start_platform(PlatformOptions::default());
    platform.fault(FaultSpec::new(FaultKind::AnswerLost).on("/table/transact").times(1));
    let transact = |token: &str| client.transact(token, vec![row_check("a", 0)], vec![row_write("a", Some(token))]);
    expect_that!(transact("w1"), eq(&Err(StoreCallError::AnswerLost)));
    expect_that!(transact("w1").expect("an answer").applied, eq(true));
    expect_that!(transact("w2").expect("an answer").applied, eq(false));
    expect_that!(client.read_row("t", "a").expect("an answer").expect("a row").version, eq(1));
}

/// Guards against a version number that is used for two values of a row, because numbering restarts when the row is
/// deleted and written again.
#[googletest::test]
fn deleted_row_is_absent_and_its_versions_are_not_reused() {
    let (_platform, client) = start_platform(PlatformOptions::default());
    let transact = |version, value| {
        client
            .transact(&format!("w{version}"), vec![row_check("a", version)], vec![row_write("a", value)])
            .expect("an answer")
    };
    expect_that!(transact(0, Some("1")).applied, eq(true));
    expect_that!(transact(1, None).applied, eq(true));
    expect_that!(client.read_row("t", "a"), eq(&Ok(None)));
    let again = client.transact("w3", vec![row_check("a", 0)], vec![row_write("a", Some("3"))]).expect("an answer");
    expect_that!(again.applied, eq(true));
    expect_that!(client.read_row("t", "a").expect("an answer").expect("a row").version, eq(3));
}

/// Guards against a scan that returns keys out of order, keys of other prefixes or tables, or the key that it continues
/// after.
#[googletest::test]
fn scan_returns_keys_in_order_after_a_key() {
    let (_platform, client) = start_platform(PlatformOptions::default());
    let writes = ["p/2", "p/1", "q/1", "p/3", "o"].iter().map(|key| row_write(key, Some("1"))).collect();
    client.transact("w", Vec::new(), writes).expect("an answer");
    let scan_keys = |prefix: &str, after: &str, limit| {
        let rows = client.scan_rows("t", prefix, after, limit).expect("an answer");
        rows.into_iter().map(|row| row.key).collect::<Vec<_>>()
    };
    expect_that!(scan_keys("p/", "", 10), eq(&vec!["p/1", "p/2", "p/3"]));
    expect_that!(scan_keys("p/", "p/1", 1), eq(&vec!["p/2"]));
    expect_that!(scan_keys("", "p/3", 10), eq(&vec!["q/1"]));
    expect_that!(client.scan_rows("s", "", "", 10).expect("an answer").len(), eq(0));
}

/// Guards against a conditional write that overwrites the object of an earlier writer.
#[googletest::test]
fn object_is_stored_once() {
    let (_platform, client) = start_platform(PlatformOptions::default());
    expect_that!(client.get_object("a/b"), eq(&Ok(None)));
    client.put_object("a/b", b"first").expect("stored");
    client.put_object("a/b", b"second").expect("left as it is");
    expect_that!(client.get_object("a/b"), eq(&Ok(Some(b"first".to_vec()))));
}

/// Guards against rate limits that are not applied, so that tests would not notice more load than the platform allows.
#[googletest::test]
fn operations_beyond_the_limits_are_refused() {
    let options = PlatformOptions { writes_per_second: 2, reads_per_second: 3, ..PlatformOptions::default() };
    let (platform, client) = start_platform(options);
    let writes = (0..4).map(|index| client.transact("w", Vec::new(), vec![row_write(&index.to_string(), Some("1"))]));
    let refused = writes.filter(|answer| *answer == Err(StoreCallError::Refused(429))).count();
    expect_that!(refused, ge(1));
    let reads = (0..5).map(|_| client.read_row("t", "0"));
    let refused_reads = reads.filter(|answer| *answer == Err(StoreCallError::Refused(429))).count();
    expect_that!(refused_reads, ge(1));
    expect_that!(platform.counts().limited, eq((refused + refused_reads) as u64));
}

fn host_record(name: &str) -> HostRecord {
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

/// Guards against a change of the host list that is visible before the configured lag.
#[googletest::test]
fn host_list_shows_changes_late() {
    let options = PlatformOptions { host_lag: Duration::from_millis(1500), ..PlatformOptions::default() };
    let (platform, client) = start_platform(options);
    let count_listed_hosts = || client.list_hosts().expect("an answer").hosts.len();
    platform.set_hosts(vec![host_record("h1")]);
    expect_that!(count_listed_hosts(), eq(1));
    platform.set_hosts(vec![host_record("h1"), host_record("h2")]);
    expect_that!(count_listed_hosts(), eq(1));
    wait_for("the new list", || count_listed_hosts() == 2);
}

/// Guards against a target order with an old epoch that is accepted with fencing, rejected without, or not recorded.
#[googletest::test]
fn target_orders_are_fenced_and_recorded() {
    for checks_fencing in [true, false] {
        let call_count = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&call_count);
        let order_hook = Some(Arc::new(move |_: &TargetOrder| {
            counter.fetch_add(1, Ordering::AcqRel);
        }) as camphorspring_standins::platform::OrderHook);
        let (platform, client) =
            start_platform(PlatformOptions { checks_fencing, order_hook, ..PlatformOptions::default() });
        let send_order = |domain: &str, epoch| {
            let order = TargetOrder {
                order_id: "o".to_owned(),
                failure_domain: domain.to_owned(),
                epoch,
                host: "h".to_owned(),
                running: vec!["e1".to_owned()],
            };
            client.order_targets(&order).expect("an answer").accepted
        };
        let accepted =
            vec![send_order("north", 2), send_order("north", 2), send_order("south", 1), send_order("north", 1)];
        expect_that!(accepted, eq(&vec![true, true, true, !checks_fencing]));
        let recorded: Vec<bool> = platform.orders().iter().map(|record| record.accepted).collect();
        expect_that!(recorded, eq(&accepted));
        let expected = accepted.iter().filter(|accepted| **accepted).count() as u64;
        wait_for("the hook", || call_count.load(Ordering::Acquire) == expected);
    }
}

/// Guards against a usage report that is sent again with other content and goes unnoticed.
#[googletest::test]
fn differing_usage_reports_are_seen() {
    let (platform, client) = start_platform(PlatformOptions::default());
    let report_text = |epoch: u64| format!(r#"{{"report_id":"r","window":300,"epoch":{epoch},"figures":[]}}"#);
    expect_that!(client.report_usage(report_text(1).as_bytes()), eq(&Ok(())));
    expect_that!(client.report_usage(report_text(1).as_bytes()), eq(&Ok(())));
    expect_that!(client.report_usage(report_text(2).as_bytes()), eq(&Err(StoreCallError::Refused(409))));
    let equals_first: Vec<bool> = platform.reports().iter().map(|record| record.equals_first).collect();
    expect_that!(equals_first, eq(&vec![true, true, false]));
    expect_that!(platform.reports()[2].text, eq(&report_text(2)));
}
