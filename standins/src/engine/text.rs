//! Deterministic text of completions.

use crate::hash::hash_parts;

const WORDS: [&str; 32] = [
    "acid", "aerate", "autumn", "bark", "bed", "carbon", "chip", "compost", "damp", "dry", "earth", "fallow", "fungus",
    "garden", "heap", "humus", "leaf", "loam", "mould", "mulch", "nitrogen", "oak", "peat", "pile", "rake", "root",
    "sieve", "soil", "steam", "turn", "warm", "worm",
];

/// Bytes of prompt text that count as one token.
const TOKEN_BYTES: usize = 4;

/// Number of tokens of a prompt.
#[must_use]
pub fn prompt_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// Text of one token of a completion.
#[must_use]
pub fn token_text(prompt: &str, seed: u64, index: u32) -> String {
    word_at(completion_hash(prompt, seed), index)
}

/// Text of the tokens `first..end` of a completion.
#[must_use]
pub fn completion_text(prompt: &str, seed: u64, first: u32, end: u32) -> String {
    let hash = completion_hash(prompt, seed);
    (first..end).map(|index| word_at(hash, index)).collect()
}

pub(super) fn completion_hash(prompt: &str, seed: u64) -> u64 {
    hash_parts(&[prompt.as_bytes(), &seed.to_le_bytes()])
}

pub(super) fn word_at(completion_hash: u64, index: u32) -> String {
    let hash = hash_parts(&[&completion_hash.to_le_bytes(), &index.to_le_bytes()]);
    let position = usize::try_from(hash % WORDS.len() as u64).unwrap_or_default();
    format!(" {}", WORDS[position])
}

/// Length of a completion that ends early: most are short, one in sixteen has the full length.
pub(super) fn natural_length(completion_hash: u64, max_tokens: u32) -> u32 {
    const SIXTEENTHS: u64 = 16;
    let choice = u32::try_from(completion_hash % SIXTEENTHS).unwrap_or_default();
    if choice == 0 {
        return max_tokens;
    }
    // 2/16 to 8/16 of the full length.
    let sixteenths = 2 + choice % 7;
    (max_tokens.saturating_mul(sixteenths) / 16).max(1)
}
