//! Parser of event streams.

use camphorspring::relay::event_reader::{EventReader, StreamEvent};
use googletest::prelude::*;

fn version_line(line: &str) -> Option<u64> {
    line.strip_prefix("versions: ").and_then(|value| value.parse().ok())
}

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\nversions: 3\nid: 2\ndata: two\ndata: lines\n\n:note\n\nid: 3\r\ndata:x\r\n\r\n";

fn event(id: u64, data: &str, version: Option<u64>) -> StreamEvent {
    StreamEvent { id: Some(id), data: data.to_owned(), version }
}

/// Guards against events that depend on where the stream is cut into packets.
#[gtest]
fn events_are_the_same_however_the_bytes_arrive() {
    let expected = vec![event(1, "one", None), event(2, "two\nlines", Some(3)), event(3, "x", None)];
    for size in 1..STREAM.len() {
        let mut reader = EventReader::new();
        let events: Vec<StreamEvent> = STREAM
            .chunks(size)
            .flat_map(|chunk| reader.push(chunk, version_line).expect("the stream is well formed"))
            .collect();
        expect_that!(events, eq(&expected), "with chunks of {size}");
        expect_that!(reader.is_at_boundary(), eq(true));
    }
}

/// Guards against an output that counts as whole although it breaks off within an event.
#[gtest]
fn stream_that_ends_within_an_event_is_not_whole() {
    let mut reader = EventReader::new();
    let events = reader.push(b"id: 1\ndata: one\n\nid: 2\ndata: t", version_line).expect("the stream is well formed");
    expect_that!(events.len(), eq(1));
    expect_that!(reader.is_at_boundary(), eq(false));
}
