//! Ranks the instances for a duty, a task that one instance performs at a time, by
//! rendezvous hashing.

use sha2::{Digest, Sha256};

use super::Identity;
use crate::log::records::Duty;

/// An instance that is a candidate for a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name and incarnation.
    pub identity: Identity,
    /// Whether the instance is shutting down.
    pub leaving: bool,
}

/// Returns the rank of the instance `name` for a duty. Rank 0 is the most preferred.
///
/// Members that are shutting down are not ranked. `lapsed_holder`, the holder whose
/// lease may have lapsed, is not ranked either.
pub fn rank(duty: Duty, name: &str, members: &[Member], lapsed_holder: Option<&str>) -> u64 {
    let own_weight = rendezvous_weight(duty, name);
    let mut rank = 0;
    for member in members {
        let other = &*member.identity.name;
        if member.leaving || other == name || lapsed_holder == Some(other) {
            continue;
        }
        if rendezvous_weight(duty, other) > own_weight {
            rank += 1;
        }
    }
    rank
}

/// Rendezvous weight of an instance for a duty. A full SHA-256 digest makes
/// equal weights practically impossible.
fn rendezvous_weight(duty: Duty, name: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(i32::from(duty).to_be_bytes());
    hasher.update(name.as_bytes());
    hasher.finalize().into()
}
