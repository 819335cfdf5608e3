//! Hashes of a prompt's prefixes, as engines name them in cache events.

/// Bytes of prompt text in one block of an engine's cache.
pub const BLOCK_BYTES: usize = 64;

/// Hash of each prefix that is a whole number of blocks long, shortest first: FNV-1a over the bytes.
#[must_use]
pub fn prompt_prefixes(prompt: &str) -> Vec<u64> {
    const OFFSET: u64 = 0xCBF2_9CE4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01B3;
    let mut hash = OFFSET;
    let mut hashes = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
    for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
        hash = block.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME));
        hashes.push(hash);
    }
    hashes
}
