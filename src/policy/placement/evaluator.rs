//! Predicted time to the first event and cost to other requests, for each engine
//! that may prefill a prompt.
//!
//! The [module documentation](super) defines the home, the copy and the decode
//! home.

use super::{EngineCandidate, Placement, PlacementInput, sample_engines};
use crate::{
    call::Prompt,
    policy::cache_locality::{chain_hash, rendezvous_weight, splitmix64},
};

/// Cost of using the less preferred one of the home and the copy, as a fraction
/// of the time to prefill the shared parts.
const SECOND_HOME_COST: f64 = 0.1;

/// Cost of using an engine that is not the home, the copy or the decode home, as
/// a fraction of the time to prefill the shared parts. Caching the shared parts
/// there evicts parts of other prompts.
const ADDITIONAL_COPY_COST: f64 = 0.6;

/// Slowdown of a stream by the other streams on an engine whose slots are all in
/// use, as a fraction of the time for which a stream occupies a slot.
const FULL_SLOTS_COST: f64 = 0.1;

/// Cost of a local prefill that delays running streams, as a multiple of the
/// latency objective. The cost is multiplied by the learned fraction of streams
/// that exceed their objective for the time between two events.
const LATE_PAUSE_COST: f64 = 2.0;

/// Evaluates the candidates for one prompt.
pub(super) struct PlacementEvaluator<'a> {
    prompt: &'a Prompt,
    candidates: &'a [EngineCandidate],
    input: &'a PlacementInput<'a>,
    /// Number of tokens in the prompt's shared parts.
    shared_tokens: u32,
    /// Hash of the prompt parts that determine the home, the copy and the decode
    /// home.
    home_key: u64,
    /// Predicted time for which the answer's stream occupies a slot, in milliseconds.
    slot_time_ms: f64,
    /// Rendezvous weight of each candidate for `home_key`.
    pub(super) weights: Vec<u64>,
    /// Number of leading prompt tokens that each candidate is known to have cached.
    cached_tokens: Vec<u32>,
    /// Number of leading prompt tokens that other engines can fetch from each candidate;
    /// empty if only the prompts of this instance are known.
    fetchable_tokens: Vec<u32>,
    /// Index of the open prefill engine with the highest weight.
    home: Option<usize>,
    /// Index of the open prefill engine with the highest weight outside the home's
    /// failure domain.
    copy: Option<usize>,
    /// Index of the open decode or mixed engine with the highest weight.
    decode_home: Option<usize>,
    /// Whether at least half of the open candidates are prefill engines. Prompt parts
    /// stay cached for longer on engines of the more frequent role.
    is_prefill_majority: bool,
    /// Shortest wait for a slot that is in use, on any open decode engine.
    decode_full_wait_ms: f64,
}

impl<'a> PlacementEvaluator<'a> {
    pub(super) fn new(
        prompt: &'a Prompt,
        candidates: &'a [EngineCandidate],
        input: &'a PlacementInput<'a>,
    ) -> Self {
        let shared_tokens = prompt.shared_tokens();
        let home_key = chain_hash(prompt.cache_affinity_parts());
        let mut weights = Vec::with_capacity(candidates.len());
        let mut cached_tokens = Vec::with_capacity(candidates.len());
        let mut fetchable_tokens = Vec::new();
        for candidate in candidates {
            if let Some(fetchable) = input.fleet_cached {
                fetchable_tokens.push(fetchable.cached_tokens(
                    &candidate.id,
                    &prompt.parts,
                    input.capacity_tokens,
                ));
            }
            weights.push(rendezvous_weight(home_key, &candidate.id));
            cached_tokens.push(input.cached.cached_tokens(
                &candidate.id,
                &prompt.parts,
                input.capacity_tokens,
            ));
        }
        let open = |prefills: bool| {
            let weights = &weights;
            let of_role = (0..candidates.len()).filter(move |&index| {
                candidates[index].is_open() && candidates[index].prefills() == prefills
            });
            of_role.map(move |index| (weights[index], index))
        };
        let home = open(true).max().map(|(_, index)| index);
        let copy = home.and_then(|home| {
            let domain = &candidates[home].failure_domain;
            let others =
                open(true).filter(|&(_, index)| candidates[index].failure_domain != *domain);
            others.max().map(|(_, index)| index)
        });
        let decode_home = open(false).max().map(|(_, index)| index);
        let is_prefill_majority = open(true).count() >= open(false).count();
        let mut evaluator = Self {
            prompt,
            candidates,
            input,
            shared_tokens,
            home_key,
            slot_time_ms: input.profile.slot_time_ms(prompt.max_output_tokens),
            weights,
            cached_tokens,
            fetchable_tokens,
            home,
            copy,
            decode_home,
            is_prefill_majority,
            decode_full_wait_ms: 0.0,
        };
        evaluator.decode_full_wait_ms = evaluator.least_full_wait_ms();
        evaluator
    }

