//! Where prompts with shared parts are prefilled.

use std::sync::Arc;

use indexmap::IndexSet;
use lavenderwind::{
    call::{Prompt, PromptPart},
    policy::homes::{CachedChains, PrefillCandidate, choose_prefill},
};

fn engines(count: usize) -> Vec<PrefillCandidate> {
    (0..count)
        .map(|index| PrefillCandidate {
            id: format!("engine-{index}").into(),
            failure_domain: format!("domain-{}", index % 4).into(),
            is_leaving: false,
            is_unreachable: false,
            queued_tokens: 0.0,
            penalty_tokens: 0.0,
        })
        .collect()
}

/// A dossier that many queries share, and the query's own part.
fn prompt(dossier: u64, own: u64) -> Prompt {
    Prompt {
        model: "m".into(),
        prompt_tokens: 17_000,
        max_output_tokens: 20,
        parts: vec![
            PromptPart {
                id: dossier,
                tokens: 13_300,
            },
            PromptPart {
                id: own,
                tokens: 3_700,
            },
        ],
    }
}

fn choose(prompt: &Prompt, engines: &[PrefillCandidate], copy: bool) -> usize {
    let choice = choose_prefill(prompt, engines, &CachedChains::default(), copy, 0);
    choice.unwrap().index
}

#[test]
fn same_home_everywhere() {
    let engines = engines(13);
    let mut reversed = engines.clone();
    reversed.reverse();
    for dossier in 0..50 {
        let here = &engines[choose(&prompt(dossier, 1), &engines, false)].id;
        let there = &reversed[choose(&prompt(dossier, 2), &reversed, false)].id;
        assert_eq!(here, there);
    }
}

#[test]
fn homes_are_spread() {
    let engines = engines(8);
    let mut homes = [0; 8];
    for dossier in 0..800 {
        homes[choose(&prompt(dossier, 1), &engines, false)] += 1;
    }
    assert!(
        homes.iter().all(|&count| (60..=140).contains(&count)),
        "{homes:?}"
    );
}

#[test]
fn copy_in_another_domain() {
    let engines = engines(12);
    for dossier in 0..50 {
        let home = choose(&prompt(dossier, 1), &engines, false);
        let copy = choose(&prompt(dossier, 1), &engines, true);
        assert_ne!(engines[home].failure_domain, engines[copy].failure_domain);
        // When the platform reclaims the home's whole domain, the copy is home.
        let mut left = engines.clone();
        let lost = left[home].failure_domain.clone();
        left.retain(|engine| engine.failure_domain != lost);
        let heir = choose(&prompt(dossier, 1), &left, false);
        assert_eq!(left[heir].id, engines[copy].id);
    }
}

#[test]
fn burst_on_one_dossier() {
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
    assert!(used.len() >= 10, "a burst leaves its home: {used:?}");
    assert!(most <= Some(10 * 3_700), "{most:?}");
}

/// All instances know the same engine to be idle, and learn only a second later
/// that it no longer is.
#[test]
fn idle_engine_is_not_overrun() {
    let mut engines = engines(140);
    for engine in &mut engines[1..] {
        engine.queued_tokens = 50_000.0;
    }
    let mut to_idle = 0;
    for dossier in 0..500 {
        to_idle += usize::from(choose(&prompt(dossier, 1), &engines, false) == 0);
    }
    assert!(to_idle <= 100, "{to_idle} of 500 dossiers");
    assert!(to_idle >= 25, "it takes part of the load: {to_idle}");
}

#[test]
fn nothing_comes_from_a_crashed_engine() {
    let engines = engines(6);
    let prompt = prompt(7, 1);
    let home = choose(&prompt, &engines, false);
    let mut cached = CachedChains::default();
    cached.insert(&engines[home].id, &prompt.parts, 0);
    let mut crashed = engines.clone();
    crashed[home].is_unreachable = true;
    let choice = choose_prefill(&prompt, &crashed, &cached, false, 1).unwrap();
    assert_ne!(choice.index, home);
    assert_ne!(choice.fetch_from, Some(home));
    // One that leaves still answers.
    let mut leaving = engines.clone();
    leaving[home].is_leaving = true;
    let choice = choose_prefill(&prompt, &leaving, &cached, false, 1).unwrap();
    assert_eq!(choice.fetch_from, Some(home));
}

#[test]
fn shared_parts_are_fetched() {
    let engines = engines(6);
    let prompt = prompt(7, 1);
    let home = choose(&prompt, &engines, false);
    let mut busy = engines.clone();
    busy[home].queued_tokens = 50_000.0;
    let choice = choose_prefill(&prompt, &busy, &CachedChains::default(), false, 0).unwrap();
    assert_ne!(choice.index, home);
    assert_eq!(choice.fetch_from, Some(home));
    assert_eq!(choice.uncached_tokens, 3_700);
    // Once it has read the parts, it fetches them no more.
    let mut cached = CachedChains::default();
    cached.insert(&busy[choice.index].id, &prompt.parts, 0);
    let again = choose_prefill(&prompt, &busy, &cached, false, 1).unwrap();
    assert_eq!((again.index, again.fetch_from), (choice.index, None));
    let later = cached.cached_tokens(&busy[choice.index].id, &prompt.parts, 60_000);
    assert_eq!(later, 0, "what was long unused counts as evicted");
}

#[test]
fn leaving_home_is_a_source() {
    let mut engines = engines(6);
    let prompt = prompt(7, 1);
    let home = choose(&prompt, &engines, false);
    engines[home].is_leaving = true;
    let choice = choose_prefill(&prompt, &engines, &CachedChains::default(), false, 0).unwrap();
    assert_ne!(choice.index, home);
    assert_eq!(choice.fetch_from, Some(home));
}

#[test]
fn no_engine_is_left() {
    let mut engines = engines(1);
    engines[0].is_leaving = true;
    let none = choose_prefill(&prompt(1, 1), &engines, &CachedChains::default(), false, 0);
    assert_eq!(none, None);
    let id: Arc<str> = "engine-0".into();
    let mut cached = CachedChains::default();
    cached.insert(&id, &prompt(1, 1).parts, 0);
    cached.forget(&id);
    assert_eq!(cached.cached_tokens(&id, &prompt(1, 1).parts, 0), 0);
}
