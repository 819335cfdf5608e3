//! FNV-1a hash. Unlike the standard library's default hash, it is the same in all processes and releases, which makes
//! texts and scores reproducible.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of the parts in order, each followed by a separator byte, so that the split into parts matters.
#[must_use]
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for part in parts {
        hash = extend_hash(hash, part);
        hash = extend_hash(hash, &[0xff]);
    }
    // Callers take the hash modulo small numbers, and the low bits of FNV-1a are poorly mixed.
    hash ^ (hash >> 32)
}

/// Hash of the bytes hashed so far followed by `bytes`; a chain of calls starts with [`empty_hash`].
#[must_use]
pub fn extend_hash(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Hash of an empty input, from which [`extend_hash`] continues.
#[must_use]
pub fn empty_hash() -> u64 {
    FNV_OFFSET_BASIS
}
