//! Choice of the engine that prefills a prompt.

use std::sync::Arc;

use indexmap::IndexSet;
use lavenderwind::{
    call::{Prompt, PromptPart},
    policy::{
        cache_locality::{CachedChains, chain_hash},
        engine_profile::EngineProfile,
        placement::{EngineCandidate, Placement, PlacementInput, choose_prefill_engine},
    },
    target::protocol::EngineRole,
};

/// Tokens that fit into the cache of an engine.
const CAPACITY_TOKENS: u64 = 500_000;

fn engines(count: usize) -> Vec<EngineCandidate> {
    (0..count)
        .map(|index| EngineCandidate {
            id: format!("engine-{index}").into(),
            failure_domain: format!("domain-{}", index % 4).into(),
            role: EngineRole::Prefill,
            is_excluded: false,
            is_unreachable: false,
            queued_tokens: 0.0,
            requests: 0.0,
            slots: 64,
            penalty_ms: 0.0,
            slowness: 1.0,
        })
        .collect()
}

/// Returns a profile learned from prefill engines that prefill `tokens_per_ms`
/// tokens per millisecond, and from decode engines that prefill half as many.
fn profile(tokens_per_ms: f64) -> EngineProfile {
    let mut profile = EngineProfile::default();
    for step in 0..200 {
        let tokens = f64::from(step % 20) * 500.0;
        profile.observe_remote_prefill(tokens, 2.0 + tokens / tokens_per_ms);
        profile.observe_local_prefill(tokens, 6.0 + 2.0 * tokens / tokens_per_ms);
        profile.observe_kv_fetch(tokens, 8.0 + 0.001 * tokens);
        profile.observe_decode_time(step % 20 * 10, f64::from(step % 20) * 40.0);
        profile.observe_event(1.0, 45.0);
    }
    profile
}

fn place_with_profile(
    profile: &EngineProfile,
    prompt: &Prompt,
    engines: &[EngineCandidate],
    cached: &CachedChains,
    prefers_copy: bool,
) -> Option<Placement> {
    let input = PlacementInput {
        profile,
        cached,
        capacity_tokens: CAPACITY_TOKENS,
        token_transfer_ms: 0.0004,
        event_objective_ms: 250.0,
        latency_objective_ms: 500.0,
        prefers_copy,
        prefill_share: 1.0,
        sample_point: chain_hash(&prompt.parts),
        fleet_cached: None,
    };
    choose_prefill_engine(prompt, engines, &input)
}

fn place_prompt(
    prompt: &Prompt,
    engines: &[EngineCandidate],
    cached: &CachedChains,
) -> Option<Placement> {
    place_with_profile(&EngineProfile::default(), prompt, engines, cached, false)
}

/// Returns a prompt with two parts: a document, which many prompts share, and the
/// prompt's own query.
fn prompt(document: u64, own: u64) -> Prompt {
    Prompt {
        model: "m".into(),
        prompt_tokens: 17_000,
        max_output_tokens: 20,
        parts: vec![
            PromptPart {
                id: document,
                tokens: 13_300,
            },
            PromptPart {
                id: own,
                tokens: 3_700,
            },
        ],
    }
}

fn choose(prompt: &Prompt, engines: &[EngineCandidate], prefers_copy: bool) -> usize {
    let profile = EngineProfile::default();
    let placement = place_with_profile(
        &profile,
        prompt,
        engines,
        &CachedChains::default(),
        prefers_copy,
    );
    placement.unwrap().index
}

/// All instances choose the same home for a document, whatever the order of the engines.
#[test]
fn same_home_chosen() {
    let engines = engines(13);
    let mut reversed = engines.clone();
    reversed.reverse();
    for document in 0..50 {
        let here = &engines[choose(&prompt(document, 1), &engines, false)].id;
        let there = &reversed[choose(&prompt(document, 2), &reversed, false)].id;
        assert_eq!(here, there);
    }
}

#[test]
fn homes_spread_evenly() {
    let engines = engines(8);
    let mut homes = [0; 8];
    for document in 0..800 {
        homes[choose(&prompt(document, 1), &engines, false)] += 1;
    }
    assert!(
        homes.iter().all(|&count| (60..=140).contains(&count)),
        "{homes:?}"
    );
}

