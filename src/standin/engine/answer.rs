//! Deterministic generated text, by which a test can detect truncated answers
//! and answers that contain tokens of another answer.

use sha2::{Digest, Sha256};

/// Increment of the splitmix64 generator, whose outputs for an answer's seed give
/// the answer's tokens.
const INDEX_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Generated text for one prompt.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    seed: u64,
}

impl Answer {
    /// Returns the answer to a prompt; it depends only on the prompt.
    pub fn new(prompt: &str) -> Self {
        let digest = Sha256::digest(prompt.as_bytes());
        let mut head = [0; 8];
        head.copy_from_slice(&digest[..8]);
        Self {
            seed: u64::from_le_bytes(head),
        }
    }

    /// Returns the text of the token at an index, from 0.
    pub fn token(&self, index: u32) -> String {
        let mut mixed = self
            .seed
            .wrapping_add(INDEX_STEP.wrapping_mul(u64::from(index) + 1));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:03x} ", (mixed ^ (mixed >> 31)) & 0xfff)
    }

    /// Returns the text of the first `count` tokens.
    pub fn text(&self, count: u32) -> String {
        (0..count).map(|index| self.token(index)).collect()
    }
}

/// Returns the token that the stand-in engine generates for a prompt at an
/// index, from 0.
///
/// ```
/// use lavenderwind::standin::engine::expected_token;
///
/// assert_eq!(expected_token("hello", 1), expected_token("hello", 1));
/// assert_eq!(expected_token("hello", 1).len(), 4);
/// ```
pub fn expected_token(prompt: &str, index: u32) -> String {
    Answer::new(prompt).token(index)
}
