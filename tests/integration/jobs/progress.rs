//! Output of items, and its saves to the store.

use camphorspring::jobs::item_run::{ItemProgress, VersionSpan};
use camphorspring::jobs::job_progress::{ProgressSaver, ProgressSegment, apply_tenure, read_progress, save_segments};
use camphorspring::relay::event_reader::StreamEvent;
use googletest::prelude::*;

use super::results::{memory_store, wait_for};

fn output(events: u64, version: u64) -> ItemProgress {
    let mut progress = ItemProgress::default();
    for id in 1..=events {
        let event = StreamEvent { id: Some(id), data: format!("token {id}"), version: None };
        assert!(progress.append_event(event, Some(version)));
        progress.software = Some("s1".to_owned());
    }
    progress
}

/// Guards against missing or duplicate events in an output.
#[gtest]
fn output_takes_events_in_order_only() {
    let mut progress = output(3, 1);
    let event = |id| StreamEvent { id, data: "x".to_owned(), version: None };
    let are_appended = [Some(3), Some(5), None, Some(4)].map(|id| progress.append_event(event(id), Some(2)));
    expect_that!(are_appended, eq([false, false, false, true]));
    expect_that!(progress.versions(), eq(&vec![1, 2]));
}

fn segment(index: usize, data: &[&str], version: u64) -> ProgressSegment {
    ProgressSegment {
        item: 0,
        index,
        last_event: (index + data.len()) as u64,
        data: data.iter().map(|text| (*text).to_owned()).collect(),
        version_runs: vec![VersionSpan { from: index, version }],
        software: Some("s1".to_owned()),
        is_last: false,
    }
}

/// Guards against an output that is joined from saved segments with a gap, with duplicates or in the wrong order.
#[gtest]
fn segments_only_continue_an_output() {
    let mut progress = vec![ItemProgress::default()];
    apply_tenure(
        &mut progress,
        &[segment(2, &["c"], 1), segment(0, &["a", "b"], 1), segment(1, &["b"], 1), segment(2, &["c"], 2)],
    );
    expect_that!(progress[0].data, eq(&vec!["a", "b", "c"]));
    expect_that!(progress[0].last_event, some(eq(3)));
    expect_that!(progress[0].versions(), eq(&vec![1, 2]));
}

/// Guards against an output that joins the events of two runs: a former owner went on saving after its successor had
/// resumed the item at position 2.
#[gtest]
fn later_tenure_replaces_what_a_former_owner_saved() {
    let mut progress = vec![ItemProgress::default()];
    apply_tenure(&mut progress, &[segment(0, &["a1", "b1"], 1), segment(2, &["c1", "d1", "e1", "f1"], 3)]);
    apply_tenure(&mut progress, &[segment(2, &["c2", "d2"], 2)]);
    expect_that!(progress[0].data, eq(&vec!["a1", "b1", "c2", "d2"]));
    expect_that!(progress[0].last_event, some(eq(4)));
    // Version 3 generated only events that were dropped.
    expect_that!(progress[0].versions(), eq(&vec![1, 2]));
}

/// Guards against long items that start again from nothing after all hosts lost power: the output of several saves must
/// be read back whole.
#[gtest]
fn saved_output_is_read_back() {
    let store = memory_store();
    let mut saver = ProgressSaver::new(0, &[output(0, 1), output(0, 1), output(0, 1)]);
    let mut saved = Vec::new();
    for (first, second) in [(10, 40), (50, 90)] {
        let outputs = [output(first, 1), output(second, 2), output(0, 1)];
        let segments: Vec<ProgressSegment> =
            outputs.iter().enumerate().filter_map(|(index, output)| saver.next_segment(index, output)).collect();
        saved
            .push(segments.iter().map(|segment| (segment.item, segment.index, segment.data.len())).collect::<Vec<_>>());
        wait_for(save_segments(&store, "j", &mut saver, &segments)).expect("the store answers");
    }
    // At the first save, the output of item 0 was too short to be saved.
    expect_that!(saved, eq(&vec![vec![(1, 0, 40)], vec![(0, 0, 50), (1, 40, 50)]]));
    let read = wait_for(read_progress(&store, "j", 3)).expect("the store answers");
    let lengths: Vec<(usize, Option<u64>)> = read.iter().map(|item| (item.data.len(), item.last_event)).collect();
    expect_that!(lengths, eq(&vec![(50, Some(50)), (90, Some(90)), (0, None)]));
    expect_that!(read[1].data, eq(&output(90, 2).data));
}

