//! Stories of failed requests from the logs of several hosts. The logs are extracts of runs on the users' bench.

use std::path::Path;
use std::process::Command;

use camphorspring::admin::explain::{LogLine, format_timeline, parse_line, read_log, select_related_lines};
use camphorspring::logs::EventEncoder;
use googletest::prelude::*;
use time::OffsetDateTime;

fn story(file: &str, id: &str) -> String {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/integration/explain");
    format_timeline(&select_related_lines(id, read_log(&directory.join(file)).expect("the log is there")))
}

/// Guards against a refused job whose log does not lead to the fault of the store.
#[gtest]
fn refused_job_leads_to_the_store() {
    insta::assert_snapshot!(story("refused_job.log", "019ecdfa3e9ff018"));
}

/// Guards against a request without an answer whose log does not name the target that broke off.
#[gtest]
fn request_without_answer_leads_to_its_target() {
    insta::assert_snapshot!(story("request_without_answer.log", "f43622912831f329"));
}

/// Guards against a late step whose log does not show that its hosts lost power in the middle.
#[gtest]
fn late_step_leads_to_the_restart_of_its_hosts() {
    insta::assert_snapshot!(story("late_step.log", "6f128a45d1a25f7b"));
}

/// Guards against an item that is explained without the job that it belongs to.
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

/// Guards against lines that are lost because a collector put a mark before them, or because a value has spaces.
#[gtest]
fn marked_and_quoted_lines_are_read() {
    let line = parse_line(
        r#"h1[12]: time=2026-01-01T00:00:00Z level=warn host=h1 event=job_refused job=j1 fault="a \"b\" = c" n=3"#,
    );
    let line = line.expect("it is an event");
    expect_that!(line.field("fault"), some(eq(r#"a "b" = c"#)));
    expect_that!(line.field("n"), some(eq("3")));
    expect_that!(parse_line("a panic message"), none());
}

/// Guards against a command that prints nothing and succeeds for an id that no log names.
#[gtest]
fn command_tells_when_nothing_is_known() {
    let run = |id: &str, form: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_camphorspring"));
        command.args(["explain", id, "tests/integration/explain/late_step.log"]).args(form);
        command.output().expect("the program runs")
    };
    expect_that!(run("nobody", &[]).status.success(), eq(false));
    let known = run("6f128a45d1a25f7b", &["--json"]);
    let lines: Vec<serde_json::Value> = serde_json::from_slice(&known.stdout).expect("it is JSON");
    expect_that!(lines.len(), gt(4));
}

/// Guards against a gap in a log that its story does not show: the line that counts it had a time of another form.
#[gtest]
fn lines_left_out_are_told() {
    let head = EventEncoder::new("h1").format_head(log::Level::Warn, "log_lines_left_out", OffsetDateTime::UNIX_EPOCH);
    let line = parse_line(&format!("{head} count=3")).expect("it is an event");
    expect_that!(line.event, eq("log_lines_left_out"));
    expect_that!(line.field("count"), some(eq("3")));
}
