//! Routing table of an instance.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use indexmap::IndexMap;
use serde::Deserialize;

use super::{
    Availability, Choice, PrefillChoice, RouteTarget, TargetRole, partition::PartitionRole,
};
use crate::{
    policy::{decode::DecodeProfile, load::TargetLoadEstimate, prefix::PrefixIndex},
    target::protocol::EngineState,
};

/// Weight of the newest sample in the moving average of a plain target's
/// response time.
const LATENCY_GAIN: f64 = 0.2;
/// Response time assumed for a plain target that has not answered yet, in
/// milliseconds.
const INITIAL_LATENCY_MS: f64 = 10.0;

/// Settings of the router.
#[derive(Clone, Copy, Debug)]
pub struct RouteSettings {
    /// Method by which a target is chosen.
    pub method: RouteMethod,
    /// Largest number of targets in a group with which all of them are compared.
    pub full_scan: usize,
    /// Number of randomly sampled targets that are compared in a larger group.
    pub samples: usize,
    /// Upper bound on the requests in flight on the home of a request, in percent of
    /// the mean over the group's targets.
    pub home_load_percent: u32,
    /// Speed of a KV cache transfer between two targets, in blocks per second.
    pub transfer_blocks_per_s: u32,
    /// Time after which a target that became live offers its full capacity, in
    /// milliseconds.
    pub ramp_ms: u64,
    /// Difference below which two predicted times count as equal, in milliseconds.
    pub tie_ms: f64,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            method: RouteMethod::Predicted,
            full_scan: 6,
            samples: 4,
            home_load_percent: 125,
            transfer_blocks_per_s: 20_000,
            ramp_ms: 5_000,
            tie_ms: 2.0,
        }
    }
}

/// Method by which a target is chosen among the usable ones.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum RouteMethod {
    /// Earliest predicted first token.
    #[default]
    Predicted,
    /// All usable targets in turn, regardless of load.
    RoundRobin,
    /// Fewest requests in flight from this instance.
    LeastInFlight,
}

/// Targets known to an instance, with their loads and cached prefixes.
///
/// ```
/// use lavenderwind::policy::routing::{
///     Availability, RouteRequest, RouteSettings, RouteTable,
/// };
///
/// let mut table = RouteTable::new(RouteSettings::default());
/// table.observe_plain("desk-1", "desk", Availability::Live, 0);
/// let request = RouteRequest::new("desk");
/// let choice = table.choose(&request, 0, &mut rand::rng()).unwrap();
/// table.dispatched(&choice, &[], 0);
/// assert_eq!(&*choice.target, "desk-1");
/// ```
#[derive(Clone, Debug)]
pub struct RouteTable {
    pub(super) settings: RouteSettings,
    /// Targets by name.
    pub(super) targets: IndexMap<Arc<str>, RouteTarget>,
    /// Indices of the live targets by kind, model and version (see `group_key`).
    pub(super) groups: IndexMap<u64, Vec<usize>>,
    pub(super) prefixes: PrefixIndex,
    /// Number of dispatched requests; selects the first target in round-robin
    /// routing.
    pub(super) dispatched: usize,
    /// Number of mixed engines that run the long prefills, by group.
    pub(super) partitions: IndexMap<u64, usize>,
}

impl RouteTable {
    /// Creates a table without targets.
    #[must_use]
    pub fn new(settings: RouteSettings) -> Self {
        Self {
            settings,
            targets: IndexMap::new(),
            groups: IndexMap::new(),
            prefixes: PrefixIndex::default(),
            dispatched: 0,
            partitions: IndexMap::new(),
        }
    }

    /// Adds or updates an engine from a state received at `received_at_ms`.
    ///
    /// The same state may be applied more than once, each time with the instant at
    /// which it was received. Requests sent after that instant are added to the load
    /// in the state.
    pub fn observe_engine(
        &mut self,
        name: &str,
        kind: &str,
        availability: Availability,
        state: &EngineState,
        received_at_ms: u64,
    ) {
        let availability = match availability {
            Availability::Live if state.changing => Availability::Changing,
            other => other,
        };
        let role = TargetRole::from(state.role);
        let index = self.upsert_target(name, kind, role, availability, received_at_ms);
        self.prefixes.observe_boot(name, &state.boot);
        let target = &mut self.targets[index];
        target.load.observe_report(state, received_at_ms);
        if target.models != state.models {
            target.models.clone_from(&state.models);
            self.rebuild_groups();
        }
    }

    /// Adds or updates a plain target.
    pub fn observe_plain(
        &mut self,
        name: &str,
        kind: &str,
        availability: Availability,
        now_ms: u64,
    ) {
        self.upsert_target(name, kind, TargetRole::Plain, availability, now_ms);
    }

