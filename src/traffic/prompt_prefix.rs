//! Hashes of prompt prefixes, as engines name them in their cache events.
//!
//! An engine caches prompts in blocks of [`BLOCK_BYTES`]; the hash of a prefix is FNV-1a over all its blocks.

/// Bytes of prompt text in one block of an engine's cache.
pub const BLOCK_BYTES: usize = 64;

/// Blocks that are hashed at most; longer prompts differ before that, or are placed alike.
const BLOCK_LIMIT: usize = 4096;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of each prefix of a prompt that is a whole number of blocks long, shortest first.
#[must_use]
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hash = FNV_OFFSET;
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(BLOCK_LIMIT);
    let hashes = blocks.map(|block| {
        hash = block.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
        hash
    });
    hashes.collect()
}
