//! Tells operators where a request would go now and why, without sending it.
//!
//! The decisions are those that are made for requests of callers. A prompt is placed as this
//! instance places it by itself.

use std::{
    fmt::{self, Write},
    sync::Arc,
};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use salvo::{Response, handler, writing::Text};
use tokio::time::Instant;

use crate::{
    call::{Call, Caller, Prompt},
    catalog::RouteKind,
    gateway::{
        admission::permit::{ReceivedRequest, admit},
        caller::reply::Refusal,
        engine::{
            decode,
            placement::{self, PrefillChoice},
        },
        state::State,
        target::plain,
    },
    platform::{asked_parts, read_caller_head},
    policy::spread::chances,
    roster::Target,
};

/// Handler of `GET /destination?host=HOST&path=PATH`, whose headers are those of the request.
pub(super) struct Destination(pub(super) Arc<State>);

#[handler]
impl Destination {
    async fn handle(&self, request: &mut salvo::Request, response: &mut Response) {
        let host = request.query::<String>("host").unwrap_or_default();
        let path = request.query::<String>("path").unwrap_or_default();
        let (status, text) = match describe(&self.0, request.headers().clone(), &host, &path).await
        {
            Ok(text) => (StatusCode::OK, text),
            Err(refusal) => (refusal.status(), format!("refused: {refusal}\n")),
        };
        response.status_code(status);
        response.render(Text::Plain(text));
    }
}

/// Returns where a request would go and why.
async fn describe(
    state: &Arc<State>,
    headers: HeaderMap,
    host: &str,
    path: &str,
) -> Result<String, Refusal> {
    if state.not_ready_reason().is_some() {
        return Err(Refusal::NotReady);
    }
    let call = read_call(state, headers, host, path)?;
    if let Some(left) = state.quarantine_left(&call) {
        return Err(Refusal::quarantined(left));
    }
    let mut text = format!(
        "route {}, service {}, account {}, priority {}\n",
        call.route.name,
        call.service,
        call.account_name(),
        call.priority
    );
    let described = match call.route.kind {
        RouteKind::Stream { .. } => describe_engines(state, &call, &mut text).await,
        RouteKind::Idempotent | RouteKind::Once => describe_plain(state, &call, &mut text),
    };
    match described {
        Ok(true) => Ok(text),
        // Writing to a string does not fail.
        Ok(false) | Err(fmt::Error) => Err(Refusal::NoTarget),
    }
}

/// Converts the asked request into a call, as one of a caller.
fn read_call(state: &State, headers: HeaderMap, host: &str, path: &str) -> Result<Call, Refusal> {
    let parts = asked_parts(headers, host, path).ok_or(Refusal::BadRequest)?;
    let head = read_caller_head(&parts).map_err(|_| Refusal::BadRequest)?;
    let received = ReceivedRequest {
        head: &head,
        parts: &parts,
        body: Bytes::new(),
        received_at: Instant::now(),
        caller: Caller::default(),
    };
    admit(state, received)
}

/// Describes the choice of a plain target. Returns false if there is none.
fn describe_plain(state: &State, call: &Call, text: &mut String) -> Result<bool, fmt::Error> {
    let candidates = plain::candidates(state, call, &[]);
    let Some(chosen) = plain::choose(state, &candidates) else {
        return Ok(false);
    };
    writeln!(text, "target {}", candidates.targets[chosen].id)?;
    let chances = chances(&candidates.spread, &plain::WEIGHTS);
    for (index, target) in candidates.targets.iter().enumerate() {
        let spread = &candidates.spread[index];
        write!(
            text,
            "  {} in {}: load {:.1} of {}, slowness {:.2}, failures {:.2}, cost {:.2}",
            target.id,
            target.failure_domain,
            spread.in_flight,
            spread.slots,
            spread.slowness,
            spread.failure_rate,
            spread.cost(&plain::WEIGHTS),
        )?;
        // Without learned speeds the candidate with the lowest cost is chosen.
        if state.settings.placement.shared {
            write!(text, ", chance {:.2}", chances[index])?;
        }
        writeln!(text)?;
    }
    Ok(true)
}

/// Describes the choice of engines. Returns false if there is none that decodes.
async fn describe_engines(
    state: &Arc<State>,
    call: &Call,
    text: &mut String,
) -> Result<bool, fmt::Error> {
    if !decode::has_engine(state, &call.service) {
        return Ok(false);
    }
    let mut failure_domain = state.settings.failure_domain.clone();
    if let Some(prompt) = &call.prompt
        && let Some(choice) = placement::choose_alone(state, call, prompt, &[]).await
    {
        write_prefill(state, prompt, &choice, text)?;
        if choice.is_local_prefill {
            return Ok(true);
        }
        failure_domain = choice.target.failure_domain.clone();
    }
    let Some(choice) = decode::choose_engine(state, call, &failure_domain, &[]) else {
        return Ok(false);
    };
    writeln!(
        text,
        "decode at {}: requests {:.1} of {}, queued tokens {:.0}{}",
        choice.target.id,
        choice.requests,
        choice.target.slots,
        choice.queued_tokens,
        speed(state, &choice.target, choice.requests),
    )?;
    Ok(true)
}

fn write_prefill(
    state: &State,
    prompt: &Prompt,
    choice: &PrefillChoice,
    text: &mut String,
) -> fmt::Result {
    let place = match choice.is_local_prefill {
        true => "prefill and decode at",
        false => "prefill at",
    };
    let fetch_from = choice.fetch_from.as_ref().map_or("-", |source| &source.id);
    writeln!(
        text,
        "{place} {}: requests {:.1} of {}, queued tokens {:.0}, uncached tokens {} of {}, \
         fetch from {fetch_from}, first event in {:.0} ms, of this wait {:.0} ms{}",
        choice.target.id,
        choice.requests,
        choice.target.slots,
        choice.queued_tokens,
        choice.uncached_tokens,
        prompt.prompt_tokens,
        choice.first_event_ms,
        choice.wait_ms,
        speed(state, &choice.target, choice.requests),
    )?;
    if choice.is_overloaded {
        writeln!(text, "would be refused: the wait is too long")?;
    }
    Ok(())
}

/// Describes the speed and the recent failures of a target.
fn speed(state: &State, target: &Target, load: f64) -> String {
    let failure_rate = state.loads().failure_rate(&target.id);
    let slowness = state.slowness(&target.id, load);
    format!(", slowness {slowness:.2}, failures {failure_rate:.2}")
}
