//! Check of a caller's key against the present view.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::control::ControlView;
use crate::peer::frame_codec::to_hex;
use crate::prelude::*;

/// Prefix of every key.
pub const KEY_PREFIX: &str = "cs_";

/// Digest that no secret has, compared when the key id is unknown so that both cases take the same time.
const NO_DIGEST: &str = "----------------------------------------------------------------";

/// Who sent a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// Key id.
    pub key_id: KeyId,
    /// Organisation that holds it.
    pub organisation: OrganisationId,
}

/// Checks the value of an `Authorization` header.
///
/// # Errors
///
/// [`ResultCode::KeyMissing`], [`ResultCode::NotReady`], [`ResultCode::KeyUnknown`], [`ResultCode::KeyWithdrawn`] or
/// [`ResultCode::StaleView`].
pub fn check_key(view: &ControlView, now: BootTime, authorization: Option<&str>) -> Result<KeyHolder, ResultCode> {
    let key = authorization.and_then(bearer_of).ok_or(ResultCode::KeyMissing)?;
    if !view.is_initialised {
        return Err(ResultCode::NotReady);
    }
    let (key_id, secret) = split_key(key).ok_or(ResultCode::KeyUnknown)?;
    let record = view.configuration.key(key_id);
    let digest = record.map_or(NO_DIGEST, |record| record.secret_sha256.as_str());
    let is_proved = bool::from(hash_secret(secret).as_bytes().ct_eq(digest.as_bytes()));
    if record.is_some() && !is_proved {
        return Err(ResultCode::KeyUnknown);
    }
    if view.is_withdrawn(key_id) {
        return Err(ResultCode::KeyWithdrawn);
    }
    // A stale view may lack the grant as well as the withdrawal of a key.
    if !view.is_fresh(now) {
        return Err(ResultCode::StaleView);
    }
    let record = record.ok_or(ResultCode::KeyUnknown)?;
    Ok(KeyHolder { key_id: record.key_id.clone(), organisation: record.organisation.clone() })
}

fn bearer_of(authorization: &str) -> Option<&str> {
    let (scheme, key) = authorization.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Key id and secret of a key.
#[must_use]
pub fn split_key(key: &str) -> Option<(&str, &str)> {
    key.strip_prefix(KEY_PREFIX)?.split_once('_').filter(|(key_id, secret)| !key_id.is_empty() && !secret.is_empty())
}

/// SHA-256 of a secret in hexadecimal.
#[must_use]
pub fn hash_secret(secret: &str) -> String {
    to_hex(&Sha256::digest(secret.as_bytes()))
}
