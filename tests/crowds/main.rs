//! Crowds of clients that do not behave, against real processes whose machine has little memory and few descriptors.
//!
//! Each test checks what does not depend on the speed of the machine: the process lives, its memory and its descriptors
//! stay under their bounds, and an ordinary request is answered beside the crowd and after it. The tests run one at a
//! time.

mod crowd_host;
mod gateway;
mod senders;
#[path = "../../platform/stand_ins/mod.rs"]
#[allow(dead_code, reason = "the soak uses the rest")]
mod stand_ins;
mod unread_answers;
mod whole_requests;

use std::net::SocketAddr;

use crowd_host::{CALLER_HOST, CALLER_KEY, CrowdHost, MAX_BODY_BYTES};
use googletest::prelude::*;
use senders::{BodyForm, format_body, send_crowd};

/// Head of a request with a key, without the headers of its body.
fn format_head(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {CALLER_HOST}\r\nauthorization: Bearer {CALLER_KEY}\r\nx-request-id: {id}\r\n"
    )
}

/// Sends a crowd and checks the host beside it and after it.
fn check_crowd(host: &mut CrowdHost, address: SocketAddr, count: usize, request: &[u8]) {
    let streams = send_crowd(address, count, request);
    host.wait_until_quiet();
    host.check_limits();
    host.wait_until_answered();
    drop(streams);
    host.wait_until_answered();
    host.check_limits();
}

fn check_bodies(path: &str, count: usize, form: BodyForm, body: &[u8]) {
    let mut host = CrowdHost::start_in_installation();
    let request = format_body(&format_head(path, "crowd"), form, body);
    let address = host.caller_address();
    check_crowd(&mut host, address, count, &request);
}

/// Guards against a process that runs out of memory under bodies of legal size that stop one byte short of their end.
#[gtest]
fn bodies_one_byte_short() {
    check_bodies("/plain/ask", 24, BodyForm::Sized { is_whole: false }, &vec![b'x'; MAX_BODY_BYTES]);
}

/// Guards against a process that runs out of memory under whole bodies of legal size that arrive at once.
#[gtest]
fn whole_bodies() {
    check_bodies("/plain/ask", 24, BodyForm::Sized { is_whole: true }, &vec![b'x'; MAX_BODY_BYTES]);
}

/// Guards against a process that keeps an object for each chunk of a body.
#[gtest]
fn bodies_in_chunks_of_one_byte() {
    check_bodies("/plain/ask", 32, BodyForm::Chunked { chunk_bytes: 1 }, &vec![b'x'; 256 * 1024]);
}

/// Guards against a process that runs out of memory under bodies in large chunks that never end.
#[gtest]
fn bodies_in_large_chunks() {
    check_bodies("/plain/ask", 24, BodyForm::Chunked { chunk_bytes: 1024 * 1024 }, &vec![b'x'; MAX_BODY_BYTES]);
}

/// Guards against a process that runs out of memory under many bodies of moderate size that stop short of their end.
#[gtest]
fn many_moderate_bodies_one_byte_short() {
    check_bodies("/plain/ask", 320, BodyForm::Sized { is_whole: false }, &vec![b'x'; 512 * 1024]);
}

/// Batch job of about this many bytes, whose items have bodies of this many bytes.
fn encode_large_job(bytes: usize, item_bytes: usize) -> Vec<u8> {
    let body = "QUJD".repeat(item_bytes / 4);
    let item = |number: usize| format!("{{\"id\":\"i{number}\",\"path\":\"/batch/run\",\"body\":\"{body}\"}}");
    let count = bytes / (item(100_000).len() + 1);
    let items: Vec<String> = (0..count).map(item).collect();
    format!("{{\"step\":0,\"model\":\"\",\"min_version\":0,\"target_groups\":0,\"requests\":[{}]}}", items.join(","))
        .into_bytes()
}

/// Guards against a process that runs out of memory under batch jobs of legal size that stop one byte short of their end.
#[gtest]
fn jobs_one_byte_short() {
    let job = encode_large_job(MAX_BODY_BYTES, 64 * 1024);
    check_bodies("/batch/", 24, BodyForm::Sized { is_whole: false }, &job);
}

