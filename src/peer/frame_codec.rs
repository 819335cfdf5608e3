//! Encoding of frames, and creation and check of the hello, the first message that each side of a link sends.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::control::HostIdentity;
use crate::generated::peer_messages::{PeerFrame, PeerHello};
use crate::prelude::*;

/// Longest host or failure domain name in a hello; `schema/process_settings.json` has the same limit.
const MAX_NAME_BYTES: usize = 64;

/// Encodes a frame as CBOR.
///
/// # Errors
///
/// [`ResultCode::PeerFrame`] when the frame cannot be encoded or is longer than [`PEER_FRAME_LIMIT`].
pub fn encode_frame(frame: &PeerFrame) -> Result<Vec<u8>, ResultCode> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(frame, &mut bytes).map_err(|_| ResultCode::PeerFrame)?;
    if bytes.len() > PEER_FRAME_LIMIT { Err(ResultCode::PeerFrame) } else { Ok(bytes) }
}

/// Decodes one frame from CBOR.
///
/// # Errors
///
/// [`ResultCode::PeerFrame`] when there are more than [`PEER_FRAME_LIMIT`] bytes, the bytes are no valid frame, or
/// further bytes follow the frame.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame, ResultCode> {
    decode_value(bytes)
}

/// Encodes a hello as CBOR.
#[must_use]
pub fn encode_hello(hello: &PeerHello) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    let _ = ciborium::into_writer(hello, &mut bytes);
    bytes
}

/// Creates the hello of a host, with the proof that this host knows the cluster token.
#[must_use]
pub fn create_hello(identity: &HostIdentity, cluster_token: &str) -> PeerHello {
    PeerHello {
        protocol_version: PROTOCOL_VERSION,
        host: identity.host.clone(),
        failure_domain: identity.failure_domain.clone(),
        incarnation: identity.incarnation,
        token_proof: compute_token_proof(cluster_token, &identity.host, identity.incarnation),
    }
}

/// Decodes and checks a hello; returns the identity of the peer.
///
/// # Errors
///
/// - [`ResultCode::PeerFrame`]: the hello is malformed or too long, or a name in it has an invalid length.
/// - [`ResultCode::PeerVersion`]: the peer speaks another protocol version.
/// - [`ResultCode::PeerToken`]: the token proof is wrong.
pub fn check_hello(bytes: &[u8], cluster_token: &str) -> Result<HostIdentity, ResultCode> {
    let hello: PeerHello = decode_value(bytes)?;
    if hello.protocol_version != PROTOCOL_VERSION {
        return Err(ResultCode::PeerVersion);
    }
    let expected = compute_token_proof(cluster_token, &hello.host, hello.incarnation);
    if !bool::from(expected.as_bytes().ct_eq(hello.token_proof.as_bytes())) {
        return Err(ResultCode::PeerToken);
    }
    if !has_valid_length(&hello.host) || !has_valid_length(&hello.failure_domain) {
        return Err(ResultCode::PeerFrame);
    }
    Ok(HostIdentity { host: hello.host, failure_domain: hello.failure_domain, incarnation: hello.incarnation })
}

fn has_valid_length(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

/// Hash of the cluster token, the host and the incarnation. Each part is preceded by its length, so that different
/// parts cannot give the same hash input.
fn compute_token_proof(cluster_token: &str, host: &str, incarnation: Incarnation) -> String {
    let mut hasher = Sha256::new();
    for part in [cluster_token.as_bytes(), host.as_bytes(), &incarnation.to_be_bytes()] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    format_hex(&hasher.finalize())
}

/// Formats bytes as lower-case hexadecimal text.
#[must_use]
pub fn format_hex(bytes: &[u8]) -> String {
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
