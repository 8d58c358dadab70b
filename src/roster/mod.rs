//! The targets that are known to run, by service.

use std::{net::SocketAddr, sync::Arc};

use derive_more::IsVariant;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::target::protocol::EngineRole;

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub enum TargetState {
    /// Takes requests.
    Ready,
    /// Is about to leave.
    Draining,
}

/// One start of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Identifier, unique among the targets of its time.
    pub id: Arc<str>,
    /// When it was started, in milliseconds of Unix time; tells two starts
    /// under one identifier apart.
    pub started_ms: u64,
    /// Service that it runs.
    pub service: Arc<str>,
    /// Address; may later be that of another target.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: TargetState,
    /// Until when it is slow after its start.
    pub cold_until: Option<Instant>,
    /// Role of its engine, if it serves models.
    pub role: Option<EngineRole>,
    /// Whether the platform may reclaim it at short notice.
    pub reclaimable: bool,
    /// Number of orders that it has accepted.
    pub orders: u64,
    /// When this start of it was first seen.
    pub first_seen_at: Instant,
    /// When it expires unless it registers again: its entry lapsed
    /// while the store may have been out.
    pub expires_at: Option<Instant>,
}

impl Target {
    /// Returns whether it takes requests at a moment.
    #[must_use]
    pub fn takes_requests(&self, now: Instant) -> bool {
        self.state.is_ready() && self.expires_at.is_none_or(|expires_at| now < expires_at)
    }

    /// Returns whether both are the same start of the same target.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.id == other.id && self.started_ms == other.started_ms && self.address == other.address
    }
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    targets: IndexMap<Arc<str>, Arc<Target>>,
}

impl Roster {
    /// Adds a target or replaces what was known of it.
    pub fn insert(&mut self, mut target: Target) {
        if let Some(known) = self.targets.get(&target.id)
            && known.is_same_start(&target)
        {
            target.first_seen_at = known.first_seen_at;
        }
        self.targets.insert(target.id.clone(), Arc::new(target));
    }

    /// Removes a target; returns it if it was known.
    pub fn remove(&mut self, id: &str) -> Option<Arc<Target>> {
        self.targets.swap_remove(id)
    }

    /// Returns a target.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.targets.get(id)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values()
    }

    /// Lets a target expire at a moment, unless it is inserted anew;
    /// returns whether it was known.
    pub fn expire_at(&mut self, id: &str, expires_at: Instant) -> bool {
        let Some(target) = self.targets.get_mut(id) else {
            return false;
        };
        if target.expires_at.is_none() {
            Arc::make_mut(target).expires_at = Some(expires_at);
        }
        true
    }

    /// Removes the targets that have expired by a moment, and returns them.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Arc<Target>> {
        let mut expired = Vec::new();
        self.targets.retain(|_, target| {
            let stays = target.expires_at.is_none_or(|expires_at| now < expires_at);
            if !stays {
                expired.push(target.clone());
            }
            stays
        });
        expired
    }

    /// Returns the targets of a service that take requests at a moment.
    pub fn ready<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a Arc<Target>> {
        self.targets
            .values()
            .filter(move |target| *target.service == *service && target.takes_requests(now))
    }

    /// Returns whether the same start of a target still takes requests.
    #[must_use]
    pub fn is_ready(&self, target: &Target, now: Instant) -> bool {
        self.targets
            .get(&target.id)
            .is_some_and(|known| known.is_same_start(target) && known.takes_requests(now))
    }
}