/// The copy of a document is in another failure domain than its home.
#[test]
fn copy_domain_differs() {
    let engines = engines(12);
    for document in 0..50 {
        let home = choose(&prompt(document, 1), &engines, false);
        let copy = choose(&prompt(document, 1), &engines, true);
        assert_ne!(engines[home].failure_domain, engines[copy].failure_domain);
        // If the platform reclaims the whole domain of the home, the copy becomes
        // the home.
        let mut left = engines.clone();
        let lost = left[home].failure_domain.clone();
        left.retain(|engine| engine.failure_domain != lost);
        let new_home = choose(&prompt(document, 1), &left, false);
        assert_eq!(left[new_home].id, engines[copy].id);
    }
}

/// A burst of prompts with the same document spreads over several engines.
#[test]
fn document_burst_spread() {
    let mut engines = engines(12);
    let prompt = prompt(7, 1);
    let mut used = IndexSet::new();
    for _ in 0..60 {
        let chosen = choose(&prompt, &engines, false);
        engines[chosen].queued_tokens += 3_700.0;
        used.insert(chosen);
    }
    let most = engines
        .iter()
        .map(|engine| engine.queued_tokens as u32)
        .max();
    assert!(
        used.len() >= 10,
        "a burst spreads beyond its home: {used:?}"
    );
    assert!(most <= Some(10 * 3_700), "{most:?}");
}

/// All instances see the same engine as idle, and learn only a second later that it
/// is no longer idle. Until then, most prompts must go to other engines.
#[test]
fn idle_engine_share() {
    let mut engines = engines(140);
    for engine in &mut engines[1..] {
        engine.queued_tokens = 50_000.0;
    }
    let mut to_idle = 0;
    for document in 0..500 {
        to_idle += usize::from(choose(&prompt(document, 1), &engines, false) == 0);
    }
    assert!(to_idle <= 100, "{to_idle} of 500 documents");
    assert!(
        to_idle >= 25,
        "the idle engine gets part of the load: {to_idle}"
    );
}

/// An unreachable engine is not used, and a leaving engine only as source of its KV cache.
#[test]
fn unreachable_engine_avoided() {
    let engines = engines(6);
    let prompt = prompt(7, 1);
    let home = choose(&prompt, &engines, false);
    let mut cached = CachedChains::default();
    cached.insert(&engines[home].id, &prompt.parts, CAPACITY_TOKENS);
    let mut crashed = engines.clone();
    crashed[home].is_unreachable = true;
    let choice = place_prompt(&prompt, &crashed, &cached).unwrap();
    assert_ne!(choice.index, home);
    assert_ne!(choice.fetch_from, Some(home));
    // A leaving engine still answers, so that its KV cache is fetched.
    let mut leaving = engines.clone();
    leaving[home].is_excluded = true;
    let choice = place_prompt(&prompt, &leaving, &cached).unwrap();
    assert_eq!(choice.fetch_from, Some(home));
}

/// Shared parts are fetched from a busy home, unless the chosen engine has them cached.
#[test]
fn busy_home_source() {
    let engines = engines(6);
    let prompt = prompt(7, 1);
    let home = choose(&prompt, &engines, false);
    let mut busy = engines.clone();
    busy[home].queued_tokens = 50_000.0;
    let choice = place_prompt(&prompt, &busy, &CachedChains::default()).unwrap();
    assert_ne!(choice.index, home);
    assert_eq!(choice.fetch_from, Some(home));
    assert_eq!(choice.uncached_tokens, 3_700);
    // An engine that has the parts cached does not fetch them again.
    let mut cached = CachedChains::default();
    cached.insert(&busy[choice.index].id, &prompt.parts, CAPACITY_TOKENS);
    let again = place_prompt(&prompt, &busy, &cached).unwrap();
    assert_eq!((again.index, again.fetch_from), (choice.index, None));
    // Later prompts evict the parts.
    let engine = busy[choice.index].id.clone();
    for other in 100..140 {
        let parts = crate::prompt(other, other).parts;
        cached.insert(&engine, &parts, CAPACITY_TOKENS);
    }
    let later = cached.cached_tokens(&engine, &prompt.parts, CAPACITY_TOKENS);
    assert_eq!(later, 0, "parts unused for long count as evicted");
}