/// Guards against a process that runs out of memory under whole batch jobs, each of which is kept in several forms.
#[gtest]
fn whole_jobs() {
    let job = encode_large_job(MAX_BODY_BYTES, 64 * 1024);
    check_bodies("/batch/", 24, BodyForm::Sized { is_whole: true }, &job);
}

/// Guards against a process that runs out of memory under batch jobs of many small items.
#[gtest]
fn whole_jobs_of_small_items() {
    let job = encode_large_job(MAX_BODY_BYTES / 2, 4);
    check_bodies("/batch/", 8, BodyForm::Sized { is_whole: true }, &job);
}

/// Guards against heads over the limit that are kept, and against heads without end.
#[gtest]
fn heads_without_end() {
    let mut host = CrowdHost::start_in_installation();
    let request = format!("GET /plain/ HTTP/1.1\r\nhost: {CALLER_HOST}\r\nx: {}", "a".repeat(400 * 1024));
    let address = host.caller_address();
    check_crowd(&mut host, address, 400, request.as_bytes());
}

/// Guards against senders of empty lines before a request that occupy the host.
#[gtest]
fn empty_lines_without_end() {
    let mut host = CrowdHost::start_in_installation();
    let address = host.caller_address();
    check_crowd(&mut host, address, 60, "\r\n".repeat(2 * 1024 * 1024).as_bytes());
}

/// Guards against a host that takes no further connection while idle ones use all its descriptors, and against heads
/// within the limit, without their end, whose sum exceeds the memory.
#[gtest]
fn half_sent_heads_use_all_descriptors() {
    let mut host = CrowdHost::start_in_installation();
    let request = format!("GET /plain/ HTTP/1.1\r\nhost: {CALLER_HOST}\r\nx: {}", "a".repeat(15_000));
    let address = host.caller_address();
    check_crowd(&mut host, address, 1500, request.as_bytes());
}

/// Guards against a host that takes no further connection while silent ones use all its descriptors.
#[gtest]
fn silent_connections_use_all_descriptors() {
    let mut host = CrowdHost::start_in_installation();
    let address = host.caller_address();
    check_crowd(&mut host, address, 1500, b"");
}

/// Guards against silent connections at the address for other hosts that use all descriptors.
#[gtest]
fn silent_peers_use_all_descriptors() {
    let mut host = CrowdHost::start_in_installation();
    let address = host.peer_address();
    check_crowd(&mut host, address, 1500, b"");
}

/// Guards against silent connections at the addresses for metrics and readiness that use all descriptors.
#[gtest]
fn silent_readers_of_metrics_use_all_descriptors() {
    let mut host = CrowdHost::start_in_installation();
    let (metrics, readiness) = (host.status_address(), host.readiness_address());
    let streams = send_crowd(metrics, 800, b"");
    check_crowd(&mut host, readiness, 800, b"GET /readyz HTTP/1.1\r\nhost: h\r\nx: ");
    drop(streams);
}

/// Guards against a process that runs out of memory under bodies at the address for other hosts.
#[gtest]
fn bodies_of_peers_one_byte_short() {
    let mut host = CrowdHost::start_in_installation();
    let body = vec![b'x'; 4 * 1024 * 1024 - 1];
    let request = format_body("POST /rows-tx HTTP/1.1\r\nhost: h\r\n", BodyForm::Sized { is_whole: false }, &body);
    let address = host.peer_address();
    check_crowd(&mut host, address, 60, &request);
}

/// Guards against a process that keeps an object for each chunk of a body at the address for other hosts.
#[gtest]
fn bodies_of_peers_in_chunks_of_one_byte() {
    let mut host = CrowdHost::start_in_installation();
    let form = BodyForm::Chunked { chunk_bytes: 1 };
    let request = format_body("POST /rows-tx HTTP/1.1\r\nhost: h\r\n", form, &vec![b'x'; 256 * 1024]);
    let address = host.peer_address();
    check_crowd(&mut host, address, 32, &request);
}
