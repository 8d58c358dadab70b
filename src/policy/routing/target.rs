//! A target as the router sees it.

use std::sync::Arc;

use derive_more::From;

use super::{RouteRequest, RouteSettings, partition::PartitionRole};
use crate::{
    policy::{decode::DecodeProfile, load::TargetLoad},
    target::protocol::{EngineRole, LoadedModel},
};

/// Share of its room that a returning target offers at once.
const RAMP_START: f64 = 0.1;
/// Requests of this instance that a returning plain target gets at the end of
/// its ramp.
const MAX_RAMP_PLAIN_REQUESTS: u32 = 32;

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Availability {
    /// Takes new work.
    #[default]
    Live,
    /// Is being started.
    Starting,
    /// Is being drained or reclaimed.
    Leaving,
    /// May have failed.
    Suspect,
    /// Changes its role or loads weights.
    Changing,
}

/// What a target runs.
#[derive(Clone, Copy, Debug, Eq, From, PartialEq)]
pub enum TargetRole {
    /// A language-model engine in a role.
    Engine(EngineRole),
    /// A plain service.
    #[from(skip)]
    Plain,
}

/// A target as the router sees it.
#[derive(Clone, Debug)]
pub struct RouteTarget {
    pub(super) kind: Arc<str>,
    pub(super) role: TargetRole,
    pub(super) models: Vec<LoadedModel>,
    pub(super) availability: Availability,
    pub(super) name_hash: u64,
    pub(super) load: TargetLoad,
    pub(super) share_blocks: Option<u32>,
    pub(super) returned_at_ms: Option<u64>,
    pub(super) latency_ms: f64,
    pub(super) decode: DecodeProfile,
    pub(super) slowdown: f64,
    pub(super) room_share: f64,
    pub(super) partition_role: PartitionRole,
}

impl RouteTarget {
    /// Returns the kind of target.
    #[must_use]
    pub fn kind(&self) -> &Arc<str> {
        &self.kind
    }

    /// Returns the load as this instance estimates it.
    #[must_use]
    pub fn load(&self) -> &TargetLoad {
        &self.load
    }

    /// Returns whether the target may get new work.
    #[must_use]
    pub fn availability(&self) -> Availability {
        self.availability
    }

    pub(super) fn can_serve(&self, request: &RouteRequest<'_>) -> bool {
        if *self.kind != *request.kind {
            return false;
        }
        if self.role == TargetRole::Plain {
            return true;
        }
        self.models.iter().any(|held| {
            *held.model == *request.model
                && *held.version == *request.version
                && (request.adapter.is_empty()
                    || held
                        .adapters
                        .iter()
                        .any(|adapter| **adapter == *request.adapter))
        })
    }

    pub(super) fn has_room(&self, blocks: u32, settings: &RouteSettings, now_ms: u64) -> bool {
        let own = self.load.own();
        let share = self.ramp(settings, now_ms).min(self.room_share);
        if self.role == TargetRole::Plain {
            let offered = f64::from(MAX_RAMP_PLAIN_REQUESTS) * share;
            return share >= 1.0 || f64::from(own.requests) < offered;
        }
        let total = self.load.total_blocks();
        let share_blocks = self.share_blocks.unwrap_or(total);
        let offered = f64::from(share_blocks.min(total)) * share.min(1.0);
        // One request at a time may exceed the part, so that a large one runs.
        let fits = own.requests == 0 || f64::from(own.blocks + blocks) <= offered;
        fits && blocks <= self.load.free_blocks()
    }

    /// Changes its part; what was learned of its streams holds no longer.
    pub(super) fn set_partition_role(&mut self, role: PartitionRole) {
        if self.partition_role == role {
            return;
        }
        self.partition_role = role;
        self.decode = DecodeProfile::default();
    }

    /// Whether the prefill of `tokens` would delay running streams by more than
    /// half of the time between tokens that the request asks for.
    pub(super) fn stalls_streams(&self, request: &RouteRequest<'_>, tokens: u64) -> bool {
        self.load.prefill_ms(tokens) > request.between_tokens_ms / 2.0
    }

    /// Whether it runs the prefill of requests that decode elsewhere.
    pub(super) fn prefills_for_others(&self) -> bool {
        match self.role {
            TargetRole::Engine(EngineRole::Prefill) => true,
            TargetRole::Engine(EngineRole::Mixed) => self.partition_role != PartitionRole::Decode,
            TargetRole::Engine(EngineRole::Decode) | TargetRole::Plain => false,
        }
    }

    /// Whether it decodes requests whose prefill ran elsewhere.
    pub(super) fn decodes_for_others(&self) -> bool {
        match self.role {
            TargetRole::Engine(EngineRole::Decode) => true,
            TargetRole::Engine(EngineRole::Mixed) => self.partition_role == PartitionRole::Decode,
            TargetRole::Engine(EngineRole::Prefill) | TargetRole::Plain => false,
        }
    }

    /// Returns whether one more stream keeps the time between tokens that the
    /// request asks for.
    pub(super) fn decodes_in_time(&self, request: &RouteRequest<'_>) -> bool {
        self.decode
            .allows(self.load.requests(), request.between_tokens_ms)
    }

    fn ramp(&self, settings: &RouteSettings, now_ms: u64) -> f64 {
        let Some(returned_at_ms) = self.returned_at_ms else {
            return 1.0;
        };
        let elapsed_ms = now_ms.saturating_sub(returned_at_ms) as f64;
        RAMP_START + (1.0 - RAMP_START) * elapsed_ms / settings.ramp_ms.max(1) as f64
    }
}
