//! State of a target in the routing table.

use std::sync::Arc;

use derive_more::From;

use super::{RouteRequest, RouteSettings, partition::PartitionRole};
use crate::{
    policy::{decode::DecodeProfile, load::TargetLoadEstimate},
    target::protocol::{EngineRole, LoadedModel},
};

/// Fraction of its capacity that a target offers immediately after it has become
/// live.
const RAMP_START: f64 = 0.1;
/// Limit of this instance's requests in flight on a plain target just before the
/// end of the ramp, which is the time after the target became live during which the
/// limit rises. Afterwards, the number of requests is not limited.
const MAX_RAMP_PLAIN_REQUESTS: u32 = 32;

/// Whether a target may get new requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Availability {
    /// Accepts new requests.
    #[default]
    Live,
    /// Is being started.
    Starting,
    /// Is being drained or reclaimed.
    Leaving,
    /// May have failed, for example because its circuit breaker is open.
    Unhealthy,
    /// Is changing its role or loading weights.
    Changing,
}

/// Kind of service that a target runs.
#[derive(Clone, Copy, Debug, Eq, From, PartialEq)]
pub enum TargetRole {
    /// A language model engine with its role.
    Engine(EngineRole),
    /// A plain service without a model.
    #[from(skip)]
    Plain,
}

/// A target of the routing table.
#[derive(Clone, Debug)]
pub struct RouteTarget {
    pub(super) kind: Arc<str>,
    pub(super) role: TargetRole,
    pub(super) models: Vec<LoadedModel>,
    pub(super) availability: Availability,
    /// Hash of the target's name, for rendezvous and partition order.
    pub(super) name_hash: u64,
    pub(super) load: TargetLoadEstimate,
    /// Number of the target's KV cache blocks that this instance may use; `None` for
    /// all blocks.
    pub(super) quota_blocks: Option<u32>,
    /// Instant at which the target last became live, in milliseconds; `None` if it has
    /// been live since it was added.
    pub(super) became_live_at_ms: Option<u64>,
    /// Mean response time of a plain target, in milliseconds.
    pub(super) latency_ms: f64,
    /// Learned time between tokens.
    pub(super) decode: DecodeProfile,
    /// Factor by which predicted times are multiplied; at least 1.
    pub(super) slowdown: f64,
    /// Fraction of the target's capacity that requests may use, from 0 to 1, as set
    /// by the target's circuit breaker.
    pub(super) capacity_share: f64,
    pub(super) partition_role: PartitionRole,
}

impl RouteTarget {
    /// Returns the target kind.
    #[must_use]
    pub fn kind(&self) -> &Arc<str> {
        &self.kind
    }

    /// Returns the load estimated by this instance.
    #[must_use]
    pub fn load(&self) -> &TargetLoadEstimate {
        &self.load
    }

    /// Returns the availability for new requests.
    #[must_use]
    pub fn availability(&self) -> Availability {
        self.availability
    }

    /// Returns `true` if the target is of the request's kind and, for an engine, has
    /// the request's model, version and adapter loaded.
    pub(super) fn can_serve(&self, request: &RouteRequest<'_>) -> bool {
        if *self.kind != *request.kind {
            return false;
        }
        if self.role == TargetRole::Plain {
            return true;
        }
        self.models.iter().any(|loaded| {
            *loaded.model == *request.model
                && *loaded.version == *request.version
                && (request.adapter.is_empty()
                    || loaded
                        .adapters
                        .iter()
                        .any(|adapter| **adapter == *request.adapter))
        })
    }

    /// Returns `true` if an engine has room for `blocks` more KV cache blocks within
    /// this instance's quota, or if a plain target has room for one more request.
    pub(super) fn has_room(&self, blocks: u32, settings: &RouteSettings, now_ms: u64) -> bool {
        let own = self.load.own();
        let capacity_share = self
            .offered_fraction(settings, now_ms)
            .min(self.capacity_share);
        if self.role == TargetRole::Plain {
            let offered = f64::from(MAX_RAMP_PLAIN_REQUESTS) * capacity_share;
            return capacity_share >= 1.0 || f64::from(own.requests) < offered;
        }
        let total = self.load.total_blocks();
        let quota_blocks = self.quota_blocks.unwrap_or(total);
        let offered = f64::from(quota_blocks.min(total)) * capacity_share.min(1.0);
        // A request may exceed the quota if this instance has no other one in flight
        // on the target. Otherwise a request larger than the quota would never run.
        let fits = own.requests == 0 || f64::from(own.blocks + blocks) <= offered;
        fits && blocks <= self.load.free_blocks()
    }

    /// Sets the partition role. A change resets the decode profile, which was
    /// learned from streams under the previous role.
    pub(super) fn set_partition_role(&mut self, role: PartitionRole) {
        if self.partition_role == role {
            return;
        }
        self.partition_role = role;
        self.decode = DecodeProfile::default();
    }

    /// Returns `true` if the prefill of `tokens` tokens would delay running streams too
    /// much: it would take longer than half of the request's longest acceptable time
    /// between two tokens.
    pub(super) fn stalls_streams(&self, request: &RouteRequest<'_>, tokens: u64) -> bool {
        self.load.prefill_ms(tokens) > request.max_between_tokens_ms / 2.0
    }

    /// Returns `true` if the target prefills requests that another one decodes.
    pub(super) fn prefills_for_others(&self) -> bool {
        match self.role {
            TargetRole::Engine(EngineRole::Prefill) => true,
            TargetRole::Engine(EngineRole::Mixed) => self.partition_role != PartitionRole::Decode,
            TargetRole::Engine(EngineRole::Decode) | TargetRole::Plain => false,
        }
    }

    /// Returns `true` if the target decodes requests that another one prefilled.
    pub(super) fn decodes_for_others(&self) -> bool {
        match self.role {
            TargetRole::Engine(EngineRole::Decode) => true,
            TargetRole::Engine(EngineRole::Mixed) => self.partition_role == PartitionRole::Decode,
            TargetRole::Engine(EngineRole::Prefill) | TargetRole::Plain => false,
        }
    }

    /// Returns `true` if the target, with one more stream, is predicted not to exceed
    /// the request's longest acceptable time between two tokens.
    pub(super) fn decodes_in_time(&self, request: &RouteRequest<'_>) -> bool {
        self.decode
            .allows(self.load.requests(), request.max_between_tokens_ms)
    }

    /// Returns the fraction of its capacity that the target offers at `now_ms`.
    ///
    /// After the target became live, the fraction rises linearly from [`RAMP_START`]
    /// to 1 over `ramp_ms`, and exceeds 1 afterwards. It is 1 for a target that has
    /// been live since it was added.
    fn offered_fraction(&self, settings: &RouteSettings, now_ms: u64) -> f64 {
        let Some(became_live_at_ms) = self.became_live_at_ms else {
            return 1.0;
        };
        let elapsed_ms = now_ms.saturating_sub(became_live_at_ms) as f64;
        RAMP_START + (1.0 - RAMP_START) * elapsed_ms / settings.ramp_ms.max(1) as f64
    }
}
