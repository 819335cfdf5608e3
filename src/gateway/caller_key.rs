//! The caller of a request, by the key that it sent.

use crate::control::ControlView;
use crate::control::authentication::check_key;
use crate::http_server::HttpRequest;
use crate::prelude::*;

/// An authenticated caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Key that was sent.
    pub key_id: KeyId,
    /// Organisation that holds it.
    pub organisation: OrganisationId,
}

/// Identifies the caller of a keyed request.
///
/// # Errors
///
/// No key, one that is not in force, or a view that is too old to tell.
pub fn authenticate(view: &ControlView, now: BootTime, request: &HttpRequest) -> Result<Caller, ResultCode> {
    if let Some(key) = bearer_key(request) {
        check_leaks(request, key)?;
    }
    let holder = check_key(view, now, request.header("authorization"))?;
    Ok(Caller { key_id: holder.key_id, organisation: holder.organisation })
}

/// Identifies the caller of work that was admitted before, such as the delivery of finished samples, for which the
/// age of the view does not matter.
///
/// # Errors
///
/// No key, or one that is not in force as far as this host knows.
pub fn authenticate_admitted(view: &ControlView, request: &HttpRequest) -> Result<Caller, ResultCode> {
    // At the start of the clock nothing has an age.
    authenticate(view, BootTime::ZERO, request)
}

/// Key in the `authorization` header.
#[must_use]
pub fn bearer_key(request: &HttpRequest) -> Option<&str> {
    let (scheme, key) = request.header("authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim()).filter(|key| !key.is_empty())
}

/// Refuses a request that carries its key in the path, query or body as well, since those reach the target.
///
/// # Errors
///
/// The key is there.
pub fn check_leaks(request: &HttpRequest, key: &str) -> Result<(), ResultCode> {
    let in_body = request.body.windows(key.len()).any(|window| window == key.as_bytes());
    let in_head = [&request.path, &request.query].iter().any(|text| {
        let decoded = crate::store_client::decode_key(text);
        text.contains(key) || decoded.contains(key)
    });
    if in_body || in_head { Err(ResultCode::BadRequest) } else { Ok(()) }
}
