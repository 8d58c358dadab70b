//! Division of mixed engines into those that prefill and those that decode.
//!
//! A long prefill beside running streams delays their next tokens. Where KV
//! caches can be moved, a part of the mixed engines takes the long prefills
//! and the others decode; unlike a change of role, a new division costs
//! nothing and takes effect with the next request. Every instance ranks the
//! engines by the same hash and counts the demand from the same ledger, so
//! that they come to the same division without a message.

use indexmap::IndexSet;

use super::{RouteRequest, RouteTable, TargetRole, table::group_key};
use crate::target::protocol::EngineRole;

/// Streams that an engine decodes at a time.
const ENGINE_STREAMS: f64 = 16.0;
/// Load of long prefills below which the engines are not divided, in engines.
const MIN_PREFILL_LOAD: f64 = 0.1;
/// Time within which waiting prompts should be prefilled, in seconds.
const BACKLOG_S: f64 = 2.0;
/// Utilisation by which another division must be better.
const MIN_IMPROVEMENT: f64 = 0.1;

/// Demand on the engines of one model, over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartitionDemand {
    /// Tokens of long prompts, a second.
    pub prefill_tokens_per_s: f64,
    /// Prompt tokens that wait for their prefill now.
    pub waiting_tokens: f64,
    /// Generated tokens, a second.
    pub decode_tokens_per_s: f64,
    /// Generated tokens for each token of a long prompt.
    pub decode_per_prefill_token: f64,
    /// Mean blocks of KV cache of a request.
    pub blocks_per_request: f64,
}

impl PartitionDemand {
    /// Returns the prefill speed that serves the demand and works off what
    /// waits: usage is counted as requests end, so that the rates follow a
    /// change of the mix late.
    fn wanted_prefill_per_s(&self) -> f64 {
        self.prefill_tokens_per_s + self.waiting_tokens / BACKLOG_S
    }

    /// Returns the decode speed that serves the demand and what follows the
    /// waiting prefills.
    fn wanted_decode_per_s(&self) -> f64 {
        let following = self.wanted_prefill_per_s() * self.decode_per_prefill_token;
        self.decode_tokens_per_s.max(following)
    }
}

/// The mixed engines that hold one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartitionEngines {
    /// Number of engines.
    pub count: usize,
    /// Mean prefill speed, in tokens a second.
    pub prefill_tokens_per_s: f64,
    /// Mean decode speed of one stream, in tokens a second.
    pub decode_tokens_per_s: f64,
    /// Mean blocks of KV cache.
    pub total_blocks: f64,
}

impl PartitionEngines {
    /// Returns the utilisation of the busier part when `prefill` engines take
    /// the long prefills.
    #[must_use]
    pub fn utilization(&self, demand: &PartitionDemand, prefill: usize) -> f64 {
        let decode = self.count.saturating_sub(prefill) as f64;
        let prefill_load = demand.wanted_prefill_per_s() / self.prefill_tokens_per_s;
        let streams = demand.wanted_decode_per_s() / self.decode_tokens_per_s;
        let stream_load = streams / ENGINE_STREAMS;
        // Blocks are reserved from before the prefill on: one request runs there
        // and one waits for each busy engine.
        let reserved = streams + 2.0 * prefill_load;
        let block_load = reserved * demand.blocks_per_request / self.total_blocks;
        (prefill_load / prefill as f64).max(stream_load.max(block_load) / decode)
    }

