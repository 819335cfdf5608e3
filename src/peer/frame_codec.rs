//! Encoding of frames and the check of a hello.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::control::HostIdentity;
use crate::generated::peer_messages::{PeerFrame, PeerHello};
use crate::prelude::*;

/// Longest host or failure domain name that a hello may carry, as in the settings schema.
const NAME_LIMIT: usize = 64;

/// Encodes a frame.
///
/// # Errors
///
/// [`ResultCode::PeerFrame`] when the frame exceeds [`PEER_FRAME_LIMIT`].
pub fn encode_frame(frame: &PeerFrame) -> Result<Vec<u8>, ResultCode> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(frame, &mut bytes).map_err(|_| ResultCode::PeerFrame)?;
    if bytes.len() > PEER_FRAME_LIMIT { Err(ResultCode::PeerFrame) } else { Ok(bytes) }
}

/// Decodes a frame.
///
/// # Errors
///
/// [`ResultCode::PeerFrame`] when the bytes are too many, are not one frame, or go on after it.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame, ResultCode> {
    decode_value(bytes)
}

/// Encodes a hello.
#[must_use]
pub fn encode_hello(hello: &PeerHello) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    let _ = ciborium::into_writer(hello, &mut bytes);
    bytes
}

/// Hello of a host.
#[must_use]
pub fn create_hello(origin: &HostIdentity, cluster_token: &str) -> PeerHello {
    PeerHello {
        protocol_version: PROTOCOL_VERSION,
        host: origin.host.clone(),
        failure_domain: origin.failure_domain.clone(),
        incarnation: origin.incarnation,
        token_proof: prove_token(cluster_token, &origin.host, origin.incarnation),
    }
}

/// Decodes and checks a hello.
///
/// # Errors
///
/// The code that the link is closed with: [`ResultCode::PeerFrame`], [`ResultCode::PeerVersion`] or
/// [`ResultCode::PeerToken`].
pub fn check_hello(bytes: &[u8], cluster_token: &str) -> Result<HostIdentity, ResultCode> {
    let hello: PeerHello = decode_value(bytes)?;
    if hello.protocol_version != PROTOCOL_VERSION {
        return Err(ResultCode::PeerVersion);
    }
    let expected = prove_token(cluster_token, &hello.host, hello.incarnation);
    if !bool::from(expected.as_bytes().ct_eq(hello.token_proof.as_bytes())) {
        return Err(ResultCode::PeerToken);
    }
    if !is_name(&hello.host) || !is_name(&hello.failure_domain) {
        return Err(ResultCode::PeerFrame);
    }
    Ok(HostIdentity { host: hello.host, failure_domain: hello.failure_domain, incarnation: hello.incarnation })
}

fn is_name(name: &str) -> bool {
    (1..=NAME_LIMIT).contains(&name.len())
}

/// The length of each part is hashed with it, so that no two different triples have the same input.
fn prove_token(cluster_token: &str, host: &str, incarnation: Incarnation) -> String {
    let mut hasher = Sha256::new();
    for part in [cluster_token.as_bytes(), host.as_bytes(), &incarnation.to_be_bytes()] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    to_hex(&hasher.finalize())
}

/// Lower-case hexadecimal text of some bytes.
#[must_use]
pub fn to_hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn decode_value<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, ResultCode> {
    if bytes.len() > PEER_FRAME_LIMIT {
        return Err(ResultCode::PeerFrame);
    }
    let mut rest = bytes;
    let value = ciborium::from_reader(&mut rest).map_err(|_| ResultCode::PeerFrame)?;
    if rest.is_empty() { Ok(value) } else { Err(ResultCode::PeerFrame) }
}
