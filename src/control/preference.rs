//! Order in which instances should hold a duty, by rendezvous hash.

use sha2::{Digest, Sha256};

use super::Identity;
use crate::log::records::Duty;

/// An instance that may hold a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Who it is.
    pub identity: Identity,
    /// Whether it is being stopped.
    pub leaving: bool,
}

/// Returns an instance's place in the order of preference for a duty, from 0.
///
/// Leaving members are passed over, and so is `lapsed`, the holder whose lease
/// has lapsed.
pub fn rank(duty: Duty, name: &str, members: &[Member], lapsed: Option<&str>) -> u64 {
    let own = score(duty, name);
    let mut rank = 0;
    for member in members {
        let other = &*member.identity.name;
        if member.leaving || other == name || lapsed == Some(other) {
            continue;
        }
        if score(duty, other) > own {
            rank += 1;
        }
    }
    rank
}

/// Weight of an instance for a duty; the digest spreads ties apart.
fn score(duty: Duty, name: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(i32::from(duty).to_be_bytes());
    hasher.update(name.as_bytes());
    hasher.finalize().into()
}