/// Shared parts are fetched from a home that is leaving.
#[test]
fn leaving_home_source() {
    let mut engines = engines(6);
    let prompt = prompt(7, 1);
    let home = choose(&prompt, &engines, false);
    engines[home].is_excluded = true;
    let choice = place_prompt(&prompt, &engines, &CachedChains::default()).unwrap();
    assert_ne!(choice.index, home);
    assert_eq!(choice.fetch_from, Some(home));
}

/// No engine is chosen if none is open, and a removed engine has nothing cached.
#[test]
fn no_open_engine() {
    let mut engines = engines(1);
    engines[0].is_excluded = true;
    let none = place_prompt(&prompt(1, 1), &engines, &CachedChains::default());
    assert_eq!(none, None);
    let id: Arc<str> = "engine-0".into();
    let mut cached = CachedChains::default();
    cached.insert(&id, &prompt(1, 1).parts, CAPACITY_TOKENS);
    cached.remove_engine(&id);
    assert_eq!(
        cached.cached_tokens(&id, &prompt(1, 1).parts, CAPACITY_TOKENS),
        0
    );
}

/// A prompt must not go to its home if that is so slow that other engines read the prompt
/// sooner, and the prediction must tell how slow the chosen engine is.
#[test]
fn slow_home_avoided() {
    let prompt = long_prompt();
    let usual = engines(4);
    let cached = CachedChains::default();
    let profile = profile(50.0);
    let place = |engines: &[EngineCandidate]| {
        place_with_profile(&profile, &prompt, engines, &cached, false).unwrap()
    };
    let home = place(&usual);
    let mut slow_home = usual.clone();
    slow_home[home.index].slowness = 3.0;
    assert_ne!(place(&slow_home).index, home.index);
    let mut all_slow = usual;
    for engine in &mut all_slow {
        engine.slowness = 2.0;
    }
    let slow = place(&all_slow);
    assert_eq!(slow.index, home.index);
    assert!(
        slow.first_event_ms > 1.8 * home.first_event_ms,
        "{slow:?} {home:?}"
    );
}

/// Returns a prefill engine and a decode engine.
fn prefill_and_decode_engine() -> Vec<EngineCandidate> {
    let mut engines = engines(2);
    engines[1].role = EngineRole::Decode;
    engines[1].requests = 1.0;
    engines
}

fn short_prompt() -> Prompt {
    Prompt {
        model: "m".into(),
        prompt_tokens: 1_460,
        max_output_tokens: 20,
        parts: vec![
            PromptPart { id: 1, tokens: 350 },
            PromptPart {
                id: 2,
                tokens: 1_110,
            },
        ],
    }
}

/// Returns a prompt without a shared part.
fn long_prompt() -> Prompt {
    Prompt {
        parts: vec![PromptPart {
            id: 3,
            tokens: 17_000,
        }],
        ..prompt(1, 1)
    }
}

/// Only short prompts bypass the prefill queue, by prefill on an idle decode engine.
#[test]
fn short_prompts_local() {
    struct Case {
        name: &'static str,
        prompt: Prompt,
        prefill_queued_tokens: f64,
        decode_queued_tokens: f64,
        is_local_prefill: bool,
    }
    let cases = [
        Case {
            name: "prefill engine is idle",
            prompt: prompt(1, 1),
            prefill_queued_tokens: 0.0,
            decode_queued_tokens: 0.0,
            is_local_prefill: false,
        },
        Case {
            name: "short prompt bypasses the queue of the prefill engine",
            prompt: short_prompt(),
            prefill_queued_tokens: 10_000.0,
            decode_queued_tokens: 0.0,
            is_local_prefill: true,
        },
        Case {
            name: "decode engine has a queue as well",
            prompt: short_prompt(),
            prefill_queued_tokens: 10_000.0,
            decode_queued_tokens: 5_000.0,
            is_local_prefill: false,
        },
        Case {
            name: "long prompt would delay streams of the decode engine",
            prompt: long_prompt(),
            prefill_queued_tokens: 10_000.0,
            decode_queued_tokens: 0.0,
            is_local_prefill: false,
        },
    ];
    let profile = profile(56.0);
    for case in cases {
        let mut engines = prefill_and_decode_engine();
        engines[0].queued_tokens = case.prefill_queued_tokens;
        engines[1].queued_tokens = case.decode_queued_tokens;
        let placement = place_with_profile(
            &profile,
            &case.prompt,
            &engines,
            &CachedChains::default(),
            false,
        );
        assert_eq!(
            placement.unwrap().is_local_prefill,
            case.is_local_prefill,
            "{}",
            case.name
        );
    }
}

