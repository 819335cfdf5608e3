//! Notices of weight loads.

use camphorspring::duties::weight_load_notice::{PendingWeightLoads, WeightLoadNotice};
use camphorspring::fleet::target_load::LoadTable;
use googletest::prelude::*;

use crate::fleet::builders::{at, engine, view};

fn new_load(target: &str, version: u64) -> WeightLoadNotice {
    WeightLoadNotice { target: target.to_owned(), started_ms: Some(1), model: "m".to_owned(), version, done_ms: 0 }
}

/// Guards against notice rows that the store refuses for their length. 600 loads begin at once, as on an installation
/// of 3,000 engines.
#[gtest]
fn rows_of_a_notice_stay_within_what_the_store_takes() {
    let mut pending_loads = PendingWeightLoads::default();
    for number in 0..600 {
        pending_loads.add(new_load(&format!("i-{number:010x}"), 12_345), 1_700_000_000_000);
    }
    let rows = pending_loads.rows_to_publish();
    let longest = rows.iter().map(|row| serde_json::to_vec(row).expect("it encodes").len()).max();
    expect_that!(longest, some(lt(65_536)));
    expect_that!(rows.iter().map(Vec::len).sum::<usize>(), eq(600));
    expect_that!(pending_loads.rows_to_publish(), is_empty());
}

/// Guards against an older version that replaces a newer one because the rows of the two loads arrive in another order.
#[gtest]
fn newest_load_of_an_engine_counts() {
    let mut sent = PendingWeightLoads::default();
    sent.add(new_load("e1", 2), 1_000);
    sent.add(new_load("e1", 3), 5_000);
    let mut loads: Vec<WeightLoadNotice> = sent.rows_to_publish().concat();
    loads.reverse();
    let mut pending_loads = PendingWeightLoads::default();
    pending_loads.merge(loads);
    let (view, mut table) = (view(vec![engine("e1", 1)], &["h1"], at(0)), LoadTable::new());
    pending_loads.apply_completed_loads(&view, &mut table, 10_000);
    expect_that!(table.model_version(&engine("e1", 1), "m"), some(eq(3)));
}
