//! Partition of mixed engines into prefill and decode engines.
//!
//! A mixed engine can run both prefill and decode. A long prefill, which is that of a
//! long prompt, delays the next tokens of streams that run on the same engine. If
//! KV caches can be transferred between engines, some of the mixed engines therefore
//! run the long prefills and the others decode.
//!
//! The partition exists only in the routing tables of the instances. In contrast
//! to a role change, a new partition needs no order to an engine and takes effect
//! with the next request. All instances rank the engines by the same hash and
//! compute the demand from the same ledger. The instances thus arrive at the same
//! partition without exchanging messages.

use indexmap::IndexSet;

use super::{RouteRequest, RouteTable, TargetRole, table::group_key};
use crate::target::protocol::EngineRole;

/// Streams that an engine is assumed to decode concurrently.
const ENGINE_STREAMS: f64 = 16.0;
/// Load of long prefills below which the engines are not partitioned, as a number
/// of fully busy engines.
const MIN_PREFILL_LOAD: f64 = 0.1;
/// Time within which the queued long prompts should be prefilled, in seconds.
const QUEUE_DRAIN_S: f64 = 2.0;
/// Smallest decrease of the utilization for which a partition is changed. The
/// utilization of fully busy engines is 1.
const MIN_IMPROVEMENT: f64 = 0.1;

/// Demand of all instances on the engines of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartitionDemand {
    /// Prompt tokens per second of long prompts.
    pub prefill_tokens_per_s: f64,
    /// Tokens of long prompts that are queued for prefill.
    pub waiting_tokens: f64,
    /// Generated tokens per second.
    pub decode_tokens_per_s: f64,
    /// Ratio of generated tokens (of all requests) to the prompt tokens of long
    /// prompts.
    pub decode_tokens_per_prefill_token: f64,
    /// Mean number of KV cache blocks of a request.
    pub blocks_per_request: f64,
}

impl PartitionDemand {
    /// Returns the prefill throughput, in tokens per second, that serves the demand
    /// and drains the queue within [`QUEUE_DRAIN_S`].
    ///
    /// The queue counts because the rates alone would reflect a change of the workload
    /// too late: they are computed from the usage, which is counted when requests end.
    fn wanted_prefill_tokens_per_s(&self) -> f64 {
        self.prefill_tokens_per_s + self.waiting_tokens / QUEUE_DRAIN_S
    }

    /// Returns the decode throughput, in tokens per second, that serves the demand,
    /// including the answers to the prompts that are queued for prefill.
    fn wanted_decode_tokens_per_s(&self) -> f64 {
        let answer_tokens_per_s =
            self.wanted_prefill_tokens_per_s() * self.decode_tokens_per_prefill_token;
        self.decode_tokens_per_s.max(answer_tokens_per_s)
    }
}

/// The mixed engines that have one model loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartitionEngines {
    /// Number of engines.
    pub count: usize,
    /// Mean prefill speed of an engine, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Mean decode speed of one stream, in tokens per second.
    pub decode_tokens_per_s: f64,
    /// Mean number of KV cache blocks of an engine.
    pub total_blocks: f64,
}

impl PartitionEngines {
    /// Returns the utilization of the prefill engines or of the decode engines,
    /// whichever is higher, if `prefill_engines` engines run the long prefills and the
    /// others decode.
    #[must_use]
    pub fn utilization(&self, demand: &PartitionDemand, prefill_engines: usize) -> f64 {
        let decode_engines = self.count.saturating_sub(prefill_engines) as f64;
        let prefill_load = demand.wanted_prefill_tokens_per_s() / self.prefill_tokens_per_s;
        let streams = demand.wanted_decode_tokens_per_s() / self.decode_tokens_per_s;
        let stream_load = streams / ENGINE_STREAMS;
        // Blocks on a decode engine are reserved before the prefill starts. For each
        // busy prefill engine, two requests are assumed to have blocks reserved: one
        // whose prefill runs and one whose prefill waits.
        let reserving_requests = streams + 2.0 * prefill_load;
        let block_load = reserving_requests * demand.blocks_per_request / self.total_blocks;
        (prefill_load / prefill_engines as f64).max(stream_load.max(block_load) / decode_engines)
    }

    /// Returns the number of engines that should run the long prefills; 0 means no
    /// partition. `current` is the number of engines that run them now.
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
    ///     decode_tokens_per_prefill_token: 0.016,
    ///     blocks_per_request: 160.0,
    /// };
    /// assert_eq!(engines.prefill_engines(&demand, 0), 7);
    /// ```
    #[must_use]
    pub fn prefill_engines(&self, demand: &PartitionDemand, current: usize) -> usize {
        let load = demand.wanted_prefill_tokens_per_s() / self.prefill_tokens_per_s.max(1.0);
        if self.count < 2 || load < MIN_PREFILL_LOAD {
            return 0;
        }
        let mut best = 1;
        for prefill_engines in 2..self.count {
            if self.utilization(demand, prefill_engines) < self.utilization(demand, best) {
                best = prefill_engines;
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

/// Work that a mixed engine gets under a partition.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum PartitionRole {
    /// Prefill and decode of any request; the engines are not partitioned.
    #[default]
    Unpartitioned,
    /// Prefill of long prompts.
    Prefill,
    /// Decode of requests that another engine prefilled, and both prefill and decode
    /// of requests with short prompts.
    Decode,
}

impl RouteTable {
    /// Sets how many of the mixed engines with a model loaded run the model's long
    /// prefills; 0 removes the partition.
    pub fn set_prefill_engines(&mut self, kind: &str, model: &str, version: &str, count: usize) {
        let key = group_key(kind, model, version);
        if self.partitions.insert(key, count) != Some(count) {
            self.assign_partition_roles();
        }
    }

    /// Returns the number of uncached prompt tokens of the requests that all
    /// instances have in flight on the engines with a model loaded.
    #[must_use]
    pub fn waiting_tokens(&self, kind: &str, model: &str, version: &str) -> u64 {
        let group = self.groups.get(&group_key(kind, model, version));
        let mut tokens = 0;
        for &index in group.into_iter().flatten() {
            tokens += self.targets[index].load.prefill_tokens();
        }
        tokens
    }

    /// Returns `true` if the prompt of a request is long: its prefill would delay
    /// running streams too much on at least one of the engines with its model loaded.
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

    /// Returns how many of the mixed engines with a model loaded are set to run the
    /// model's long prefills.
    #[must_use]
    pub fn prefill_engines(&self, kind: &str, model: &str, version: &str) -> usize {
        let key = group_key(kind, model, version);
        self.partitions.get(&key).copied().unwrap_or(0)
    }

    /// Assigns partition roles to the mixed engines of each group, in the order of
    /// the hashes of their names, which is the same on all instances.
    pub(super) fn assign_partition_roles(&mut self) {
        let mut partitioned = IndexSet::new();
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
                partitioned.insert(index);
            }
        }
        for (index, target) in self.targets.values_mut().enumerate() {
            if !partitioned.contains(&index) {
                target.set_partition_role(PartitionRole::Unpartitioned);
            }
        }
    }
}