/// The choice follows the learned profile instead of constants of one engine model.
/// The same prompt is placed on engines a quarter as fast, as fast and four times as
/// fast as usual, and on engines with slow KV cache fetches.
#[test]
fn learned_speed_used() {
    for factor in [0.25, 1.0, 4.0] {
        let profile = profile(56.0 * factor);
        let mut engines = prefill_and_decode_engine();
        engines[0].queued_tokens = 10_000.0 * factor;
        let placement = place_with_profile(
            &profile,
            &short_prompt(),
            &engines,
            &CachedChains::default(),
            false,
        );
        assert!(placement.unwrap().is_local_prefill, "speed x {factor}");
    }
    let mut slow_links = profile(56.0);
    for _ in 0..400 {
        slow_links.observe_kv_fetch(1_460.0, 400.0);
    }
    let placement = place_with_profile(
        &slow_links,
        &short_prompt(),
        &prefill_and_decode_engine(),
        &CachedChains::default(),
        false,
    );
    assert!(
        placement.unwrap().is_local_prefill,
        "KV cache fetches are slow"
    );
}

#[test]
fn full_engines_overloaded() {
    let profile = profile(56.0);
    let mut engines = prefill_and_decode_engine();
    engines[0].is_excluded = true;
    let is_overloaded = |requests: u32| {
        let mut engines = engines.clone();
        engines[1].requests = f64::from(requests);
        let prompt = short_prompt();
        let placement =
            place_with_profile(&profile, &prompt, &engines, &CachedChains::default(), false);
        placement.unwrap().is_overloaded(250.0)
    };
    assert!(!is_overloaded(0), "an idle engine");
    assert!(!is_overloaded(63), "a slot is free");
    assert!(is_overloaded(500), "many wait for a slot");
}

/// A burst of short prompts arrives in addition to long ones, with five prefill and
/// two decode engines, as after the loss of a third of the engines. With local
/// prefill on the decode engines, more of the short prompts must be prefilled on
/// time.
#[test]
fn local_prefill_burst() {
    let profile = profile(56.0);
    let on_time_share = |uses_decode: bool| {
        let mut engines = engines(7);
        for engine in &mut engines[5..] {
            engine.role = EngineRole::Decode;
        }
        let (mut on_time, mut prompts) = (0, 0);
        for step in 0..4_000_u32 {
            // A step is a millisecond, in which a prefill engine processes 56 tokens
            // and a decode engine 28.
            for engine in &mut engines {
                let prefilled_tokens = match engine.role {
                    EngineRole::Prefill => 56.0,
                    _ => 28.0,
                };
                engine.queued_tokens = (engine.queued_tokens - prefilled_tokens).max(0.0);
            }
            if step % 13 == 0 {
                least_queued(&mut engines[..5]).queued_tokens += 3_700.0;
            }
            if step % 12 != 0 {
                continue;
            }
            prompts += 1;
            let prompt = short_prompt();
            let offered = match uses_decode {
                true => &engines[..],
                false => &engines[..5],
            };
            let placement =
                place_with_profile(&profile, &prompt, offered, &CachedChains::default(), false);
            let placement = placement.unwrap();
            let engine = &mut engines[placement.index];
            engine.queued_tokens += f64::from(placement.uncached_tokens);
            let prefill_tokens_per_ms = if placement.is_local_prefill {
                28.0
            } else {
                56.0
            };
            on_time += u32::from(engine.queued_tokens / prefill_tokens_per_ms <= 500.0);
        }
        f64::from(on_time) / f64::from(prompts)
    };
    let (with_local, without_local) = (on_time_share(true), on_time_share(false));
    assert!(
        with_local > without_local + 0.1,
        "{with_local} against {without_local}"
    );
}

