//! Hashes that are equal on all hosts, and the ranking of hosts by them.

use sha2::{Digest, Sha256};

/// First 64 bits of SHA-256 over the parts, with the length of each part before it.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(prefix)
}

/// Hash of a list of names and their incarnations, if any. Never 0, because the schema of `GossipRequest` reserves the
/// roster hash 0 for a request without members.
#[must_use]
pub fn list_hash<'a>(names: impl Iterator<Item = &'a str>, incarnations: &[u64]) -> u32 {
    let mut parts: Vec<Vec<u8>> = names.map(|name| name.as_bytes().to_vec()).collect();
    parts.extend(incarnations.iter().map(|incarnation| incarnation.to_be_bytes().to_vec()));
    let parts: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
    let hash = stable_hash(&parts);
    u32::try_from(hash >> 32).unwrap_or_default().max(1)
}

/// Ranks the candidates by descending rendezvous weight for `purpose`. Every host with the same candidates gets the
/// same order, and the removal of a candidate does not change the order of the others.
#[must_use]
pub fn rank_hosts<'a>(purpose: &str, candidates: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> =
        candidates.map(|candidate| (stable_hash(&[purpose.as_bytes(), candidate.as_bytes()]), candidate)).collect();
    ranked.sort_unstable();
    ranked.into_iter().rev().map(|(_, candidate)| candidate).collect()
}
