//! Crowds against a host that runs `serve`.

use googletest::prelude::*;

use crate::check_crowd;
use crate::crowd_host::{CrowdHost, GATEWAY_BODY_BYTES};
use crate::senders::{BodyForm, format_body};

const HEAD: &str = "POST /v1/completions HTTP/1.1\r\nhost: h\r\n";

/// Guards against a process that runs out of memory under bodies of legal size that stop one byte short of their end.
#[gtest]
fn gateway_bodies_one_byte_short() {
    let mut host = CrowdHost::start_with_gateway();
    let request = format_body(HEAD, BodyForm::Sized { is_whole: false }, &vec![b'x'; GATEWAY_BODY_BYTES]);
    let address = host.caller_address();
    check_crowd(&mut host, address, 120, &request);
}

/// Guards against a process that keeps an object for each chunk of a body.
#[gtest]
fn gateway_bodies_in_chunks_of_one_byte() {
    let mut host = CrowdHost::start_with_gateway();
    let request = format_body(HEAD, BodyForm::Chunked { chunk_bytes: 1 }, &vec![b'x'; 256 * 1024]);
    let address = host.caller_address();
    check_crowd(&mut host, address, 32, &request);
}

/// Guards against silent connections that keep all others out.
#[gtest]
fn silent_connections_use_all_of_the_gateway() {
    let mut host = CrowdHost::start_with_gateway();
    let address = host.caller_address();
    check_crowd(&mut host, address, 400, b"");
}

/// Guards against a process that runs out of memory under bodies at the address for operators.
#[gtest]
fn bodies_of_operators_one_byte_short() {
    let mut host = CrowdHost::start_with_gateway();
    let request = format_body(HEAD, BodyForm::Sized { is_whole: false }, &vec![b'x'; GATEWAY_BODY_BYTES]);
    let address = host.status_address();
    check_crowd(&mut host, address, 120, &request);
}

/// Guards against silent connections at the address for other hosts that use all descriptors.
#[gtest]
fn silent_links_use_all_descriptors() {
    let mut host = CrowdHost::start_with_gateway();
    let address = host.peer_address();
    check_crowd(&mut host, address, 1000, b"");
}
