//! What the dispatcher of a service knows, and whether it refuses a request.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{
    datagram::encode_reason,
    frames::{Query, Refused},
};
use crate::{
    gateway::target::loads::FleetLoad,
    policy::{
        cache_locality::CachedChains,
        dispatch::{Backlog, Ledger},
        engine_profile::{EngineProfile, LOCAL_PREFILL_FACTOR},
        placement::{EngineCandidate, Placement},
        shortage::{Admission, Decision, Offer, Request, ShortageState},
        target_speed::TargetSpeeds,
    },
    roster::Target,
};

/// What the dispatcher of a service knows.
#[derive(Debug, Default)]
pub(super) struct ServicePlan {
    pub(super) ledger: Ledger,
    /// Prompt parts that engines have cached, or will have once they have prefilled the
    /// prompts that were placed on them.
    pub(super) planned: CachedChains,
    /// Prompt parts that engines have cached.
    pub(super) cached: CachedChains,
    admission: Admission,
    pub(super) speeds: TargetSpeeds,
    /// Start of each known engine. An engine that starts again has nothing cached.
    pub(super) boots: IndexMap<Arc<str>, u64>,
}

impl ServicePlan {
    /// Forgets what is known of engines that are gone or have started again.
    pub(super) fn update_engines(&mut self, targets: &[Arc<Target>]) {
        let mut boots = IndexMap::with_capacity(targets.len());
        for target in targets {
            boots.insert(target.id.clone(), target.started_at_unix_ms);
        }
        if boots == self.boots {
            return;
        }
        let previous = &self.boots;
        let is_same = |id: &str| {
            boots
                .get(id)
                .is_some_and(|boot| previous.get(id) == Some(boot))
        };
        self.planned.retain(is_same);
        self.cached.retain(is_same);
        self.speeds.retain(is_same);
        self.boots = boots;
    }

    /// Returns the refusal of a request that the engines cannot serve in time; `None` if it
    /// is admitted.
    pub(super) fn refuse(
        &mut self,
        query: &Query,
        placement: &Placement,
        candidates: &[EngineCandidate],
        profile: &EngineProfile,
        now_ms: u64,
    ) -> Option<Refused> {
        let candidate = &candidates[placement.index];
        let ms_per_token = match placement.is_local_prefill {
            true => profile.local_prefill_ms_per_token(),
            false => profile.remote_prefill_ms_per_token(),
        };
        let request = Request {
            priority: query.priority.min(u8::MAX.into()) as u8,
            objective_ms: query.objective_ms.into(),
            left_ms: query.left_ms.into(),
            account: query.account,
            work_ms: f64::from(placement.uncached_tokens) * ms_per_token * candidate.slowness,
        };
        let offer = Offer {
            wait_ms: placement.queue_ms,
            mean_wait_ms: mean_wait_ms(candidates, profile),
            own_ms: placement.first_event_ms - placement.queue_ms,
            capacity: open_capacity(candidates),
        };
        let before = self.admission.state();
        let decision = self.admission.decide(&request, &offer, now_ms);
        let after = self.admission.state();
        if before != after {
            record_state(&query.service, after, &offer);
        }
        let Decision::Refuse {
            retry_after_ms,
            reason,
        } = decision
        else {
            return None;
        };
        Some(Refused {
            number: query.number,
            retry_after_ms: u32::try_from(retry_after_ms).unwrap_or(u32::MAX),
            wait_ms: placement.queue_ms as u32,
            reason: encode_reason(reason) as i32,
        })
    }

    pub(super) fn load(&self, target: &Target) -> FleetLoad {
        let Backlog {
            requests,
            queued_tokens,
        } = self.ledger.backlog(&target.id);
        FleetLoad {
            requests: requests.into(),
            queued_tokens: queued_tokens as f64,
        }
    }
}

/// Returns the number of engines that take prompts. An engine that decodes prefills at a
/// part of the speed.
fn open_capacity(candidates: &[EngineCandidate]) -> f64 {
    let mut capacity = 0.0;
    for candidate in candidates {
        if candidate.is_excluded || candidate.is_unreachable {
            continue;
        }
        capacity += match candidate.prefills() {
            true => 1.0,
            false => 1.0 / LOCAL_PREFILL_FACTOR,
        };
    }
    capacity
}

/// Returns the mean time until a prefill engine has prefilled the prompts that are queued on
/// it, in milliseconds; that of the other engines if no prefill engine takes prompts.
fn mean_wait_ms(candidates: &[EngineCandidate], profile: &EngineProfile) -> f64 {
    let (mut remote_ms, mut prefill_engines) = (0.0, 0.0);
    let (mut local_ms, mut other_engines) = (0.0, 0.0);
    for candidate in candidates {
        if candidate.is_excluded || candidate.is_unreachable {
            continue;
        }
        let slow_tokens = candidate.queued_tokens * candidate.slowness;
        if candidate.prefills() {
            remote_ms += slow_tokens * profile.remote_prefill_ms_per_token();
            prefill_engines += 1.0;
        } else {
            local_ms += slow_tokens * profile.local_prefill_ms_per_token();
            other_engines += 1.0;
        }
    }
    match prefill_engines > 0.0 {
        true => remote_ms / prefill_engines,
        false => local_ms / f64::max(other_engines, 1.0),
    }
}

fn record_state(service: &str, state: ShortageState, offer: &Offer) {
    tracing::info!(
        service,
        is_short = state.is_short(),
        wait_ms = offer.wait_ms as u64,
        capacity = offer.capacity,
        "dispatch: shortage of engines is now {state:?}"
    );
    let value = f64::from(u8::from(state.is_short()));
    metrics::gauge!("dispatch_shortage", "service" => service.to_owned()).set(value);
}
