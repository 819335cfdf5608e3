//! Entries of targets that another writer left in the store.

use std::time::Duration;

use camphorspring::fleet::fleet_state::FleetChange;
use camphorspring::row_store::StoredRow;
use googletest::prelude::*;
use serde_json::{Value, json};

#[path = "../../platform/rows.rs"]
mod rows;

fn entry() -> Value {
    json!({
        "service": "desk", "address": "127.0.0.1:80", "zone": "north", "version": "1", "slots": 12, "state": "ready",
        "cold_left_ms": 0, "seq": 1, "born": 1,
    })
}

fn decode(value: &[u8]) -> FleetChange {
    let (table, key) = ("t".to_owned(), "a".to_owned());
    let row = StoredRow { table, part: String::new(), key, value: Some(value.to_vec()), version: 1 };
    // A day after the boot.
    rows::decode_target_row(&row, Duration::from_hours(24))
}

/// Guards against an entry that ends the thread which reads the entries, or names a target that cannot be used.
#[gtest]
fn odd_entries_name_no_target() {
    // Just under 2^64 s, which added to the time since the boot is more than a duration can hold.
    let too_cold = 18_446_744_073_709_549_568_000.0_f64;
    let odd_fields = [
        ("cold_left_ms", json!(too_cold)),
        ("cold_left_ms", json!(1e308)),
        ("cold_left_ms", json!(-1e300)),
        ("cold_left_ms", json!("soon")),
        ("slots", json!(4_294_967_296_u64)),
        ("slots", json!(-1)),
        ("born", json!(1e30)),
        ("address", json!("127.0.0.1:99999")),
        ("address", json!("nowhere:80")),
        ("state", json!("resting")),
        ("service", json!(["desk"])),
        ("models", json!({"name": "m"})),
    ];
    let mut values: Vec<Vec<u8>> = odd_fields
        .into_iter()
        .map(|(field, value)| {
            let mut entry = entry();
            entry[field] = value;
            entry.to_string().into_bytes()
        })
        .collect();
    values.push("[".repeat(100_000).into_bytes());
    values.push(format!("{{\"models\":{}", "[".repeat(100_000)).into_bytes());
    values.push(vec![0xff, 0xfe, 0x00]);
    values.push(Vec::new());
    for value in values {
        let change = decode(&value);
        expect_that!(matches!(change, FleetChange::TargetRemoved(_)), eq(true), "{change:?}");
    }
    expect_that!(matches!(decode(entry().to_string().as_bytes()), FleetChange::Target(_)), eq(true));
    let evacuation = StoredRow {
        table: "op".to_owned(),
        part: String::new(),
        key: "config".to_owned(),
        value: Some("[".repeat(100_000).into_bytes()),
        version: 1,
    };
    expect_that!(rows::decode_operator_row(&evacuation, Duration::ZERO), eq(&FleetChange::Ignored));
}
