//! Arbitrary record bodies.

use arbtest::arbitrary::Unstructured;
use lavenderwind::{
    ledger::Ledger,
    log::records::{Duty, EngineRole, record::Body},
};

use super::{Arbitrary, Instance};
use crate::records::{
    KeySpec, acknowledge_window, checkpoint_mark, claim_duty, claim_request, close_window,
    crash_suspect, document, expire_records, order_intent, order_resolved, release_claim,
    renew_duty, request_outcome, resign_duty, revise_service, usage_slice,
};

const DUTIES: [Duty; 3] = [Duty::Fleet, Duty::Usage, Duty::Checkpoint];
const SERVICES: [&str; 2] = ["swaps", "steel"];
const TARGETS: [&str; 2] = ["engine-1", "engine-2"];

/// Picks a record body that the instance may write according to its own ledger,
/// which may be out of date.
pub(super) fn arbitrary_body(u: &mut Unstructured<'_>, instance: &mut Instance) -> Arbitrary<Body> {
    let duty = *u.choose(&DUTIES)?;
    let epoch = |duty| instance.ledger.duty(duty).map_or(0, |entry| entry.epoch);
    let target = *u.choose(&TARGETS)?;
    let key = format!("order-{}", u.int_in_range(0..=5)?);
    let claim = instance.ledger.claim("steel/nave", &key);
    let claim_offset = claim.map_or(0, |entry| entry.offset.0);
    Ok(match u.int_in_range(0..=18)? {
        0 | 1 => claim_duty(&instance.ledger, duty),
        2 => renew_duty(duty, epoch(duty)),
        3 => resign_duty(duty, epoch(duty)),
        4 | 17 => {
            let role = *u.choose(&[EngineRole::Prefill, EngineRole::Decode])?;
            order_intent(target, epoch(Duty::Fleet), role)
        }
        5 => {
            let open = instance.ledger.intent(target);
            order_resolved(target, open.map_or(0, |entry| entry.offset.0), true)
        }
        6 | 7 => claim_request("steel/nave", &key, &[u.int_in_range(0..=1)?]),
        8 => release_claim("steel/nave", &key, claim_offset),
        9 => request_outcome("steel/nave", &key, claim_offset, "done"),
        10 | 11 => arbitrary_revision(u, &instance.ledger)?,
        12 | 13 => arbitrary_slice(u, instance)?,
        14 => close_window(instance.ledger.open_window(), epoch(Duty::Usage)),
        15 => acknowledge_window(u.int_in_range(1..=instance.ledger.open_window())?),
        16 => {
            let applied = instance.ledger.applied().0;
            let up_to = u.int_in_range(0..=applied)?;
            if u.ratio(1, 3)? {
                expire_records(epoch(Duty::Checkpoint), up_to / 2)
            } else {
                checkpoint_mark(epoch(Duty::Checkpoint))
            }
        }
        _ => crash_suspect("swaps/pokhara", &[7], target, "boot-1"),
    })
}

fn arbitrary_revision(u: &mut Unstructured<'_>, ledger: &Ledger) -> Arbitrary<Body> {
    let service = *u.choose(&SERVICES)?;
    let mut keys = Vec::new();
    for id in 0..u.int_in_range(0..=2)? {
        // The secrets of the two services overlap in one value, 5, so that conflicts
        // are possible but rare.
        let shift = if service == "steel" { 4 } else { 0 };
        let secret = u.int_in_range(1..=5)? + shift;
        if keys.iter().any(|key: &KeySpec| key.secret == secret) {
            continue;
        }
        keys.push(KeySpec {
            id,
            secret,
            revoked: u.ratio(1, 4)?,
        });
    }
    let base = ledger.service(service).map_or(0, |entry| entry.revision);
    Ok(revise_service(service, base, &document(service, &keys)))
}

fn arbitrary_slice(u: &mut Unstructured<'_>, instance: &mut Instance) -> Arbitrary<Body> {
    let is_new = u.ratio(3, 4)? || instance.slices == 0;
    if is_new {
        instance.slices += 1;
    }
    let number = if is_new {
        instance.slices
    } else {
        u.int_in_range(1..=instance.slices)?
    };
    let window = instance.ledger.open_window();
    let requests = u.int_in_range(1..=9)?;
    let Body::UsageSlice(mut slice) = usage_slice(&instance.writer.name, number, window, requests)
    else {
        unreachable!();
    };
    slice.source_incarnation = instance.writer.incarnation;
    Ok(Body::UsageSlice(slice))
}