    /// Returns the indices of the candidates to compare.
    pub(super) fn compared_candidates(&self) -> Vec<usize> {
        let sampled = self.sample_candidates();
        let requires_local_prefill = self.requires_local_prefill();
        let mut compared = Vec::new();
        for (index, candidate) in self.candidates.iter().enumerate() {
            let is_compared = sampled[index] || self.is_preferred(index);
            if candidate.is_open()
                && is_compared
                && !(requires_local_prefill && candidate.prefills())
            {
                compared.push(index);
            }
        }
        compared
    }

    /// Returns `true` if the prompt belongs to the fraction of prompts for which the
    /// prefill engines lack capacity.
    ///
    /// The decision depends only on `home_key`, so that all prompts with the same home
    /// are treated alike.
    fn requires_local_prefill(&self) -> bool {
        let point = f64::from((splitmix64(self.home_key) >> 32) as u32) / f64::from(u32::MAX);
        self.decode_home.is_some() && point >= self.input.prefill_share
    }

    /// Returns for each candidate whether it is in the sample that is compared in
    /// addition to the home, the copy and the decode home.
    fn sample_candidates(&self) -> Vec<bool> {
        let open = self.candidates.iter().map(EngineCandidate::is_open);
        match self.input.fleet_cached {
            Some(_) => open.collect(),
            None => sample_engines(open, self.input.sample_point),
        }
    }

    /// Predicts the prefill of the prompt on the candidate at `index`.
    ///
    /// `decode_wait_ms` is the expected wait for a slot on another engine. It counts
    /// only if another engine decodes the answer.
    pub(super) fn placement(&self, index: usize, decode_wait_ms: f64) -> Placement {
        let candidate = &self.candidates[index];
        let profile = self.input.profile;
        let is_local_prefill = !candidate.prefills();
        let prefill_ms_per_token = match is_local_prefill {
            true => profile.local_prefill_ms_per_token(),
            false => profile.remote_prefill_ms_per_token(),
        };
        let prefill_ms_per_token = prefill_ms_per_token * candidate.slowness;
        let known_cached_tokens = self.cached_tokens[index];
        let (source, fetchable_tokens) = self.find_source(index);
        let missing_tokens = fetchable_tokens.saturating_sub(known_cached_tokens);
        let transfer_ms = f64::from(missing_tokens) * self.input.token_transfer_ms;
        let is_worth_fetching =
            missing_tokens > 0 && transfer_ms < f64::from(missing_tokens) * prefill_ms_per_token;
        let fetch_from = source.filter(|_| is_worth_fetching);
        let (cached_tokens, fetch_ms) = match fetch_from {
            Some(_) => (fetchable_tokens, transfer_ms),
            None => (known_cached_tokens, 0.0),
        };
        let uncached_tokens = self.prompt.prompt_tokens.saturating_sub(cached_tokens);
        let prefill_tokens = candidate.queued_tokens + f64::from(uncached_tokens);
        let (prefill_ms, slot_wait_ms, full_wait_ms) = match is_local_prefill {
            true => (
                candidate.slowness * profile.local_prefill_ms(prefill_tokens),
                self.slot_wait_ms(candidate),
                self.full_wait_ms(candidate),
            ),
            false => {
                let prompt_tokens = f64::from(self.prompt.prompt_tokens);
                let kv_fetch_ms = profile.kv_fetch_ms(prompt_tokens);
                (
                    candidate.slowness * profile.remote_prefill_ms(prefill_tokens) + kv_fetch_ms,
                    decode_wait_ms,
                    self.decode_full_wait_ms,
                )
            }
        };
        Placement {
            index,
            uncached_tokens,
            fetch_from,
            is_local_prefill,
            first_event_ms: prefill_ms + slot_wait_ms + fetch_ms,
            wait_ms: candidate.queued_tokens * prefill_ms_per_token + slot_wait_ms,
            queue_ms: candidate.queued_tokens * prefill_ms_per_token + full_wait_ms,
        }
    }

    /// Returns `true` if a candidate is the home, the copy or the decode home.
    fn is_preferred(&self, index: usize) -> bool {
        [self.home, self.copy, self.decode_home].contains(&Some(index))
    }

    /// Returns the cost of a placement to other requests, in milliseconds.
    pub(super) fn cost_ms(&self, placement: &Placement) -> f64 {
        let candidate = &self.candidates[placement.index];
        let late_pause_cost =
            match placement.is_local_prefill && !self.keeps_streams_on_time(placement) {
                true => LATE_PAUSE_COST * self.input.profile.late_pause_rate(),
                false => 0.0,
            };
        let pauses_ms = late_pause_cost * self.input.latency_objective_ms;
        let shared_ms =
            f64::from(self.shared_tokens) * self.input.profile.remote_prefill_ms_per_token();
        candidate.penalty_ms + pauses_ms + self.caching_cost(placement.index) * shared_ms
    }

    /// Returns the cost of caching the shared parts on a candidate, as a fraction of
    /// the time to prefill the shared parts.
    ///
    /// The cost is 0 for the decode home and for the preferred one of the home and the
    /// copy.
    fn caching_cost(&self, index: usize) -> f64 {
        let is_cached =
            self.input.fleet_cached.is_some() && self.cached_tokens[index] >= self.shared_tokens;
        if is_cached || Some(index) == self.decode_home {
            return 0.0;
        }
        let (first, second) = match self.input.prefers_copy && self.is_prefill_majority {
            true => (self.copy.or(self.home), self.home),
            false => (self.home, self.copy),
        };
        match Some(index) {
            engine if engine == first => 0.0,
            engine if engine == second => SECOND_HOME_COST,
            _ => ADDITIONAL_COPY_COST,
        }
    }

