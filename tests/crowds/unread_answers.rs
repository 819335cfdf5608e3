//! Clients that never read their answers.

use googletest::prelude::*;

use crate::check_crowd;
use crate::crowd_host::{CrowdHost, format_request};
use crate::stand_ins::target::ANSWER_BYTES_HEADER;

/// Size of an answer in bytes, more than the system buffers of a connection.
const ANSWER_BYTES: usize = 16 << 20;

/// Guards against clients that ask for large answers and never read them: they must neither keep all others out nor fill the
/// memory.
#[gtest]
fn large_answers_are_never_read() {
    let mut host = CrowdHost::start_in_installation();
    let headers = format!("{ANSWER_BYTES_HEADER}: {ANSWER_BYTES}\r\n");
    let request = format_request("POST", "/plain/ask", "unread", &headers, "");
    let address = host.caller_address();
    check_crowd(&mut host, address, 600, request.as_bytes());
}

/// Guards against a large answer that is cut although its client reads it.
#[gtest]
fn large_answer_is_read() {
    let mut host = CrowdHost::start_in_installation();
    let headers = format!("{ANSWER_BYTES_HEADER}: {ANSWER_BYTES}\r\nconnection: close\r\n");
    let request = format_request("POST", "/plain/ask", "read", &headers, "");
    expect_that!(crate::crowd_host::count_answer_bytes(host.caller_address(), request.as_bytes()), ge(ANSWER_BYTES));
    host.check_limits();
}
