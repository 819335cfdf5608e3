//! Parsing of event streams that arrive in pieces or break off.

use camphorspring::relay::event_reader::{EventReader, StreamEvent};
use googletest::prelude::*;

fn parse_version(line: &str) -> Option<u64> {
    line.strip_prefix("versions: ").and_then(|value| value.parse().ok())
}

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\nversions: 3\nid: 2\ndata: two\ndata: lines\n\n:note\n\nid: 3\r\ndata:x\r\n\r\n";

fn build_event(id: u64, data: &str, version: Option<u64>) -> StreamEvent {
    StreamEvent { id: Some(id), data: data.to_owned(), version }
}

/// Guards against events that are parsed differently depending on where the network splits the stream.
#[gtest]
fn events_are_the_same_however_the_bytes_arrive() {
    let expected = vec![build_event(1, "one", None), build_event(2, "two\nlines", Some(3)), build_event(3, "x", None)];
    for size in 1..STREAM.len() {
        let mut reader = EventReader::new();
        let events: Vec<StreamEvent> = STREAM
            .chunks(size)
            .flat_map(|chunk| reader.push(chunk, parse_version).expect("the stream is well formed"))
            .collect();
        expect_that!(events, eq(&expected), "with chunks of {size}");
        expect_that!(reader.is_at_boundary(), eq(true));
    }
}

/// Guards against a stream that counts as complete although the connection broke within an event.
#[gtest]
fn stream_that_ends_within_an_event_is_incomplete() {
    let mut reader = EventReader::new();
    let events = reader.push(b"id: 1\ndata: one\n\nid: 2\ndata: t", parse_version).expect("the stream is well formed");
    expect_that!(events.len(), eq(1));
    expect_that!(reader.is_at_boundary(), eq(false));
}
