//! Choice of the target with the earliest predicted first token.

use std::sync::Arc;

use rand::Rng;

use super::{
    Availability, Choice, PrefillChoice, RouteError, RouteMethod, RouteRequest, RouteTable,
    RouteTarget, TargetRole, partition::PartitionRole, table::group_key,
};
use crate::{
    policy::load::RequestDemand,
    target::protocol::{BLOCK_TOKENS, EngineRole},
};

const MS_PER_S: f64 = 1_000.0;
/// Maximum number of targets with a cached prefix (holders) that are compared in
/// addition to the home and the random sample.
const MAX_HOLDERS: usize = 4;

impl RouteTable {
    /// Chooses a target for a request.
    ///
    /// # Errors
    ///
    /// - [`RouteError::ModelNotLoaded`] if no target has the model loaded.
    /// - [`RouteError::Unavailable`] if no target with the model accepts new work.
    /// - [`RouteError::NoRoom`] if some targets accept new work, but none of them has
    ///   room and is predicted to meet the deadlines. Only after this error, it may
    ///   help to wait and try again.
    pub fn choose<R>(
        &self,
        request: &RouteRequest<'_>,
        now_ms: u64,
        rng: &mut R,
    ) -> Result<Choice, RouteError>
    where
        R: Rng,
    {
        let Some(group) = self
            .groups
            .get(&group_key(request.kind, request.model, request.version))
        else {
            return Err(self.no_target_error(request));
        };
        match self.settings.method {
            RouteMethod::Predicted => {}
            RouteMethod::RoundRobin => return self.choose_round_robin(request, group),
            RouteMethod::LeastInFlight => return self.choose_least_in_flight(request, group),
        }
        let candidates = self.candidates(request, group, rng);
        let mut best = self.best_single_target(request, &candidates, now_ms, rng);
        if best.is_none() && candidates.len() < group.len() {
            // No sampled target is suitable; compare all of them.
            best = self.best_single_target(request, group, now_ms, rng);
        }
        if let Some(choice) = self.best_split(request, group, now_ms, rng) {
            best = Some(match best {
                Some(single) if single.first_token_ms <= choice.first_token_ms => single,
                _ => choice,
            });
        }
        best.ok_or_else(|| self.no_target_error(request))
    }

    /// Returns the choice with the earliest predicted first token among those in which
    /// one of the candidates runs both prefill and decode.
    fn best_single_target<R>(
        &self,
        request: &RouteRequest<'_>,
        candidates: &[usize],
        now_ms: u64,
        rng: &mut R,
    ) -> Option<Choice>
    where
        R: Rng,
    {
        let mut best: Option<Choice> = None;
        for &index in candidates {
            let Some(choice) = self.predict_single_target(request, index, now_ms) else {
                continue;
            };
            best = Some(self.earlier_choice(best, choice, rng));
        }
        best
    }

    /// Returns the reason why no target can be chosen for a request.
    pub(super) fn no_target_error(&self, request: &RouteRequest<'_>) -> RouteError {
        let mut error = RouteError::ModelNotLoaded;
        for (name, target) in &self.targets {
            if !target.can_serve(request) {
                continue;
            }
            if target.availability == Availability::Live && !request.excluded.contains(name) {
                return RouteError::NoRoom;
            }
            error = RouteError::Unavailable;
        }
        error
    }

