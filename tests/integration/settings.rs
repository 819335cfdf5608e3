//! Settings files: every error is reported with its line, and a valid file is read.

use camphorspring::options::services_text::parse_services;
use googletest::prelude::*;

/// Guards against a check that stops at the first error, which makes an operator fix a text one run at a time.
#[googletest::test]
fn services_text_reports_all_errors() {
    let errors = parse_services(include_str!("settings/invalid/several_errors.yaml")).unwrap_err();
    let shown: Vec<String> = errors.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(shown.join("\n"));
}

/// Guards against a check that refuses a text which uses every kind of entry.
#[googletest::test]
fn services_text_accepts_valid_file() {
    let services = parse_services(include_str!("settings/valid/two_domains.yaml")).unwrap();
    expect_that!(services.targets.len(), eq(3));
}