    /// Returns how many engines should take the long prefills, where
    /// `current` do so now; 0 leaves the engines undivided.
    ///
    /// ```
    /// use lavenderwind::policy::routing::{PartitionDemand, PartitionEngines};
    ///
    /// let engines = PartitionEngines {
    ///     count: 9,
    ///     prefill_tokens_per_s: 8_000.0,
    ///     decode_tokens_per_s: 60.0,
    ///     total_blocks: 2_000.0,
    /// };
    /// let demand = PartitionDemand {
    ///     prefill_tokens_per_s: 40_000.0,
    ///     waiting_tokens: 0.0,
    ///     decode_tokens_per_s: 640.0,
    ///     decode_per_prefill_token: 0.016,
    ///     blocks_per_request: 160.0,
    /// };
    /// assert_eq!(engines.prefill_engines(&demand, 0), 7);
    /// ```
    #[must_use]
    pub fn prefill_engines(&self, demand: &PartitionDemand, current: usize) -> usize {
        let load = demand.wanted_prefill_per_s() / self.prefill_tokens_per_s.max(1.0);
        if self.count < 2 || load < MIN_PREFILL_LOAD {
            return 0;
        }
        let mut best = 1;
        for prefill in 2..self.count {
            if self.utilization(demand, prefill) < self.utilization(demand, best) {
                best = prefill;
            }
        }
        if current == 0 || current >= self.count {
            return best;
        }
        let gain = self.utilization(demand, current) - self.utilization(demand, best);
        if gain < MIN_IMPROVEMENT {
            current
        } else {
            best
        }
    }
}

/// What a mixed engine takes under the division.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum PartitionRole {
    /// Whole requests.
    #[default]
    Undivided,
    /// The prefill of long prompts.
    Prefill,
    /// Decoding, and whole requests with short prompts.
    Decode,
}

impl RouteTable {
    /// Sets how many of the mixed engines that hold a model take the long
    /// prefills; 0 leaves the engines undivided.
    pub fn set_prefill_engines(&mut self, kind: &str, model: &str, version: &str, count: usize) {
        let key = group_key(kind, model, version);
        if self.partitions.insert(key, count) != Some(count) {
            self.divide_engines();
        }
    }

    /// Returns the prompt tokens in flight, of all instances, on the engines
    /// that hold a model.
    #[must_use]
    pub fn waiting_tokens(&self, kind: &str, model: &str, version: &str) -> u64 {
        let group = self.groups.get(&group_key(kind, model, version));
        let mut tokens = 0;
        for &index in group.into_iter().flatten() {
            tokens += self.targets[index].load.prefill_tokens();
        }
        tokens
    }

    /// Whether the prefill of a request would delay the streams of the engines
    /// that hold its model.
    #[must_use]
    pub fn is_long(&self, request: &RouteRequest<'_>) -> bool {
        let key = group_key(request.kind, request.model, request.version);
        let group = self.groups.get(&key);
        let mut engines = group
            .into_iter()
            .flatten()
            .map(|index| &self.targets[*index]);
        let tokens = u64::from(request.prompt_tokens);
        engines.any(|target| target.stalls_streams(request, tokens))
    }

    /// Returns how many of the mixed engines that hold a model take the long
    /// prefills.
    #[must_use]
    pub fn prefill_engines(&self, kind: &str, model: &str, version: &str) -> usize {
        let key = group_key(kind, model, version);
        self.partitions.get(&key).copied().unwrap_or(0)
    }

    /// Gives the mixed engines of each divided group their parts, in the order
    /// of their hashes, which is the same on all instances.
    pub(super) fn divide_engines(&mut self) {
        let mut divided = IndexSet::new();
        for (key, &count) in &self.partitions {
            let Some(group) = self.groups.get(key) else {
                continue;
            };
            let mut engines = Vec::with_capacity(group.len());
            for &index in group {
                let target = &self.targets[index];
                if target.role == TargetRole::Engine(EngineRole::Mixed) {
                    engines.push((target.name_hash, index));
                }
            }
            engines.sort_unstable();
            if count == 0 || count >= engines.len() {
                continue;
            }
            for (rank, (_, index)) in engines.into_iter().enumerate() {
                let role = if rank < count {
                    PartitionRole::Prefill
                } else {
                    PartitionRole::Decode
                };
                self.targets[index].set_partition_role(role);
                divided.insert(index);
            }
        }
        for (index, target) in self.targets.values_mut().enumerate() {
            if !divided.contains(&index) {
                target.set_partition_role(PartitionRole::Undivided);
            }
        }
    }
}