    /// Returns the indices of the targets to compare.
    fn candidates<R>(&self, request: &RouteRequest<'_>, group: &[usize], rng: &mut R) -> Vec<usize>
    where
        R: Rng,
    {
        if group.len() <= self.settings.full_scan {
            return group.to_vec();
        }
        let mut candidates = Vec::with_capacity(1 + MAX_HOLDERS + self.settings.samples);
        if request.home_key != 0 {
            candidates.extend(self.home_target(request, group));
        }
        let prefixes = &self.prefixes;
        prefixes.for_each_holder(request.prefix_blocks, MAX_HOLDERS, |name| {
            candidates.extend(self.targets.get_index_of(name));
        });
        for _ in 0..self.settings.samples {
            let sample = rng.next_u64() % group.len() as u64;
            candidates.push(group[sample as usize]);
        }
        candidates.sort_unstable();
        candidates.dedup();
        candidates
    }

    /// Returns the home of a request: the target with the highest rendezvous score
    /// among the targets whose number of requests in flight does not exceed the bound
    /// set by [`home_load_percent`](super::RouteSettings::home_load_percent).
    fn home_target(&self, request: &RouteRequest<'_>, group: &[usize]) -> Option<usize> {
        let mut requests = 0;
        for &index in group {
            requests += u64::from(self.targets[index].load.requests());
        }
        let bound_percent = u64::from(self.settings.home_load_percent);
        let bound = requests * bound_percent / (100 * group.len() as u64) + 1;
        let mut home = None;
        let mut highest = 0;
        for &index in group {
            let target = &self.targets[index];
            let score = splitmix64_finalizer(target.name_hash ^ request.home_key);
            if score < highest || u64::from(target.load.requests()) > bound {
                continue;
            }
            highest = score;
            home = Some(index);
        }
        home
    }

    /// Returns a target if it is live, not excluded and able to serve a request.
    pub(super) fn usable_target(
        &self,
        request: &RouteRequest<'_>,
        index: usize,
    ) -> Option<(&Arc<str>, &RouteTarget)> {
        let (name, target) = self.targets.get_index(index)?;
        let is_usable = target.availability == Availability::Live
            && target.can_serve(request)
            && !request.excluded.contains(name);
        is_usable.then_some((name, target))
    }

    /// Predicts the first token of a request whose prefill and decode run on the same
    /// target; `None` if the target cannot serve the request in time.
    fn predict_single_target(
        &self,
        request: &RouteRequest<'_>,
        index: usize,
        now_ms: u64,
    ) -> Option<Choice> {
        let (name, target) = self.usable_target(request, index)?;
        if target.role == TargetRole::Plain {
            return self.predict_plain(name, target, now_ms);
        }
        if target.role != TargetRole::Engine(EngineRole::Mixed)
            || target.partition_role == PartitionRole::Prefill
        {
            return None;
        }
        let blocks = request.blocks();
        if !target.decodes_in_time(request) || !target.has_room(blocks, &self.settings, now_ms) {
            return None;
        }
        let cached_tokens = self.cached_tokens(request, name);
        let prefill_tokens = u64::from(request.prompt_tokens - cached_tokens);
        if target.partition_role == PartitionRole::Decode
            && target.stalls_streams(request, prefill_tokens)
        {
            return None;
        }
        let prefill_end_ms = target.load.queue_ms(now_ms) + target.load.prefill_ms(prefill_tokens);
        let first_token_ms = prefill_end_ms * target.slowdown;
        if first_token_ms > request.max_first_token_ms {
            return None;
        }
        Some(Choice {
            target: Arc::clone(name),
            demand: RequestDemand {
                prefill_tokens,
                blocks,
            },
            prefill: None,
            cached_tokens,
            first_token_ms,
        })
    }

    /// Predicts the answer of a plain target; `None` if the target has no room.
    fn predict_plain(&self, name: &Arc<str>, target: &RouteTarget, now_ms: u64) -> Option<Choice> {
        if !target.has_room(0, &self.settings, now_ms) {
            return None;
        }
        let requests_ahead = f64::from(target.load.requests());
        Some(Choice {
            target: Arc::clone(name),
            demand: RequestDemand::default(),
            prefill: None,
            cached_tokens: 0,
            first_token_ms: target.latency_ms * (1.0 + requests_ahead) * target.slowdown,
        })
    }

    /// Returns the choice with the earliest predicted first token among those in which
    /// different targets run prefill and decode.
    fn best_split<R>(
        &self,
        request: &RouteRequest<'_>,
        group: &[usize],
        now_ms: u64,
        rng: &mut R,
    ) -> Option<Choice>
    where
        R: Rng,
    {
        let decode = self.best_decode(request, group, now_ms, rng)?;
        let (decode_name, _) = self.targets.get_index(decode)?;
        let blocks = request.prompt_tokens.div_ceil(BLOCK_TOKENS);
        let mut best: Option<Choice> = None;
        for &index in group {
            if index == decode {
                continue;
            }
            let Some((name, target)) = self.usable_target(request, index) else {
                continue;
            };
            if !target.prefills_for_others() || !target.has_room(blocks, &self.settings, now_ms) {
                continue;
            }
            let cached_tokens = self.cached_tokens(request, name);
            let prefill_tokens = u64::from(request.prompt_tokens - cached_tokens);
            let prefill_end_ms =
                target.load.queue_ms(now_ms) + target.load.prefill_ms(prefill_tokens);
            let choice = Choice {
                target: Arc::clone(decode_name),
                demand: RequestDemand {
                    prefill_tokens: 0,
                    blocks: request.blocks(),
                },
                prefill: Some(PrefillChoice {
                    target: Arc::clone(name),
                    demand: RequestDemand {
                        prefill_tokens,
                        blocks,
                    },
                }),
                cached_tokens,
                first_token_ms: prefill_end_ms * target.slowdown + self.transfer_ms(blocks),
            };
            if choice.first_token_ms > request.max_first_token_ms {
                continue;
            }
            best = Some(self.earlier_choice(best, choice, rng));
        }
        best
    }

    /// Returns the index of the target with the largest fraction of free KV cache
    /// blocks among those that can decode the request after a prefill elsewhere.
    fn best_decode<R>(
        &self,
        request: &RouteRequest<'_>,
        group: &[usize],
        now_ms: u64,
        rng: &mut R,
    ) -> Option<usize>
    where
        R: Rng,
    {
        let blocks = request.blocks();
        let mut best = None;
        let mut most_free = -1.0;
        let start = rng.next_u64() as usize % group.len();
        for offset in 0..group.len() {
            let index = group[(start + offset) % group.len()];
            let Some((_, target)) = self.usable_target(request, index) else {
                continue;
            };
            if !target.decodes_for_others() || !target.has_room(blocks, &self.settings, now_ms) {
                continue;
            }
            if !target.decodes_in_time(request) {
                continue;
            }
            let free_fraction =
                f64::from(target.load.free_blocks()) / f64::from(target.load.total_blocks());
            if free_fraction > most_free {
                most_free = free_fraction;
                best = Some(index);
            }
        }
        best
    }

    /// Returns the choice with the earlier predicted first token. If the predictions
    /// differ by less than `tie_ms`, one of the two choices is picked at random.
    fn earlier_choice<R>(&self, best: Option<Choice>, choice: Choice, rng: &mut R) -> Choice
    where
        R: Rng,
    {
        let Some(best) = best else {
            return choice;
        };
        let difference_ms = best.first_token_ms - choice.first_token_ms;
        if difference_ms.abs() < self.settings.tie_ms {
            return if rng.next_u64().is_multiple_of(2) {
                best
            } else {
                choice
            };
        }
        if difference_ms > 0.0 { choice } else { best }
    }

    /// Returns the number of prompt tokens that a target is expected to have cached.
    fn cached_tokens(&self, request: &RouteRequest<'_>, name: &str) -> u32 {
        let blocks = self.prefixes.expected_blocks(name, request.prefix_blocks);
        // The last prompt token is always computed: decoding starts from its output.
        (blocks * BLOCK_TOKENS).min(request.prompt_tokens.saturating_sub(1))
    }

    /// Returns the time to transfer `blocks` KV cache blocks between two targets, in
    /// milliseconds.
    fn transfer_ms(&self, blocks: u32) -> f64 {
        f64::from(blocks) * MS_PER_S / f64::from(self.settings.transfer_blocks_per_s.max(1))
    }
}

/// Applies the finalizer of SplitMix64, which spreads the bits of `value`.
fn splitmix64_finalizer(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
