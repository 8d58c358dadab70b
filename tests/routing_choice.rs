//! Choice of targets by the routing table.

use std::sync::Arc;

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use lavenderwind::{
    policy::routing::{Availability, RouteError, RouteRequest, RouteSettings, RouteTable},
    target::protocol::{EngineRole, EngineState, LoadedModel},
};
use rand::{SeedableRng, rngs::SmallRng};

const SEEDS: [u64; 8] = [
    0x5eed_0011_0000_1000,
    0x5eed_0012_0000_1000,
    0x5eed_0013_0000_1000,
    0x5eed_0014_0000_1000,
    0x5eed_0015_0000_2000,
    0x5eed_0016_0000_2000,
    0x5eed_0017_0000_2000,
    0x5eed_0018_0000_2000,
];

fn state() -> EngineState {
    EngineState {
        boot: "boot-1".into(),
        report_age_ms: 0,
        role: EngineRole::Mixed,
        changing: false,
        models: vec![LoadedModel {
            model: "quote".into(),
            version: "2".into(),
            adapters: vec!["steel".into()],
        }],
        running: 0,
        waiting: 0,
        waiting_prefill_tokens: 0,
        used_blocks: 0,
        total_blocks: 2_000,
        prefill_tokens_per_s: 8_000,
        decode_tokens_per_s: 40,
        epoch: 0,
        last_order_id: 0,
    }
}

fn table() -> RouteTable {
    RouteTable::new(RouteSettings::default())
}

fn request() -> RouteRequest<'static> {
    RouteRequest::new("engine")
        .model("quote", "2")
        .tokens(800, 160)
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

