//! Command line: exit statuses, JSON output, and `docs/result-codes.md`.

use std::process::{Command, Output};

use camphorspring::result_code::ALL_CODES;
use googletest::prelude::*;

fn run_command(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphorspring"));
    command.env_remove("CAMPHORSPRING_HOST").env_remove("CAMPHORSPRING_TOKEN");
    command.args(arguments).output().unwrap()
}

/// Guards against commands whose exit status does not tell a script which failure occurred.
#[googletest::test]
fn commands_exit_with_status_of_their_code() {
    let valid = "tests/integration/settings/valid/two_domains.yaml";
    let invalid = "tests/integration/settings/invalid/several_errors.yaml";
    let cases: [(&str, &[&str]); 7] = [
        ("valid text", &["check", valid]),
        ("invalid text", &["check", invalid]),
        ("missing file", &["check", "no-such-file.yaml"]),
        ("invalid text is not sent", &["apply", invalid, "--host", "http://127.0.0.1:1", "--token", "t"]),
        ("no host given", &["hosts"]),
        ("host does not answer", &["hosts", "--host", "http://127.0.0.1:1", "--token", "t"]),
        ("unknown command", &["no-such-command"]),
    ];
    let lines: Vec<String> = cases
        .iter()
        .map(|(name, arguments)| format!("{name}: {}", run_command(arguments).status.code().unwrap()))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against output of `--json` that a program cannot parse.
#[googletest::test]
fn json_output_is_json() {
    let output = run_command(&["codes", "--json"]);
    let codes: Vec<serde_json::Value> = serde_json::from_slice(&output.stdout).unwrap();
    expect_that!(codes.len(), eq(ALL_CODES.len()));
}

/// Guards against a code that `docs/result-codes.md` lacks, or lists with other properties.
#[googletest::test]
fn result_code_page_lists_every_code() {
    let page = include_str!("../../docs/result-codes.md");
    for code in ALL_CODES {
        let entry = code.entry();
        let row = format!(
            "| {} | `{}` | {} | {} | {} | {} |",
            entry.number,
            entry.name,
            entry.status,
            entry.exit,
            entry.ran.name(),
            entry.message
        );
        expect_that!(page.contains(&row), eq(true), "{row}");
    }
}

/// Guards against codes that are not in the order of their numbers, which the search by number depends on, and against
/// two codes with one number.
#[googletest::test]
fn codes_are_sorted_and_unique() {
    let numbers: Vec<u16> = ALL_CODES.iter().map(|code| code.number()).collect();
    let mut sorted = numbers.clone();
    sorted.sort_unstable();
    sorted.dedup();
    expect_that!(numbers, eq(&sorted));
}