/// Guards against a complete output that is generated again because its owner failed before the score arrived: also a
/// short one, and one whose events were saved before its end was known.
#[gtest]
fn complete_outputs_are_read_back_as_complete() {
    let store = memory_store();
    let mut saver = ProgressSaver::new(0, &[output(0, 1), output(0, 1), output(0, 1)]);
    let mut outputs = [output(3, 1), output(20, 1), output(30, 1)];
    for is_complete in [false, true] {
        outputs[0].is_complete = is_complete;
        outputs[1].is_complete = is_complete;
        let segments: Vec<ProgressSegment> =
            outputs.iter().enumerate().filter_map(|(index, output)| saver.next_segment(index, output)).collect();
        wait_for(save_segments(&store, "j", &mut saver, &segments)).expect("the store answers");
    }
    let read = wait_for(read_progress(&store, "j", 3)).expect("the store answers");
    let states: Vec<(usize, bool)> = read.iter().map(|item| (item.data.len(), item.is_complete)).collect();
    expect_that!(states, eq(&vec![(3, true), (20, true), (30, false)]));
    expect_that!(read[0].versions(), eq(&vec![1]));
}

/// Guards against an output that counts as complete because a former owner saved its end, although a successor has
/// replaced that end by events of its own.
#[gtest]
fn replaced_end_of_an_output_is_not_complete() {
    let mut progress = vec![ItemProgress::default()];
    let last = ProgressSegment { is_last: true, ..segment(2, &["c1"], 1) };
    apply_tenure(&mut progress, &[segment(0, &["a1", "b1"], 1), last]);
    expect_that!(progress[0].is_complete, eq(true));
    apply_tenure(&mut progress, &[segment(2, &["c2", "d2"], 2)]);
    expect_that!((progress[0].is_complete, progress[0].data.len()), eq((false, 4)));
}

/// Guards against an output that joins two versions of the software: an owner dropped what it had saved and began anew at
/// other software, or a segment of other software follows.
#[gtest]
fn saved_output_is_from_one_software_version() {
    let other = |index, data| ProgressSegment { software: Some("s2".to_owned()), ..segment(index, data, 1) };
    let mut progress = vec![ItemProgress::default()];
    apply_tenure(&mut progress, &[segment(0, &["a1", "b1"], 1), other(2, &["c2"])]);
    expect_that!(progress[0].data, eq(&vec!["a1", "b1"]));
    apply_tenure(&mut progress, &[segment(2, &["c1"], 1), other(0, &["a2"]), other(1, &["b2"])]);
    expect_that!(progress[0].data, eq(&vec!["a2", "b2"]));
    expect_that!(progress[0].software.as_deref(), some(eq("s2")));
}

/// Guards against an output that a save joins to one that was dropped: the next save must start from the beginning.
#[gtest]
fn dropped_output_is_saved_anew() {
    let mut saver = ProgressSaver::new(0, &[output(0, 1)]);
    let mut next_index = |events, restarts| {
        let progress = ItemProgress { restarts, ..output(events, 1) };
        saver.next_segment(0, &progress).map(|segment| (segment.index, segment.data.len()))
    };
    let indexes = [next_index(30, 0), next_index(5, 1), next_index(40, 1)];
    expect_that!(indexes, eq([Some((0, 30)), None, Some((0, 40))]));
}

/// Guards against an output that joins two runs in the store: it was dropped, and grew beyond its saved length until the next
/// save.
#[gtest]
fn output_that_grew_again_is_saved_from_its_start() {
    let mut saver = ProgressSaver::new(0, &[output(0, 1)]);
    let mut progress = output(30, 1);
    let first = saver.next_segment(0, &progress).map(|segment| (segment.index, segment.data.len()));
    progress.restart();
    for id in 1..=40 {
        progress.append_event(StreamEvent { id: Some(id), data: format!("again {id}"), version: None }, Some(2));
    }
    let second = saver.next_segment(0, &progress).map(|segment| (segment.index, segment.data.len()));
    expect_that!([first, second], eq([Some((0, 30)), Some((0, 40))]));
}

/// Guards against an output that goes on anywhere after an update of the program: earlier program versions saved none of
/// the software versions.
#[gtest]
fn saved_output_without_software_version_is_not_used() {
    let store = memory_store();
    let mut saver = ProgressSaver::new(0, &[output(0, 1)]);
    let segments = [ProgressSegment { software: None, ..segment(0, &["a", "b"], 1) }];
    wait_for(save_segments(&store, "j", &mut saver, &segments)).expect("the store answers");
    let read = wait_for(read_progress(&store, "j", 1)).expect("the store answers");
    expect_that!(read[0].data, is_empty());
}

/// Guards against a lost end of an output that is too long for one row.
#[gtest]
fn end_of_a_long_output_is_in_its_last_row() {
    let store = memory_store();
    let mut long = ItemProgress { is_complete: true, software: Some("s1".to_owned()), ..ItemProgress::default() };
    for id in 1..=20 {
        let event = StreamEvent { id: Some(id), data: "x".repeat(9_000), version: None };
        assert!(long.append_event(event, Some(1)));
    }
    let mut saver = ProgressSaver::new(0, &[output(0, 1)]);
    let segments: Vec<ProgressSegment> = saver.next_segment(0, &long).into_iter().collect();
    wait_for(save_segments(&store, "j", &mut saver, &segments)).expect("the store answers");
    let read = wait_for(read_progress(&store, "j", 1)).expect("the store answers");
    expect_that!((read[0].data.len(), read[0].is_complete), eq((20, true)));
}
