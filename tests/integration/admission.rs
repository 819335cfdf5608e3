//! Refusals of requests that the configuration of a host does not admit.

use camphorspring::entry::request_entry::confirmed_code;
use camphorspring::result_code::ResultCode;
use googletest::prelude::*;

use crate::fleet::builders::{at, view};

/// Guards against a host that is cut off from the store and says that a route or key does not exist, although a
/// configuration that it has not read may have it.
#[gtest]
fn absence_in_an_old_configuration_is_not_confirmed() {
    let view = view(Vec::new(), &["h1"], at(10_000));
    let codes = [ResultCode::NotFound, ResultCode::KeyUnknown, ResultCode::KeyMissing, ResultCode::TooLarge];
    let confirmed = |now: u64| codes.map(|code| confirmed_code(&view, code, at(now)));
    expect_that!(confirmed(11_500), eq(codes));
    expect_that!(confirmed(12_500), eq([ResultCode::StaleView, ResultCode::StaleView, codes[2], codes[3]]));
}
