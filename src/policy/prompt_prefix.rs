//! Hashes that identify a prompt's prefixes, equal to those in the cache events of the engines.

/// Bytes of prompt text in one block of an engine's prefix cache.
pub const BLOCK_BYTES: usize = 64;

/// FNV-1a hashes of all prefixes that consist of whole blocks, shortest prefix first. Each hash covers the prompt from
/// its start; bytes after the last whole block are left out.
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
