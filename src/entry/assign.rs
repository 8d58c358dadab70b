//! Chooses the target of a queued request, and updates the route table with
//! measurements of the answer.

use crate::{
    entry::{permit::TargetMeasurement, waiting::Waiter},
    infra::protocol::TargetState,
    policy::routing::{Availability, Choice, RouteError, RouteTable},
    target::table::TargetView,
};

/// Chooses a target for a request.
///
/// Targets that the request excludes are used only if no other is available.
pub(super) fn choose_target(
    routes: &RouteTable,
    waiter: &Waiter,
    now_ms: u64,
) -> std::result::Result<Choice, RouteError> {
    let mut rng = rand::rng();
    let request = waiter.demand.route_request(waiter.left_ms(now_ms));
    let preferred = request.clone().excluded(&waiter.excluded);
    match routes.choose(&preferred, now_ms, &mut rng) {
        Err(RouteError::Unavailable) if !waiter.excluded.is_empty() => {
            routes.choose(&request, now_ms, &mut rng)
        }
        other => other,
    }
}

/// Updates the route table with the measurements of one answer.
pub(super) fn observe_measurement(
    routes: &mut RouteTable,
    choice: &Choice,
    measurement: &TargetMeasurement,
) {
    let target = &choice.target;
    if let Some(between_tokens_ms) = measurement.between_tokens_ms {
        routes.observe_between_tokens(target, between_tokens_ms);
    }
    if let Some(latency_ms) = measurement.latency_ms {
        routes.observe_latency(target, latency_ms);
    }
    if let Some(cached_tokens) = measurement.cached_tokens
        && choice.prefill.is_none()
    {
        let prefixes = routes.prefixes_mut();
        prefixes.observe_cached_tokens(target, choice.cached_tokens, cached_tokens);
    }
}

/// Whether the name, report time, state and health of a target are the same in
/// two snapshots; `known` is from the earlier one.
pub(super) fn is_unchanged(known: &TargetView, view: &TargetView) -> bool {
    known.name == view.name
        && known.reported_at == view.reported_at
        && known.state == view.state
        && known.health == view.health
}

/// Whether two snapshots list the same target names in the same order.
pub(super) fn has_same_names(known: &[TargetView], snapshot: &[TargetView]) -> bool {
    let mut pairs = known.iter().zip(snapshot);
    known.len() == snapshot.len() && pairs.all(|(known, view)| known.name == view.name)
}

/// Finds a target by name.
pub(super) fn find_target(snapshot: &[TargetView], name: &str) -> Option<TargetView> {
    snapshot.iter().find(|view| &*view.name == name).cloned()
}

/// Returns the availability of a target for new requests.
pub(super) fn availability(view: &TargetView) -> Availability {
    let changing = view.engine.as_ref().is_some_and(|engine| engine.changing);
    match view.state {
        TargetState::Starting => Availability::Starting,
        TargetState::Leaving => Availability::Leaving,
        TargetState::Live if changing => Availability::Changing,
        TargetState::Live if view.is_available() => Availability::Live,
        TargetState::Live => Availability::Unhealthy,
    }
}
