//! Single requests of the largest size that the configuration allows, and of one byte more.

use googletest::prelude::*;

use crate::crowd_host::{CrowdHost, MAX_BODY_BYTES, exchange};
use crate::senders::{BodyForm, format_body};
use crate::{encode_large_job, format_head};

/// Guards against bounds that refuse a single request inside the limits.
#[gtest]
fn largest_requests_are_served() {
    let mut host = CrowdHost::start_in_installation();
    let address = host.caller_address();
    let body = vec![b'x'; MAX_BODY_BYTES];
    let sized = BodyForm::Sized { is_whole: true };
    let mut statuses = vec![
        exchange(address, &format_body(&format_head("/plain/ask", "sized"), sized, &body)),
        exchange(address, &format_body(&format_head("/once/ask", "once"), sized, &body)),
        exchange(address, &format_body(&format_head("/batch/", "job"), sized, &encode_large_job(MAX_BODY_BYTES, 600))),
    ];
    for chunk_bytes in [1000, 1024 * 1024] {
        let form = BodyForm::Chunked { chunk_bytes };
        let mut request = format_body(&format_head("/plain/ask", "chunked"), form, &body);
        request.extend_from_slice(b"0\r\n\r\n");
        statuses.push(exchange(address, &request));
    }
    let expected =
        ["HTTP/1.1 200 OK", "HTTP/1.1 200 OK", "HTTP/1.1 202 Accepted", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK"];
    expect_that!(statuses, eq(&expected));
    host.check_limits();
}

/// Guards against requests over a limit that are served, or refused with a status that invites a repetition.
#[gtest]
fn requests_over_the_limits_are_refused() {
    let host = CrowdHost::start_in_installation();
    let address = host.caller_address();
    let long_head = format!("{}x: {}\r\n\r\n", format_head("/plain/ask", "head"), "a".repeat(31 * 1024));
    let body = vec![b'x'; MAX_BODY_BYTES + 1];
    let long_body = format_body(&format_head("/plain/ask", "body"), BodyForm::Sized { is_whole: true }, &body);
    expect_that!(exchange(address, long_head.as_bytes()), starts_with("HTTP/1.1 431 "));
    expect_that!(exchange(address, &long_body), starts_with("HTTP/1.1 413 "));
}
