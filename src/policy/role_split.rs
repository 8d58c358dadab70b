//! How many engines of a service prefill, and which one changes its role next.

use std::sync::Arc;

use indexmap::IndexSet;

use super::work_meter::EngineLoad;
use crate::target::protocol::EngineRole;

/// Utilization of engines below which no role is changed.
const MIN_CHANGE_UTILIZATION: f64 = 0.45;

/// Factor by which a change must lower the utilization: an engine that changes
/// its role is away for seconds.
const MIN_IMPROVEMENT_FACTOR: f64 = 1.15;

/// Fewest engines that decode, where there are more than that.
const MIN_DECODE_ENGINES: usize = 2;

/// Engines of a fleet for each that changes its role at the same time.
const ENGINES_PER_CHANGE: usize = 16;

/// An engine that runs and takes requests.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitEngine {
    /// Its role, or that which it was ordered to take.
    pub role: EngineRole,
    /// Whether it is changing its role.
    pub is_changing: bool,
    /// Whether it answers. One that does not may soon again: it counts, and
    /// gets no orders.
    pub is_reachable: bool,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Whether the platform may reclaim it.
    pub is_reclaimable: bool,
    /// Requests in flight on it.
    pub in_flight: u32,
}

/// A change of one engine's role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SplitChange {
    /// Index of the engine.
    pub index: usize,
    /// New role.
    pub role: EngineRole,
}

/// Returns how many engines should prefill under a load, given how many do:
/// another number only if it relieves the engines enough.
#[must_use]
pub fn wanted_prefill_engines(load: &EngineLoad, engines: usize, prefilling: usize) -> usize {
    let max_prefill = engines.saturating_sub(MIN_DECODE_ENGINES);
    let current = load.utilization(engines, prefilling);
    let best = load.best_prefill_engines(engines).min(max_prefill);
    let planned = load.utilization(engines, best);
    if current < MIN_CHANGE_UTILIZATION || current < planned * MIN_IMPROVEMENT_FACTOR {
        return prefilling.min(max_prefill);
    }
    best
}

/// Returns the changes of roles that are made together: a few engines of a
/// fleet at a time, so that most go on.
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

/// Returns the next change of a role, if one is needed.
///
/// Engines that decode are spread over failure domains and are kept among
/// those that cannot be reclaimed.
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

/// Returns the role of which there are too few engines.
fn wanted_role(engines: &[SplitEngine], wanted_prefill_engines: usize) -> Option<EngineRole> {
    let min_decoding = MIN_DECODE_ENGINES.min(engines.len());
    let decoding = count(engines, |engine| {
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
    let prefilling = count(engines, |engine| engine.role == EngineRole::Prefill);
    if prefilling < wanted_prefill_engines && decoding > min_decoding {
        return Some(EngineRole::Prefill);
    }
    (prefilling > wanted_prefill_engines).then_some(EngineRole::Decode)
}

/// Counts the failure domains with an engine that decodes, or is about to.
fn decoding_domains(engines: &[SplitEngine]) -> usize {
    let mut domains: IndexSet<&Arc<str>> = IndexSet::new();
    for engine in engines {
        if engine.is_reachable && engine.role != EngineRole::Prefill {
            domains.insert(&engine.failure_domain);
        }
    }
    domains.len()
}

/// Returns whether an engine outside the failure domain of one that decodes
/// could do so, too.
fn can_span_domains(engines: &[SplitEngine]) -> bool {
    let mut decoding = engines
        .iter()
        .filter(|engine| engine.is_reachable && engine.role != EngineRole::Prefill);
    let Some(decoding) = decoding.next() else {
        return false;
    };
    engines.iter().any(|engine| {
        let may_change = engine.is_reachable && !engine.is_changing;
        may_change && engine.failure_domain != decoding.failure_domain
    })
}

/// Order in which engines are chosen for a role; the least comes first.
type SelectionKey = (bool, bool, i64, u32);

fn selection_key(engines: &[SplitEngine], engine: &SplitEngine, role: EngineRole) -> SelectionKey {
    let decoding = count(engines, |other| {
        other.role != EngineRole::Prefill && other.failure_domain == engine.failure_domain
    }) as i64;
    match role {
        EngineRole::Prefill => (
            decoding == 1,
            !engine.is_reclaimable,
            -decoding,
            engine.in_flight,
        ),
        _ => (
            decoding > 0,
            engine.is_reclaimable,
            decoding,
            engine.in_flight,
        ),
    }
}

fn count<F>(engines: &[SplitEngine], mut predicate: F) -> usize
where
    F: FnMut(&SplitEngine) -> bool,
{
    engines.iter().filter(|engine| predicate(engine)).count()
}