fn least_queued(engines: &mut [EngineCandidate]) -> &mut EngineCandidate {
    let least = engines
        .iter_mut()
        .min_by(|a, b| a.queued_tokens.total_cmp(&b.queued_tokens));
    least.expect("there are engines")
}

/// Shared parts have a home among the prefill engines and one among the decode
/// engines, and a decode engine also caches the prompts that prefill engines hand
/// over to it. With more decode than prefill engines, the shared parts are fetched
/// from the home among the decode engines.
#[test]
fn decode_home_source() {
    let mut engines = engines(8);
    for engine in &mut engines[2..] {
        engine.role = EngineRole::Decode;
        engine.requests = 60.0;
    }
    let profile = profile(56.0);
    for document in 0..20 {
        let prompt = prompt(document, 1);
        let cached = CachedChains::default();
        let placement = place_with_profile(&profile, &prompt, &engines, &cached, false).unwrap();
        let Some(source) = placement.fetch_from else {
            panic!("the shared parts are not fetched");
        };
        assert_eq!(engines[source].role, EngineRole::Decode);
    }
}

/// Places a prompt with what the fleet has cached.
fn place_in_fleet(
    prompt: &Prompt,
    engines: &[EngineCandidate],
    planned: &CachedChains,
    cached: &CachedChains,
) -> Placement {
    let profile = profile(50.0);
    let input = PlacementInput {
        profile: &profile,
        cached: planned,
        capacity_tokens: CAPACITY_TOKENS,
        token_transfer_ms: 0.0004,
        event_objective_ms: 250.0,
        latency_objective_ms: 500.0,
        prefers_copy: false,
        prefill_share: 1.0,
        sample_point: 0,
        fleet_cached: Some(cached),
    };
    choose_prefill_engine(prompt, engines, &input).unwrap()
}

/// A prompt with a long shared part that no engine has must count with all its tokens: cold
/// caches after a start or a loss of engines made placements look 10 times too cheap.
#[test]
fn cold_parts_counted() {
    let none = CachedChains::default();
    let prompt = prompt(1, 2);
    let placed = place_in_fleet(&prompt, &engines(40), &none, &none);
    assert_eq!(placed.fetch_from, None);
    assert_eq!(placed.uncached_tokens, prompt.prompt_tokens);
}

/// Shared parts that some engine has must be fetched from that engine, not from one that would
/// probably have them, and not read again.
#[test]
fn known_source_fetched() {
    let prompt = prompt(1, 2);
    let mut engines = engines(40);
    for source in 0..engines.len() {
        let mut cached = CachedChains::default();
        cached.insert(&engines[source].id, prompt.shared_parts(), CAPACITY_TOKENS);
        engines[source].queued_tokens = 200_000.0;
        let placed = place_in_fleet(&prompt, &engines, &CachedChains::default(), &cached);
        engines[source].queued_tokens = 0.0;
        assert_eq!(placed.fetch_from, Some(source));
        assert_eq!(placed.uncached_tokens, prompt.unshared_tokens());
    }
}

/// A busy engine must not get a prompt because it has the shared parts, if a free one can
/// fetch them; in a large fleet all engines must be compared, not a sample.
#[test]
fn free_engine_found() {
    let prompt = prompt(1, 2);
    let mut engines = engines(60);
    for engine in &mut engines {
        engine.queued_tokens = 100_000.0;
    }
    let mut cached = CachedChains::default();
    cached.insert(&engines[3].id, prompt.shared_parts(), CAPACITY_TOKENS);
    for free in 0..engines.len() {
        engines[free].queued_tokens = 0.0;
        let placed = place_in_fleet(&prompt, &engines, &cached, &cached);
        engines[free].queued_tokens = 100_000.0;
        assert_eq!(placed.index, free);
    }
}
