//! Estimated token counts, and hashes of a prompt's blocks.

use sha2::{Digest, Sha256};

use super::protocol::BLOCK_TOKENS;

/// Number of bytes of text that are assumed to form one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Estimates the number of tokens in a text from the length of the text, rounded
/// up.
pub fn estimate_tokens(text: &str) -> u32 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u32
}

/// Returns one hash for each full block of [`BLOCK_TOKENS`] estimated tokens of a
/// prompt. Each hash also covers all preceding blocks, so that equal hashes identify
/// equal prefixes.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let block_bytes = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
    let mut hashes = Vec::with_capacity(prompt.len() / block_bytes);
    let mut previous = 0_u64;
    for block in prompt.as_bytes().chunks_exact(block_bytes) {
        previous = chain_hash(previous, block);
        hashes.push(previous);
    }
    hashes
}

/// Hashes a block together with the hash of the preceding blocks.
fn chain_hash(previous: u64, block: &[u8]) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(previous.to_le_bytes());
    hasher.update(block);
    let digest = hasher.finalize();
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first_bytes)
}