fn check_seeds<F>(mut property: F)
where
    F: FnMut(&mut Unstructured<'_>) -> Result<()>,
{
    for seed in SEEDS {
        arbtest(&mut property).seed(seed).run();
    }
}

fn random_state(u: &mut Unstructured<'_>) -> Result<EngineState> {
    let mut state = state();
    state.models[0].model = (*u.choose(&["quote", "tags"])?).into();
    state.models[0].version = (*u.choose(&["1", "2"])?).into();
    if u.ratio(1, 2)? {
        state.models[0].adapters.clear();
    }
    state.changing = u.ratio(1, 8)?;
    state.role = *u.choose(&[
        EngineRole::Mixed,
        EngineRole::Mixed,
        EngineRole::Prefill,
        EngineRole::Decode,
    ])?;
    state.used_blocks = u.int_in_range(0..=2_000)?;
    state.waiting_prefill_tokens = u.int_in_range(0..=20_000)?;
    Ok(state)
}

/// Only targets that are available and can serve the request are chosen.
#[test]
fn capable_targets_chosen() {
    let (mut chosen, mut split, mut absent) = (0, 0, 0);
    check_seeds(|u| {
        for targets in [3, 13, 60] {
            let mut table = table();
            let mut states = Vec::new();
            for index in 0..targets {
                let availability = *u.choose(&[
                    Availability::Live,
                    Availability::Live,
                    Availability::Starting,
                    Availability::Leaving,
                    Availability::Unhealthy,
                ])?;
                let state = random_state(u)?;
                table.observe_engine(
                    &format!("engine-{index}"),
                    "engine",
                    availability,
                    &state,
                    0,
                );
                states.push((availability, state));
            }
            let excluded: [Arc<str>; 1] = ["engine-1".into()];
            let request = request().adapter("steel").excluded(&excluded);
            let choice = match table.choose(&request, 0, &mut rng()) {
                Ok(choice) => choice,
                Err(error) => {
                    absent += usize::from(error == RouteError::ModelNotLoaded);
                    continue;
                }
            };
            chosen += 1;
            split += usize::from(choice.prefill.is_some());
            let prefill = choice.prefill.as_ref().map(|prefill| &prefill.target);
            for name in [Some(&choice.target), prefill].into_iter().flatten() {
                let index: usize = name.trim_start_matches("engine-").parse().unwrap();
                let (availability, state) = &states[index];
                assert_eq!(*availability, Availability::Live);
                assert!(!state.changing && index != 1);
                assert_eq!(
                    (&*state.models[0].model, &*state.models[0].version),
                    ("quote", "2")
                );
                assert_eq!(state.models[0].adapters, ["steel".into()]);
                assert!(state.used_blocks + 60 <= 2_000 || prefill == Some(name));
                let prefills = prefill.is_none_or(|prefill| prefill == name);
                assert!(!prefills || state.role != EngineRole::Decode);
                assert!(prefill == Some(name) || state.role != EngineRole::Prefill);
            }
        }
        Ok(())
    });
    assert!(
        chosen > 0 && split > 0 && absent > 0,
        "{chosen} {split} {absent}"
    );
}

#[test]
fn error_reason() {
    let mut table = table();
    table.observe_engine("a", "engine", Availability::Live, &state(), 0);
    let cases = [
        (request().model("tags", "2"), RouteError::ModelNotLoaded),
        (request().model("quote", "1"), RouteError::ModelNotLoaded),
        (request().adapter("swap"), RouteError::ModelNotLoaded),
        (RouteRequest::new("desk"), RouteError::ModelNotLoaded),
        (request().tokens(32_000, 1_000), RouteError::NoRoom),
    ];
    for (request, error) in cases {
        assert_eq!(table.choose(&request, 0, &mut rng()), Err(error));
    }
    for availability in [
        Availability::Leaving,
        Availability::Unhealthy,
        Availability::Starting,
    ] {
        table.set_availability("a", availability, 0);
        assert_eq!(
            table.choose(&request(), 0, &mut rng()),
            Err(RouteError::Unavailable)
        );
    }
    table.set_availability("a", Availability::Live, 0);
    assert!(table.choose(&request(), 0, &mut rng()).is_ok());
}

/// The load allows for the age of a report.
#[test]
fn report_age_considered() {
    let mut table = table();
    let mut late = state();
    late.report_age_ms = 500;
    late.waiting_prefill_tokens = 8_000;
    table.observe_engine("a", "engine", Availability::Live, &late, 1_000);
    // The report is 500 ms old, so half of the 8,000 reported tokens are prefilled
    // by now.
    assert_eq!(table.target("a").unwrap().load().queue_ms(1_000), 500.0);
    let choice = table.choose(&request(), 1_000, &mut rng()).unwrap();
    assert_eq!(choice.first_token_ms, 600.0);
    table.dispatched(&choice, &[], 1_000);
    // The next report describes an instant before the dispatch. The dispatched
    // request must still be added to the reported load.
    late.report_age_ms = 100;
    late.waiting_prefill_tokens = 4_000;
    table.observe_engine("a", "engine", Availability::Live, &late, 1_050);
    assert_eq!(table.target("a").unwrap().load().queue_ms(1_050), 500.0);
    let load = table.target("a").unwrap().load();
    assert_eq!(load.free_blocks(), 2_000 - 60);
}

/// A repeated report does not remove the load of requests dispatched after it.
#[test]
fn repeated_report_dispatches() {
    let mut table = table();
    let mut busy = state();
    busy.waiting_prefill_tokens = 4_000;
    table.observe_engine("a", "engine", Availability::Live, &busy, 1_000);
    let choice = table.choose(&request(), 1_100, &mut rng()).unwrap();
    table.dispatched(&choice, &[], 1_100);
    table.observe_engine("a", "engine", Availability::Live, &busy, 1_000);
    let load = table.target("a").unwrap().load();
    // 4,000 reported tokens, minus 1,600 prefilled in 200 ms, plus 800 sent since.
    assert_eq!(load.queued_tokens(1_200), 3_200.0);
    assert_eq!(load.free_blocks(), 2_000 - 60);
}

#[test]
fn cached_prefix_chosen() {
    let mut table = table();
    let blocks: Vec<u64> = (0..50).collect();
    for name in ["a", "b", "c"] {
        table.observe_engine(name, "engine", Availability::Live, &state(), 0);
    }
    let request = request().prefix_blocks(&blocks);
    let first = table.choose(&request, 0, &mut rng()).unwrap();
    table.dispatched(&first, &blocks, 0);
    table.finished(&first, 500);
    for _ in 0..8 {
        let choice = table.choose(&request, 500, &mut rng()).unwrap();
        assert_eq!((&choice.target, choice.cached_tokens), (&first.target, 799));
    }
}

/// Prefill and decode are split over two engines if that is faster.
#[test]
fn faster_split_chosen() {
    let mut table = table();
    let mut mixed = state();
    mixed.waiting_prefill_tokens = 8_000;
    table.observe_engine("mixed", "engine", Availability::Live, &mixed, 0);
    let roles = [
        ("prefill", EngineRole::Prefill),
        ("decode", EngineRole::Decode),
    ];
    for (name, role) in roles {
        table.observe_engine(
            name,
            "engine",
            Availability::Live,
            &EngineState { role, ..state() },
            0,
        );
    }
    let choice = table.choose(&request(), 0, &mut rng()).unwrap();
    assert_eq!(&*choice.target, "decode");
    assert_eq!(&*choice.prefill.unwrap().target, "prefill");
    table.set_availability("prefill", Availability::Leaving, 0);
    let choice = table.choose(&request(), 2_000, &mut rng()).unwrap();
    assert_eq!((&*choice.target, choice.prefill), ("mixed", None));
}

/// The share limits the blocks of this instance's own requests.
#[test]
fn share_limits_blocks() {
    let mut table = table();
    table.observe_engine("a", "engine", Availability::Live, &state(), 0);
    table.set_block_quota("a", Some(130));
    for _ in 0..2 {
        let choice = table.choose(&request(), 0, &mut rng()).unwrap();
        table.dispatched(&choice, &[], 0);
    }
    assert_eq!(
        table.choose(&request(), 0, &mut rng()),
        Err(RouteError::NoRoom)
    );
}

/// A request larger than the share runs if no other request of the instance is running.
#[test]
fn oversized_request_alone() {
    let mut table = table();
    table.observe_engine("a", "engine", Availability::Live, &state(), 0);
    table.set_block_quota("a", Some(250));
    let large = request().tokens(8_000, 160);
    let choice = table.choose(&large, 0, &mut rng()).unwrap();
    table.dispatched(&choice, &[], 0);
    assert_eq!(
        table.choose(&request(), 0, &mut rng()),
        Err(RouteError::NoRoom)
    );
    table.finished(&choice, 0);
    assert!(table.choose(&request(), 0, &mut rng()).is_ok());
}

/// A returning target gets requests gradually.
#[test]
fn returning_target_gradual() {
    let mut table = table();
    table.observe_engine("a", "engine", Availability::Live, &state(), 0);
    table.set_availability("a", Availability::Unhealthy, 100);
    table.observe_engine("a", "engine", Availability::Live, &state(), 1_000);
    let mut dispatched = [0; 2];
    for (index, now_ms) in [1_000, 6_000].into_iter().enumerate() {
        while let Ok(choice) = table.choose(&request(), now_ms, &mut rng()) {
            table.dispatched(&choice, &[], now_ms);
            dispatched[index] += 1;
        }
    }
    // The target offers a tenth of its 2,000 blocks immediately, and all of them
    // after five seconds.
    assert_eq!(dispatched, [3, 30]);
}

#[test]
fn plain_requests_alternate() {
    let mut table = table();
    for name in ["a", "b"] {
        table.observe_plain(name, "desk", Availability::Live, 0);
    }
    let mut rng = rng();
    let mut counts = [0; 2];
    for _ in 0..20 {
        let choice = table
            .choose(&RouteRequest::new("desk"), 0, &mut rng)
            .unwrap();
        table.dispatched(&choice, &[], 0);
        counts[usize::from(&*choice.target == "b")] += 1;
    }
    assert_eq!(counts, [10, 10]);
}
