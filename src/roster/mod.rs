//! Known targets of all services. A target is a process, such as a language-model
//! engine, that answers requests for one service.

mod digest;

use std::{net::SocketAddr, sync::Arc};

use derive_more::IsVariant;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::target::protocol::EngineRole;

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub enum TargetState {
    /// Accepts new requests.
    Ready,
    /// Is about to stop and accepts no new requests.
    Draining,
}

/// A target, as registered at one boot (start of its process).
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Identifier, unique among the targets that run at the same time.
    pub id: Arc<str>,
    /// Unix time of the boot, in milliseconds. Distinguishes two boots with the same
    /// identifier.
    pub started_at_unix_ms: u64,
    /// Service that the target runs.
    pub service: Arc<str>,
    /// Address for requests; may later be reused by another target.
    pub address: SocketAddr,
    /// Failure domain in which the target runs.
    pub failure_domain: Arc<str>,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// State from the target's entry in the platform's list of targets.
    pub state: TargetState,
    /// Time until which the target is slow because it has just started.
    pub cold_until: Option<Instant>,
    /// Role of the engine, if the target serves models.
    pub role: Option<EngineRole>,
    /// Whether the platform may reclaim the target at short notice.
    pub reclaimable: bool,
    /// Number of orders that the target has accepted.
    pub orders: u64,
    /// Time at which this instance first saw this boot of the target.
    pub first_seen_at: Instant,
    /// Time at which the target expires unless it registers again. Set if the
    /// target's entry in the platform's store disappeared while the store may have
    /// been unavailable.
    pub expires_at: Option<Instant>,
}

impl Target {
    /// Returns whether the target accepts new requests at `now`: it is ready
    /// and has not expired.
    #[must_use]
    pub fn takes_requests(&self, now: Instant) -> bool {
        self.state.is_ready() && self.expires_at.is_none_or(|expires_at| now < expires_at)
    }

    /// Returns whether both values describe the same boot of the same target.
    #[must_use]
    pub fn is_same_boot(&self, other: &Self) -> bool {
        self.id == other.id
            && self.started_at_unix_ms == other.started_at_unix_ms
            && self.address == other.address
    }
}

/// Known targets, by identifier.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    targets: IndexMap<Arc<str>, Arc<Target>>,
}

impl Roster {
    /// Inserts or replaces a target. `first_seen_at` is kept if the known target is
    /// from the same boot.
    pub fn insert(&mut self, mut target: Target) {
        if let Some(known) = self.targets.get(&target.id)
            && known.is_same_boot(&target)
        {
            target.first_seen_at = known.first_seen_at;
        }
        self.targets.insert(target.id.clone(), Arc::new(target));
    }

    /// Removes and returns a target, if it is known.
    pub fn remove(&mut self, id: &str) -> Option<Arc<Target>> {
        self.targets.swap_remove(id)
    }

    /// Returns the target with an identifier, if it is known.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.targets.get(id)
    }

    /// Returns all known targets, including draining ones.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values()
    }

    /// Makes a target expire at `expires_at` unless the target is inserted again
    /// before then. An expiry time that is already set is kept. Returns whether the
    /// target is known.
    pub fn expire_at(&mut self, id: &str, expires_at: Instant) -> bool {
        let Some(target) = self.targets.get_mut(id) else {
            return false;
        };
        if target.expires_at.is_none() {
            Arc::make_mut(target).expires_at = Some(expires_at);
        }
        true
    }

    /// Removes and returns the targets that have expired at `now`.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Arc<Target>> {
        let mut expired = Vec::new();
        self.targets.retain(|_, target| {
            let is_kept = target.expires_at.is_none_or(|expires_at| now < expires_at);
            if !is_kept {
                expired.push(target.clone());
            }
            is_kept
        });
        expired
    }

    /// Returns the targets of a service that accept new requests at `now`.
    pub fn ready<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a Arc<Target>> {
        self.targets
            .values()
            .filter(move |target| *target.service == *service && target.takes_requests(now))
    }

    /// Returns whether the boot described by `target` still runs and accepts new
    /// requests at `now`.
    #[must_use]
    pub fn is_ready(&self, target: &Target, now: Instant) -> bool {
        self.targets
            .get(&target.id)
            .is_some_and(|known| known.is_same_boot(target) && known.takes_requests(now))
    }
}
