//! Checks the key of a request against the control view of this host.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::control::ControlView;
use crate::peer::frame_codec::format_hex;
use crate::prelude::*;

/// Start of every key; the key id, `_` and the secret follow.
pub const KEY_PREFIX: &str = "cs_";

/// Compared in place of a digest when the key id is unknown, so that the check takes as long as for a known key id. The
/// value has the length of a digest, and no digest equals it, since it has no hexadecimal digits.
const UNMATCHABLE_DIGEST: &str = "----------------------------------------------------------------";

/// Sender of a request, as identified by the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// Public part of the key, which logs may show.
    pub key_id: KeyId,
    /// Organisation that the key was granted to.
    pub organisation: OrganisationId,
}

/// Checks the value of an `Authorization` header; `None` stands for a request without one.
///
/// # Errors
///
/// - [`ResultCode::KeyMissing`]: no header, or not a bearer token.
/// - [`ResultCode::NotReady`]: this host has not learned the whole configuration yet.
/// - [`ResultCode::KeyUnknown`]: the key is malformed, was never granted, or its secret is wrong.
/// - [`ResultCode::KeyWithdrawn`]: the key was withdrawn; this is also returned on a stale view.
/// - [`ResultCode::StaleView`]: the view is older than [`VIEW_AGE_LIMIT`].
pub fn check_key(view: &ControlView, now: BootTime, authorization: Option<&str>) -> Result<KeyHolder, ResultCode> {
    let key = authorization.and_then(parse_bearer).ok_or(ResultCode::KeyMissing)?;
    if !view.is_initialised {
        return Err(ResultCode::NotReady);
    }
    let (key_id, secret) = split_key(key).ok_or(ResultCode::KeyUnknown)?;
    let record = view.configuration.key(key_id);
    let digest = record.map_or(UNMATCHABLE_DIGEST, |record| record.secret_sha256.as_str());
    let is_secret_valid = bool::from(hash_secret(secret).as_bytes().ct_eq(digest.as_bytes()));
    if record.is_some() && !is_secret_valid {
        return Err(ResultCode::KeyUnknown);
    }
    if view.is_withdrawn(key_id) {
        return Err(ResultCode::KeyWithdrawn);
    }
    // A stale view may lack the grant of an unknown key, or the withdrawal of a known one.
    if !view.is_fresh(now) {
        return Err(ResultCode::StaleView);
    }
    let record = record.ok_or(ResultCode::KeyUnknown)?;
    Ok(KeyHolder { key_id: record.key_id.clone(), organisation: record.organisation.clone() })
}

fn parse_bearer(authorization: &str) -> Option<&str> {
    let (scheme, key) = authorization.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Splits a key into key id and secret; `None` when it is malformed or either part is empty.
#[must_use]
pub fn split_key(key: &str) -> Option<(&str, &str)> {
    key.strip_prefix(KEY_PREFIX)?.split_once('_').filter(|(key_id, secret)| !key_id.is_empty() && !secret.is_empty())
}

/// SHA-256 of a secret, in lower-case hexadecimal.
#[must_use]
pub fn hash_secret(secret: &str) -> String {
    format_hex(&Sha256::digest(secret.as_bytes()))
}