    /// Sets the availability of a target; does nothing if the target is unknown.
    pub fn set_availability(&mut self, name: &str, availability: Availability, now_ms: u64) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let (kind, role) = (Arc::clone(&target.kind), target.role);
        self.upsert_target(name, &kind, role, availability, now_ms);
    }

    /// Removes the targets for which `keep` returns `false`.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&str) -> bool,
    {
        let count_before = self.targets.len();
        let prefixes = &mut self.prefixes;
        self.targets.retain(|name, _| {
            let is_kept = keep(name);
            if !is_kept {
                prefixes.remove_target(name);
            }
            is_kept
        });
        if self.targets.len() != count_before {
            self.rebuild_groups();
        }
    }

    /// Returns the target with a name.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&RouteTarget> {
        self.targets.get(name)
    }

    /// Returns a target's load, to be updated with the requests of peers.
    pub fn load_mut(&mut self, name: &str) -> Option<&mut TargetLoadEstimate> {
        self.targets.get_mut(name).map(|target| &mut target.load)
    }

    /// Returns the index of cached prefixes, to be updated with cache events.
    pub fn prefixes_mut(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Sets the number of a target's KV cache blocks that this instance may use;
    /// `None` for all blocks.
    pub fn set_block_quota(&mut self, name: &str, quota_blocks: Option<u32>) {
        if let Some(target) = self.targets.get_mut(name) {
            target.quota_blocks = quota_blocks;
        }
    }

    /// Sets the factor by which a target is slower than predicted, and the fraction
    /// of the target's capacity that requests may use. The target's circuit breaker
    /// determines both.
    pub fn set_condition(&mut self, name: &str, slowdown: f64, capacity_share: f64) {
        if let Some(target) = self.targets.get_mut(name) {
            target.slowdown = slowdown.max(1.0);
            target.capacity_share = capacity_share;
        }
    }

    /// Records a request that is sent to the chosen targets, and the prefix that the
    /// targets thereby cache.
    pub fn dispatched(&mut self, choice: &Choice, prefix_blocks: &[u64], now_ms: u64) {
        self.dispatched = self.dispatched.wrapping_add(1);
        if let Some(target) = self.targets.get_mut(&*choice.target) {
            target.load.dispatched(choice.demand, now_ms);
            self.prefixes
                .insert(&choice.target, prefix_blocks, target.load.total_blocks());
        }
        let Some(prefill) = &choice.prefill else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&*prefill.target) {
            target.load.dispatched(prefill.demand, now_ms);
            self.prefixes
                .insert(&prefill.target, prefix_blocks, target.load.total_blocks());
        }
    }

    /// Records the end of a prefill on a separate target.
    pub fn prefill_finished(&mut self, prefill: &PrefillChoice, now_ms: u64) {
        if let Some(target) = self.targets.get_mut(&*prefill.target) {
            target.load.finished(prefill.demand, now_ms);
        }
    }

    /// Records the end of a request on the target that decoded the request.
    pub fn finished(&mut self, choice: &Choice, now_ms: u64) {
        if let Some(target) = self.targets.get_mut(&*choice.target) {
            target.load.finished(choice.demand, now_ms);
        }
    }

    /// Records the mean time between the tokens of an answer, in milliseconds.
    ///
    /// Call this method before [`Self::finished`], while the request still counts as
    /// one of the target's concurrent streams.
    pub fn observe_between_tokens(&mut self, name: &str, between_tokens_ms: f64) {
        if let Some(target) = self.targets.get_mut(name) {
            target
                .decode
                .observe(target.load.requests(), between_tokens_ms);
        }
    }

    /// Records a response time of a plain target, in milliseconds.
    pub fn observe_latency(&mut self, name: &str, latency_ms: f64) {
        if let Some(target) = self.targets.get_mut(name) {
            target.latency_ms += LATENCY_GAIN * (latency_ms - target.latency_ms);
        }
    }

    /// Adds or updates a target and returns its index.
    fn upsert_target(
        &mut self,
        name: &str,
        kind: &str,
        role: TargetRole,
        availability: Availability,
        now_ms: u64,
    ) -> usize {
        let Some(index) = self.targets.get_index_of(name) else {
            let target = RouteTarget {
                kind: kind.into(),
                role,
                models: Vec::new(),
                availability,
                name_hash: hash_name(name),
                load: TargetLoadEstimate::new(1, u32::MAX),
                quota_blocks: None,
                became_live_at_ms: None,
                latency_ms: INITIAL_LATENCY_MS,
                decode: DecodeProfile::default(),
                slowdown: 1.0,
                capacity_share: 1.0,
                partition_role: PartitionRole::Unpartitioned,
            };
            let (index, _) = self.targets.insert_full(name.into(), target);
            self.rebuild_groups();
            return index;
        };
        let target = &mut self.targets[index];
        let became_live = availability == Availability::Live && target.availability != availability;
        if became_live {
            target.became_live_at_ms = Some(now_ms);
        }
        let has_changed = target.role != role || target.availability != availability;
        target.role = role;
        target.availability = availability;
        if has_changed {
            self.rebuild_groups();
        }
        index
    }

    /// Groups the live targets by kind, model and version.
    fn rebuild_groups(&mut self) {
        self.groups.clear();
        for (index, target) in self.targets.values().enumerate() {
            if target.availability != Availability::Live {
                continue;
            }
            if target.role == TargetRole::Plain {
                let key = group_key(&target.kind, "", "");
                self.groups.entry(key).or_default().push(index);
            }
            for loaded in &target.models {
                let key = group_key(&target.kind, &loaded.model, &loaded.version);
                self.groups.entry(key).or_default().push(index);
            }
        }
        self.assign_partition_roles();
    }
}

/// Returns the key of a group in [`RouteTable::groups`].
pub(super) fn group_key(kind: &str, model: &str, version: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (kind, model, version).hash(&mut hasher);
    hasher.finish()
}

fn hash_name(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
