//! Digest of the list of targets, by which instances compare what they know.

use sha2::{Digest, Sha256};

use super::{Roster, Target};
use crate::target::protocol::EngineRole;

impl Roster {
    /// Returns a digest of the known targets, as read in the era `store_era` of the store.
    ///
    /// It contains all that decides which target is sent a request, except for values that
    /// change with each entry. A target whose entry is missing is left out, since it is only
    /// known until it expires. The digest is the same in all versions of this program.
    #[must_use]
    pub fn digest(&self, store_era: u64) -> u64 {
        let mut targets = Vec::with_capacity(self.targets.len());
        for target in self.targets.values() {
            if target.expires_at.is_none() {
                targets.push(target);
            }
        }
        targets.sort_unstable_by_key(|target| &target.id);
        let mut hasher = Sha256::new();
        hasher.update(store_era.to_be_bytes());
        for target in targets {
            add_target(&mut hasher, target);
        }
        let digest: [u8; 32] = hasher.finalize().into();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        u64::from_be_bytes(first)
    }
}

fn add_target(hasher: &mut Sha256, target: &Target) {
    let address = target.address.to_string();
    for text in [
        &*target.id,
        &*target.service,
        &*target.failure_domain,
        &*address,
    ] {
        hasher.update((text.len() as u64).to_be_bytes());
        hasher.update(text);
    }
    hasher.update(target.started_at_unix_ms.to_be_bytes());
    hasher.update(target.slots.to_be_bytes());
    let role = match target.role {
        None => 0,
        Some(EngineRole::Mixed) => 1,
        Some(EngineRole::Prefill) => 2,
        Some(EngineRole::Decode) => 3,
    };
    let flags = [
        role,
        u8::from(target.state.is_draining()),
        u8::from(target.reclaimable),
    ];
    hasher.update(flags);
}
