//! Deterministic text and length of completions; the same on every engine.

use crate::hash::hash_parts;

const WORDS: [&str; 32] = [
    "acid", "aerate", "autumn", "bark", "bed", "carbon", "chip", "compost", "damp", "dry", "earth", "fallow", "fungus",
    "garden", "heap", "humus", "leaf", "loam", "mould", "mulch", "nitrogen", "oak", "peat", "pile", "rake", "root",
    "sieve", "soil", "steam", "turn", "warm", "worm",
];

/// Bytes of text that count as one token; a shorter rest counts as a whole one.
const TOKEN_BYTES: usize = 4;

/// Number of tokens of a prompt or of resumed text.
#[must_use]
pub fn prompt_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// Text of the token at `index` of a completion: a space and a word.
#[must_use]
pub fn token_text(prompt: &str, seed: u64, index: u32) -> String {
    word_at(hash_completion(prompt, seed), index)
}

/// Text of the tokens at the indices `first..end` of a completion.
#[must_use]
pub fn completion_text(prompt: &str, seed: u64, first: u32, end: u32) -> String {
    let hash = hash_completion(prompt, seed);
    (first..end).map(|index| word_at(hash, index)).collect()
}

pub(super) fn hash_completion(prompt: &str, seed: u64) -> u64 {
    hash_parts(&[prompt.as_bytes(), &seed.to_le_bytes()])
}

pub(super) fn word_at(completion_hash: u64, index: u32) -> String {
    let hash = hash_parts(&[&completion_hash.to_le_bytes(), &index.to_le_bytes()]);
    let position = usize::try_from(hash % WORDS.len() as u64).unwrap_or_default();
    format!(" {}", WORDS[position])
}

/// Length in tokens of a completion that may end early: one in sixteen has the full length, the others an eighth to a
/// half of it.
pub(super) fn completion_length(completion_hash: u64, max_tokens: u32) -> u32 {
    const SIXTEENTHS: u64 = 16;
    let choice = u32::try_from(completion_hash % SIXTEENTHS).unwrap_or_default();
    if choice == 0 {
        return max_tokens;
    }
    // 2 to 8 sixteenths of the full length.
    let sixteenths = 2 + choice % 7;
    (max_tokens.saturating_mul(sixteenths) / 16).max(1)
}
