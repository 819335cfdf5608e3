//! Settings and services texts: every error is reported with its line, and valid texts are accepted.

use camphorspring::options::process_settings::parse_settings;
use camphorspring::options::services_text::{format_services, parse_services, parse_text_version};
use googletest::prelude::*;
use proptest::prelude::{prop_assert, proptest};

/// Guards against a check that stops at the first error, so that an operator needs one run for each error of a text.
#[googletest::test]
fn services_text_reports_all_errors() {
    let errors = parse_services(include_str!("settings/invalid/several_errors.yaml")).unwrap_err();
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(messages.join("\n"));
}

/// Guards against a check that refuses a valid text with every kind of entry.
#[googletest::test]
fn services_text_accepts_valid_file() {
    let services = parse_services(include_str!("settings/valid/two_domains.yaml")).unwrap();
    expect_that!(services.targets.len(), eq(3));
}

/// Guards against a check that never ends on a text whose nested aliases expand to billions of nodes. Such a text can
/// be sent to a host.
#[googletest::test]
fn aliases_are_expanded_within_bounds() {
    let level = |number: u32| match number {
        0 => "a0: &a0 [x, x, x, x, x, x, x, x]".to_owned(),
        number => format!("a{number}: &a{number} [{}]", vec![format!("*a{}", number - 1); 8].join(", ")),
    };
    let lines: Vec<String> = (0..=10).map(level).collect();
    let errors = parse_services(&lines.join("\n")).unwrap_err();
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(messages.join("\n"));
}

/// Guards against a duplicate key that replaces the first one silently. A text with a second, empty `services` was once
/// refused because it had no services.
#[googletest::test]
fn duplicate_keys_are_reported() {
    let valid = include_str!("settings/valid/two_domains.yaml");
    let errors = parse_services(&format!("{valid}services:\n")).unwrap_err();
    let nested = parse_settings("host: a\nhost: b\n").unwrap_err();
    let messages: Vec<String> = errors.iter().chain(&nested).map(ToString::to_string).collect();
    insta::assert_snapshot!(messages.join("\n"));
}

/// Guards against a text from `show` that `check` and `apply` refuse, or from which `apply` cannot read the version.
#[googletest::test]
fn formatted_services_can_be_parsed() {
    let services = parse_services(include_str!("settings/valid/two_domains.yaml")).unwrap();
    let text = format_services(&services, 17, &["keys: 3".to_owned()]).unwrap();
    expect_that!(parse_services(&text).unwrap(), eq(&services));
    expect_that!(parse_text_version(&text), some(eq(17)));
    expect_that!(parse_text_version("services: []\n# version: 4\n"), none());
}

/// Guards against a text that is refused because an editor put a byte order mark at its start.
#[googletest::test]
fn byte_order_mark_is_accepted() {
    let valid = include_str!("settings/valid/two_domains.yaml");
    expect_that!(parse_services(&format!("\u{feff}{valid}")).is_ok(), eq(true));
}

proptest! {
    /// Guards against a check that panics or never ends, on random texts.
    #[test]
    fn any_text_is_checked(text in "\\PC{0,200}") {
        let _ = parse_services(&text);
        let _ = parse_settings(&text);
    }

    /// Guards against a check that panics on a valid text with one line dropped, repeated, indented or cut in half.
    #[test]
    fn damaged_texts_are_checked(line in 0_usize..24, action in 0_u8..4, indent in 0_usize..8) {
        let valid = include_str!("settings/valid/two_domains.yaml");
        let mut lines: Vec<String> = valid.lines().map(str::to_owned).collect();
        let line = line % lines.len();
        match action {
            0 => { lines.remove(line); }
            1 => { let copy = lines[line].clone(); lines.insert(line, copy); }
            2 => lines[line].insert_str(0, &" ".repeat(indent)),
            _ => { let end = lines[line].chars().count() / 2; lines[line] = lines[line].chars().take(end).collect(); }
        }
        if let Err(errors) = parse_services(&lines.join("\n")) {
            prop_assert!(!errors.is_empty());
            prop_assert!(errors.iter().all(|error| error.line >= 1));
        }
    }
}
