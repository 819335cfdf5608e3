//! Bodies that are received into a budget.

use std::io::Read;

use bytes::Bytes;
use camphorspring::memory::{MemoryBudget, ReceiveError, ReceivedBody, receive_body};
use camphorspring::traffic::crash_quarantine::{fingerprint_of, fingerprint_with_body};
use futures_util::stream;
use googletest::prelude::*;
use http_body_util::StreamBody;
use hyper::body::Frame;
use std::sync::Arc;

fn receive(budget: &Arc<MemoryBudget>, chunks: Vec<Bytes>, max_bytes: usize) -> Result<ReceivedBody, ReceiveError> {
    let frames = chunks.into_iter().map(|chunk| Ok::<_, std::convert::Infallible>(Frame::data(chunk)));
    let mut body = StreamBody::new(stream::iter(frames));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    runtime.block_on(receive_body(budget, &mut body, max_bytes))
}

fn single_bytes(count: usize) -> Vec<Bytes> {
    (0..count)
        .map(|position| Bytes::copy_from_slice(&[b'a' + u8::try_from(position % 23).unwrap_or_default()]))
        .collect()
}

/// Guards against chunks that are kept as objects, bytes in another order, and memory that is not given back.
#[gtest]
fn chunks_of_one_byte_become_segments() {
    let budget = MemoryBudget::new(1 << 20, 1);
    let chunks = single_bytes(200_000);
    let expected = chunks.concat();
    let body = receive(&budget, chunks, 200_000).expect("the body is received");
    expect_that!(body.segments().len(), le(5));
    expect_that!(budget.used(), all!(ge(200_000), le(400_000)));
    expect_that!(body.to_vec() == expected, eq(true));
    let fingerprint = fingerprint_with_body("host", &[b"field"], &body);
    expect_that!(
        fingerprint,
        eq(&fingerprint_of("host", &[b"field", &expected])),
        "as hosts of earlier builds form it"
    );
    let mut read = Vec::new();
    body.into_reader().read_to_end(&mut read).expect("the segments are read");
    expect_that!(read == expected, eq(true));
    expect_that!(budget.used(), eq(0));
}

/// Guards against bodies over their limit or over the budget that are taken, or that leave memory behind.
#[gtest]
fn bodies_without_room_are_refused() {
    let budget = MemoryBudget::new(1 << 20, 1);
    let chunk = Bytes::from(vec![b'x'; 100_000]);
    expect_that!(receive(&budget, vec![chunk.clone(); 3], 299_999).err(), some(eq(ReceiveError::TooLarge)));
    expect_that!(receive(&budget, vec![chunk.clone(); 12], 1 << 30).err(), some(eq(ReceiveError::NoMemory)));
    expect_that!(budget.used(), eq(0));
    expect_that!(receive(&budget, vec![chunk; 3], 300_000).map(|body| body.len()).ok(), some(eq(300_000)));
}
