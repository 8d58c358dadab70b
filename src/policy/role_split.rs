//! Split of a service's engines between prefill and decode, and the role changes
//! that lead to it.

use std::sync::Arc;

use indexmap::IndexSet;

use super::work_meter::EngineLoad;
use crate::target::protocol::EngineRole;

/// Utilization of the decode engines below which no role is changed.
const MIN_CHANGE_UTILIZATION: f64 = 0.45;

/// Smallest ratio of the current utilization to that with the best split at which
/// roles are changed. A smaller improvement isn't worth a change, during which the
/// engine is unavailable for seconds.
const MIN_IMPROVEMENT_FACTOR: f64 = 1.15;

/// Minimum number of decode engines, if a service has at least as many engines.
const MIN_DECODE_ENGINES: usize = 2;

/// A service may have one concurrent role change for each group of this many
/// engines, rounded up.
const ENGINES_PER_CHANGE: usize = 16;

/// State of an engine that runs and accepts requests.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitEngine {
    /// Role of the engine, or the role to which the engine was ordered to change.
    pub role: EngineRole,
    /// Whether the engine is changing its role.
    pub is_changing: bool,
    /// Whether the engine answers. Since an unreachable engine may recover soon, it
    /// counts as one of the service's engines and, if it prefills, of the prefill
    /// engines. It does not count towards the minimum number of decode engines, and
    /// gets no orders.
    pub is_reachable: bool,
    /// Failure domain of the engine.
    pub failure_domain: Arc<str>,
    /// Whether the platform may reclaim the engine.
    pub is_reclaimable: bool,
    /// Requests in flight on the engine.
    pub in_flight: u32,
}

/// A change of one engine's role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SplitChange {
    /// Index of the engine in the slice that was passed to the planner.
    pub index: usize,
    /// New role.
    pub role: EngineRole,
}

/// Returns how many of `engines` engines should prefill under a load, if
/// `prefilling` engines prefill now.
///
/// The result is the current number, lowered if necessary so that at least two
/// engines (or all, if there are fewer) decode. If the utilization of the decode
/// engines is at least `MIN_CHANGE_UTILIZATION`, and the best number of prefill
/// engines reduces it by at least the factor `MIN_IMPROVEMENT_FACTOR`, the result is
/// the best number.
#[must_use]
pub fn wanted_prefill_engines(load: &EngineLoad, engines: usize, prefilling: usize) -> usize {
    let max_prefill = engines.saturating_sub(MIN_DECODE_ENGINES);
    let current_utilization = load.utilization(engines, prefilling);
    let best = load.best_prefill_engines(engines).min(max_prefill);
    let best_utilization = load.utilization(engines, best);
    if current_utilization < MIN_CHANGE_UTILIZATION
        || current_utilization < best_utilization * MIN_IMPROVEMENT_FACTOR
    {
        return prefilling.min(max_prefill);
    }
    best
}

/// Returns the role changes to make at the same time.
///
/// Only a few engines change at a time, so that most remain available.
#[must_use]
pub fn plan_changes(engines: &[SplitEngine], wanted_prefill_engines: usize) -> Vec<SplitChange> {
    let mut engines = engines.to_vec();
    let mut changes = Vec::new();
    for _ in 0..engines.len().div_ceil(ENGINES_PER_CHANGE) {
        let Some(change) = plan_change(&engines, wanted_prefill_engines) else {
            break;
        };
        let engine = &mut engines[change.index];
        engine.role = change.role;
        engine.is_changing = true;
        changes.push(change);
    }
    changes
}

/// Returns the next role change, if one is needed.
///
/// Decode engines are spread over failure domains. For decode, engines that cannot
/// be reclaimed are preferred.
#[must_use]
pub fn plan_change(engines: &[SplitEngine], wanted_prefill_engines: usize) -> Option<SplitChange> {
    let role = wanted_role(engines, wanted_prefill_engines)?;
    let mut best: Option<(SelectionKey, usize)> = None;
    for (index, engine) in engines.iter().enumerate() {
        if engine.is_changing || !engine.is_reachable || engine.role == role {
            continue;
        }
        let key = selection_key(engines, engine, role);
        if best.as_ref().is_none_or(|(least_key, _)| key < *least_key) {
            best = Some((key, index));
        }
    }
    best.map(|(_, index)| SplitChange { index, role })
}

/// Returns the role that has too few engines; `None` if there is none.
fn wanted_role(engines: &[SplitEngine], wanted_prefill_engines: usize) -> Option<EngineRole> {
    let min_decoding = MIN_DECODE_ENGINES.min(engines.len());
    let decoding = count_engines(engines, |engine| {
        engine.is_reachable && engine.role != EngineRole::Prefill
    });
    if decoding < min_decoding {
        return Some(EngineRole::Decode);
    }
    if min_decoding == MIN_DECODE_ENGINES
        && decoding_domains(engines) == 1
        && can_span_domains(engines)
    {
        return Some(EngineRole::Decode);
    }
    let prefilling = count_engines(engines, |engine| engine.role == EngineRole::Prefill);
    if prefilling < wanted_prefill_engines && decoding > min_decoding {
        return Some(EngineRole::Prefill);
    }
    (prefilling > wanted_prefill_engines).then_some(EngineRole::Decode)
}

/// Counts the failure domains with a reachable engine that decodes or is changing
/// to decode.
fn decoding_domains(engines: &[SplitEngine]) -> usize {
    let mut domains: IndexSet<&Arc<str>> = IndexSet::new();
    for engine in engines {
        if engine.is_reachable && engine.role != EngineRole::Prefill {
            domains.insert(&engine.failure_domain);
        }
    }
    domains.len()
}

/// Returns whether an engine could change to decode in another failure domain
/// than that of the first decode engine.
fn can_span_domains(engines: &[SplitEngine]) -> bool {
    let mut decode_engines = engines
        .iter()
        .filter(|engine| engine.is_reachable && engine.role != EngineRole::Prefill);
    let Some(first_decode_engine) = decode_engines.next() else {
        return false;
    };
    engines.iter().any(|engine| {
        let may_change = engine.is_reachable && !engine.is_changing;
        may_change && engine.failure_domain != first_decode_engine.failure_domain
    })
}

/// Key by which engines are compared for a role; the engine with the smallest key
/// changes.
type SelectionKey = (bool, bool, i64, u32);

/// Returns an engine's key for a change to `role`.
///
/// A change to prefill prefers engines that are not the last decode engine of
/// their failure domain, then reclaimable ones, then those in the domain with the
/// most decode engines. A change to decode prefers engines in a domain without
/// decode engines, then those that cannot be reclaimed, then those in the domain
/// with the fewest decode engines. The last criterion is the fewest requests in
/// flight.
fn selection_key(engines: &[SplitEngine], engine: &SplitEngine, role: EngineRole) -> SelectionKey {
    let decode_engines_in_domain = count_engines(engines, |other| {
        other.role != EngineRole::Prefill && other.failure_domain == engine.failure_domain
    }) as i64;
    match role {
        EngineRole::Prefill => (
            decode_engines_in_domain == 1,
            !engine.is_reclaimable,
            -decode_engines_in_domain,
            engine.in_flight,
        ),
        _ => (
            decode_engines_in_domain > 0,
            engine.is_reclaimable,
            decode_engines_in_domain,
            engine.in_flight,
        ),
    }
}

fn count_engines<F>(engines: &[SplitEngine], mut predicate: F) -> usize
where
    F: FnMut(&SplitEngine) -> bool,
{
    engines.iter().filter(|engine| predicate(engine)).count()
}
