//! FNV-1a, which stays the same between processes and releases.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of the parts in order, with a separator between them.
#[must_use]
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hash = OFFSET;
    for part in parts {
        hash = extend_hash(hash, part);
        hash = extend_hash(hash, &[0xff]);
    }
    // The low bits of FNV-1a mix poorly; they are used for choices below.
    hash ^ (hash >> 32)
}

/// Continues a hash that starts at [`start_hash`].
#[must_use]
pub fn extend_hash(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// Hash of no bytes.
#[must_use]
pub fn start_hash() -> u64 {
    OFFSET
}