    /// Predicts the wait of a new stream for a slot on a decode engine, in
    /// milliseconds. The result includes the slowdown of the new stream by those that
    /// run on the engine.
    fn slot_wait_ms(&self, candidate: &EngineCandidate) -> f64 {
        let slots = f64::from(candidate.slots.max(1));
        let requests = candidate.requests;
        let waiting = (requests + 1.0 - slots).max(0.0);
        let slowdown = FULL_SLOTS_COST * (requests / slots).min(1.0);
        (waiting / slots + slowdown) * self.slot_time_ms
    }

    /// Predicts the wait of a new stream on a decode engine whose slots are all in use, in
    /// milliseconds.
    fn full_wait_ms(&self, candidate: &EngineCandidate) -> f64 {
        let slots = f64::from(candidate.slots.max(1));
        let waiting = (candidate.requests + 1.0 - slots).max(0.0);
        waiting / slots * self.slot_time_ms
    }

    /// Returns the shortest of these waits on any open decode engine; 0 if none is open.
    fn least_full_wait_ms(&self) -> f64 {
        let decoders = self.candidates.iter();
        let decoders = decoders.filter(|candidate| !candidate.prefills() && candidate.is_open());
        let least = decoders
            .map(|candidate| self.full_wait_ms(candidate))
            .reduce(f64::min);
        least.unwrap_or(0.0)
    }

    /// Returns the shortest predicted wait for a slot on any open decode engine, in
    /// milliseconds; 0 if no decode engine is open.
    pub(super) fn decode_wait_ms(&self) -> f64 {
        let mut least: Option<f64> = None;
        for candidate in self.candidates {
            if candidate.prefills() || !candidate.is_open() {
                continue;
            }
            let wait_ms = self.slot_wait_ms(candidate);
            least = Some(least.map_or(wait_ms, |least| least.min(wait_ms)));
        }
        least.unwrap_or(0.0)
    }

    /// Returns `true` if the streams that run on the placement's engine are predicted
    /// to meet the objective for the time between two events during the prefill.
    fn keeps_streams_on_time(&self, placement: &Placement) -> bool {
        let candidate = &self.candidates[placement.index];
        let profile = self.input.profile;
        if candidate.requests < 1.0 {
            return true;
        }
        let event_ms = profile.event_ms(candidate.requests).unwrap_or(0.0);
        let prefill_tokens = candidate.queued_tokens + f64::from(placement.uncached_tokens);
        event_ms + prefill_tokens * profile.local_prefill_ms_per_token()
            <= self.input.event_objective_ms
    }

    /// Returns the candidate from which the candidate at `index` may fetch KV cache, and the
    /// number of leading prompt tokens that it is assumed to have cached then.
    fn find_source(&self, index: usize) -> (Option<usize>, u32) {
        if self.input.fleet_cached.is_none() {
            return (self.fetch_source(index), self.shared_tokens);
        }
        let domain = &self.candidates[index].failure_domain;
        let others = (0..self.candidates.len())
            .filter(|&other| other != index && !self.candidates[other].is_unreachable);
        let source = others.max_by_key(|&other| {
            let is_near = self.candidates[other].failure_domain == *domain;
            (self.fetchable_tokens[other], is_near, self.weights[other])
        });
        (
            source,
            source.map_or(0, |source| self.fetchable_tokens[source]),
        )
    }

    /// Returns the reachable candidate other than `index` that is most likely to
    /// have the shared parts cached.
    ///
    /// In order of preference, this is
    ///
    /// 1. a candidate that is known to have the shared parts cached,
    /// 2. a candidate of the more frequent role that was the home until it began
    ///    to leave,
    /// 3. the home, the copy or the decode home, if it is of the more frequent role,
    /// 4. the home, the copy or the decode home of the less frequent role,
    /// 5. the candidate with the highest rendezvous weight.
    ///
    /// Roles matter because prompt parts stay cached for longer on engines of the more
    /// frequent role.
    fn fetch_source(&self, index: usize) -> Option<usize> {
        let home_weight = self.home.map_or(0, |home| self.weights[home]);
        let others = (0..self.weights.len())
            .filter(|&other| other != index && !self.candidates[other].is_unreachable);
        others.max_by_key(|&other| {
            let candidate = &self.candidates[other];
            let is_known_cached = self.cached_tokens[other] >= self.shared_tokens;
            let was_home = candidate.is_excluded && self.weights[other] > home_weight;
            let keeps_longer = candidate.prefills() == self.is_prefill_majority;
            let is_preferred = self.is_preferred(other);
            (
                is_known_cached,
                was_home && keeps_longer,
                is_preferred && keeps_longer,
                is_preferred,
                self.weights[other],
            )
        })
    }
}
