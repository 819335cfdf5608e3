//! Timelines of failed requests from the logs of several hosts. The log files are extracts of runs on the users' test
//! bench.

use std::path::Path;
use std::process::Command;

use camphorspring::admin::explain::{LogLine, format_timeline, parse_line, read_log, select_related_lines};
use camphorspring::logs::EventEncoder;
use googletest::prelude::*;
use time::OffsetDateTime;

fn format_file_timeline(file: &str, id: &str) -> String {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/integration/explain");
    format_timeline(&select_related_lines(id, read_log(&directory.join(file)).expect("the log is there")))
}

/// Guards against a timeline that does not show why a job was refused: the store failed.
#[gtest]
fn refused_job_leads_to_the_store() {
    insta::assert_snapshot!(format_file_timeline("refused_job.log", "019ecdfa3e9ff018"));
}

/// Guards against a timeline that does not name the target which closed the connection without an answer.
#[gtest]
fn request_without_answer_leads_to_its_target() {
    insta::assert_snapshot!(format_file_timeline("request_without_answer.log", "f43622912831f329"));
}

/// Guards against the timeline of a late step without the restart of the hosts, which lost power while the step ran.
#[gtest]
fn late_step_leads_to_the_restart_of_its_hosts() {
    insta::assert_snapshot!(format_file_timeline("late_step.log", "6f128a45d1a25f7b"));
}

/// Guards against the timeline of an item that leaves out the lines about its batch job.
#[gtest]
fn item_leads_to_its_job() {
    let line = |event: &str, rest: &str| {
        parse_line(&format!("time=2026-01-01T00:00:00Z level=info host=h1 event={event} {rest}"))
    };
    let lines: Vec<LogLine> = [
        line("job_accepted", "job=j1"),
        line("item_run_ended", "job=j1 item=i1"),
        line("item_run_ended", "job=j1 item=i2"),
    ]
    .into_iter()
    .flatten()
    .collect();
    let events: Vec<String> = select_related_lines("i1", lines).into_iter().map(|line| line.event).collect();
    expect_that!(events, eq(&["job_accepted".to_owned(), "item_run_ended".to_owned()]));
}

/// Guards against lines that are left out because a log collector put a prefix before them or a value has spaces.
#[gtest]
fn prefixed_and_quoted_lines_are_parsed() {
    let line = parse_line(
        r#"h1[12]: time=2026-01-01T00:00:00Z level=warn host=h1 event=job_refused job=j1 fault="a \"b\" = c" n=3"#,
    );
    let line = line.expect("it is an event");
    expect_that!(line.field("fault"), some(eq(r#"a "b" = c"#)));
    expect_that!(line.field("n"), some(eq("3")));
    expect_that!(parse_line("a panic message"), none());
}

/// Guards against an `explain` that prints nothing and succeeds for an id that no log names.
#[gtest]
fn explaining_unknown_id_fails() {
    let run_explain = |id: &str, options: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_camphorspring"));
        command.args(["explain", id, "tests/integration/explain/late_step.log"]).args(options);
        command.output().expect("the program runs")
    };
    expect_that!(run_explain("nobody", &[]).status.success(), eq(false));
    let known = run_explain("6f128a45d1a25f7b", &["--json"]);
    let lines: Vec<serde_json::Value> = serde_json::from_slice(&known.stdout).expect("it is JSON");
    expect_that!(lines.len(), gt(4));
}

/// Guards against a timeline without the `log_lines_left_out` lines. The parser once rejected them, because the
/// appender wrote their time in another format than that of other lines.
#[gtest]
fn count_of_lines_left_out_is_parsed() {
    let head =
        EventEncoder::new("h1").format_prefix(log::Level::Warn, "log_lines_left_out", OffsetDateTime::UNIX_EPOCH);
    let line = parse_line(&format!("{head} count=3")).expect("it is an event");
    expect_that!(line.event, eq("log_lines_left_out"));
    expect_that!(line.field("count"), some(eq("3")));
}
