//! The caller of a request, by the key that it sent.

use crate::control::ControlView;
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
    let key = bearer_key(request).ok_or(ResultCode::KeyMissing)?;
    check_leaks(request, key)?;
    let (key_id, organisation) = check_key(view, now, key)?;
    Ok(Caller { key_id, organisation })
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
        let decoded = crate::platform::decode_key(text);
        text.contains(key) || decoded.contains(key)
    });
    if in_body || in_head { Err(ResultCode::BadRequest) } else { Ok(()) }
}

fn check_key(view: &ControlView, now: BootTime, key: &str) -> Result<(KeyId, OrganisationId), ResultCode> {
    use sha2::{Digest, Sha256};
    use std::fmt::Write as _;
    use subtle::ConstantTimeEq;
    let rest = key.strip_prefix("cs_").ok_or(ResultCode::KeyUnknown)?;
    let (key_id, secret) = rest.split_once('_').ok_or(ResultCode::KeyUnknown)?;
    if !view.is_fresh(now) {
        return Err(ResultCode::StaleView);
    }
    let record = view.configuration.key(key_id).ok_or(ResultCode::KeyUnknown)?;
    let mut digest = String::with_capacity(64);
    for byte in Sha256::digest(secret.as_bytes()) {
        let _ = write!(digest, "{byte:02x}");
    }
    if !bool::from(digest.as_bytes().ct_eq(record.secret_sha256.as_bytes())) {
        return Err(ResultCode::KeyUnknown);
    }
    if view.is_withdrawn(key_id) {
        return Err(ResultCode::KeyWithdrawn);
    }
    Ok((record.key_id.clone(), record.organisation.clone()))
}
