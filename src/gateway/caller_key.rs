//! Authentication of the caller by the key in the `authorization` header.

use crate::control::ControlView;
use crate::control::authentication::check_key;
use crate::http_server::HttpRequest;
use crate::prelude::*;

/// An authenticated caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Id of the key that was sent; it has no secret part.
    pub key_id: KeyId,
    /// Organisation that the key was granted to.
    pub organisation: OrganisationId,
}

/// Authenticates the caller of a request by its key.
///
/// # Errors
///
/// [`ResultCode::BadRequest`] when the key is also elsewhere in the request (see [`check_leaks`]), or an error of
/// [`check_key`]: the key is missing, unknown or withdrawn, or the view lacks the configuration or is too old.
pub fn authenticate(view: &ControlView, now: BootTime, request: &HttpRequest) -> Result<Caller, ResultCode> {
    if let Some(key) = bearer_key(request) {
        check_leaks(request, key)?;
    }
    let holder = check_key(view, now, request.header("authorization"))?;
    Ok(Caller { key_id: holder.key_id, organisation: holder.organisation })
}

/// Authenticates the caller of work that was admitted before, such as the delivery of finished samples. The age of the
/// view is not limited.
///
/// # Errors
///
/// As [`authenticate`]; [`ResultCode::StaleView`] only when the age of the view is not known at all.
pub fn authenticate_admitted(view: &ControlView, request: &HttpRequest) -> Result<Caller, ResultCode> {
    // Ages are never below zero, so at time zero a view of known age has age zero.
    authenticate(view, BootTime::ZERO, request)
}

/// Key in an `authorization` header of the scheme `Bearer`; `None` without such a header or with an empty key.
#[must_use]
pub fn bearer_key(request: &HttpRequest) -> Option<&str> {
    let (scheme, key) = request.header("authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim()).filter(|key| !key.is_empty())
}

/// Refuses a request that has its key also in the path, query or body, since these can reach a target.
///
/// # Errors
///
/// [`ResultCode::BadRequest`] when the body, the path or the query contains the key, the latter two also
/// percent-encoded.
pub fn check_leaks(request: &HttpRequest, key: &str) -> Result<(), ResultCode> {
    let in_body = request.body.windows(key.len()).any(|window| window == key.as_bytes());
    let in_head = [&request.path, &request.query].iter().any(|text| {
        let decoded = crate::store_client::decode_key(text);
        text.contains(key) || decoded.contains(key)
    });
    if in_body || in_head { Err(ResultCode::BadRequest) } else { Ok(()) }
}
