//! Rows that hosts of two builds share while the hosts are replaced one by one. The texts are as the build before wrote
//! them; a change that its hosts could not read, or that could not read theirs, shows here.

use camphorspring::duties::leader_lease::LeaseRow;
use camphorspring::fleet::member_row::MemberRow;
use camphorspring::jobs::job_record::{ItemResult, JobHeader, JobSpec};
use googletest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Reads a row and writes it again.
fn rewrite<T: DeserializeOwned + Serialize>(text: &str) -> String {
    let row: T = serde_json::from_str(text).expect("the row is readable");
    serde_json::to_string(&row).expect("the row is writable")
}

/// Guards against rows of jobs that hosts of the build before cannot read, or that lose a promise when these take a job over.
#[gtest]
fn rows_of_jobs_are_those_of_the_build_before() {
    let header = r#"{"job":"j","route":"r","caller_host":"c","organisation":"lab","model":"m","least_version":1,"item_count":70,"group_target":2,"submitted_ms":5,"objective_ms":7500,"limit_ms":40000,"owner":"h1","owner_incarnation":9,"owner_changes":1,"listed":2,"listed_items":[3,1],"listed_groups":1,"is_ended":false}"#;
    expect_that!(rewrite::<JobHeader>(header), eq(header));
    let spec = r#"{"step":1,"model":"m","least_version":1,"group_target":2,"items":[{"id":"i0","path":"/run","headers":[["x","y"]],"body":"Ym9keQ==","expected_tokens":10,"group":"g","grading":{"id":"i0-g","host":"c","path":"/grade","body":""}}]}"#;
    expect_that!(rewrite::<JobSpec>(spec), eq(spec));
    let result = r#"{"id":"i0","outcome":"Completed","text":"a\nb","versions":[1,2],"score":"s"}"#;
    expect_that!(rewrite::<ItemResult>(result), eq(result));
}

/// Guards against rows of hosts, and of the lease of the leader, that the two builds read differently.
#[gtest]
fn rows_of_hosts_are_those_of_the_build_before() {
    let member = r#"{"incarnation":9,"domain":"north","peer_address":"127.0.0.1:1","forwards_requests":true,"beat":3,"capacity":4000,"is_stopping":false,"running":[{"target":"e1","count":2}],"waiting":[{"service":"models","count":5}]}"#;
    expect_that!(rewrite::<MemberRow>(member), eq(member));
    let lease = r#"{"holder":"h1","incarnation":9,"fence":4,"beat":7,"former":[{"host":"h2","until_ms":12}]}"#;
    expect_that!(rewrite::<LeaseRow>(lease), eq(lease));
}
