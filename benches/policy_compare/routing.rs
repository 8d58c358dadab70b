//! Goodput of eight instances that route to thirteen engines with delayed
//! reports, while the workload alternates between prefill-heavy and
//! decode-heavy.

use std::{collections::VecDeque, sync::Arc};

use lavenderwind::policy::{
    baseline::{RoundRobin, least_in_flight},
    load::InFlight,
    routing::{Availability, Choice, RouteRequest, RouteSettings, RouteTable},
    share::{KnownUsage, SharedQuota, estimate_share},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    fleet::{Engine, Job, Sent, engine_name, exchange, instance_name},
    print_row,
};

const INSTANCES: usize = 8;
/// Prefill speed of each engine, in tokens per second.
const SPEEDS: [u32; 13] = [
    6_000, 6_000, 6_000, 8_000, 8_000, 8_000, 8_000, 8_000, 12_000, 12_000, 12_000, 16_000, 16_000,
];
const RUN_MS: u64 = 120_000;
/// Time after the last arrival in which the last answers finish.
const DRAIN_MS: u64 = 20_000;
/// Time after which the workload changes between prefill-heavy and decode-heavy.
const SWING_MS: u64 = 30_000;
/// Interval between two reports of an engine.
const REPORT_MS: u64 = 200;
/// Interval between two exchanges of loads and shares.
const EXCHANGE_MS: u64 = 100;
/// Time until the loads of an instance are known to its peers.
const EXCHANGE_DELAY_MS: u64 = 50;
/// Deadline of the first token.
const FIRST_TOKEN_MS: u64 = 570;
/// Deadline of the mean time between two tokens.
const BETWEEN_TOKENS_MS: f64 = 44.0;
/// Time in the queue after which a request is dropped.
const MAX_QUEUE_MS: u64 = 500;
/// Number of KV cache blocks by which the usage of an instance may exceed the known
/// usage: those of one or two requests.
const BURST_BLOCKS: u64 = 120;

/// Routing policy of the instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// All engines in turn.
    RoundRobin,
    /// Fewest requests in flight from the same instance.
    LeastInFlight,
    /// Earliest predicted first token, by engine reports and own requests. The
    /// policies below also count the requests of peers.
    ReportOnly,
    /// Earliest predicted first token, without shares and deadlines.
    WithPeers,
    /// Shares of the KV cache blocks that instances exchange by demand.
    ExchangedShares,
    /// Deadlines for each request, and equal shares.
    EvenSharesWithDeadlines,
    /// Deadlines for each request, and shares that each instance estimates.
    EstimatedSharesWithDeadlines,
    /// Deadlines for each request, and shares that instances exchange by demand.
    ExchangedSharesWithDeadlines,
}

/// A workload, and the delay of the engines' reports.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// Load relative to the capacity of the engines.
    load: f64,
    /// Time until a report reaches the instances.
    lag_ms: u64,
    /// Fraction of the requests sent to the first instance; the others are spread
    /// evenly over all instances.
    skew: f64,
}

struct Instance {
    table: RouteTable,
    /// Requests not sent to an engine yet.
    waiting: VecDeque<Job>,
    /// Number of requests that the instance has in flight on each engine.
    in_flight: Vec<u32>,
    round_robin: RoundRobin,
    /// Share of the KV cache blocks of each engine.
    quotas: Vec<SharedQuota>,
}

/// Runs one seed and returns the fraction of the requests whose answers met both
/// deadlines.
fn goodput(policy: Policy, scenario: Scenario, seed: u64) -> f64 {
    let lag_ms = scenario.lag_ms;
    // A separate generator, so that the arrivals of a seed are the same for every
    // policy.
    let mut arrivals = SmallRng::seed_from_u64(seed);
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut engines: Vec<Engine<(usize, Option<Choice>)>> =
        SPEEDS.into_iter().map(Engine::new).collect();
    let mut instances: Vec<Instance> = (0..INSTANCES).map(instance).collect();
    if policy == Policy::EvenSharesWithDeadlines {
        set_even_shares(&mut instances);
    }
    let mut reports = VecDeque::new();
    let mut frames = VecDeque::new();
    let (mut arrived, mut good) = (0_u32, 0_u32);
    let mut next_ms = 0.0;
    for now_ms in 0..RUN_MS + DRAIN_MS {
        for (index, engine) in engines.iter_mut().enumerate() {
            if (now_ms + index as u64 * 15).is_multiple_of(REPORT_MS) {
                reports.push_back((now_ms, index, engine.state()));
            }
            for ended in engine.step(now_ms) {
                let met_deadlines = ended.first_token_ms <= FIRST_TOKEN_MS
                    && ended.between_tokens_ms <= BETWEEN_TOKENS_MS;
                good += u32::from(met_deadlines);
                let instance = &mut instances[ended.sent.job.instance];
                let (index, choice) = ended.sent.tag;
                instance.in_flight[index] -= 1;
                if let Some(choice) = choice {
                    let name = &choice.target;
                    instance
                        .table
                        .observe_between_tokens(name, ended.between_tokens_ms);
                    instance.table.finished(&choice, now_ms);
                }
            }
        }
        while let Some((_, index, mut state)) =
            reports.pop_front_if(|(taken_ms, ..)| *taken_ms + lag_ms <= now_ms)
        {
            state.report_age_ms = lag_ms;
            for instance in &mut instances {
                let name = engine_name(index);
                instance
                    .table
                    .observe_engine(&name, "engine", Availability::Live, &state, now_ms);
            }
        }
        if now_ms.is_multiple_of(EXCHANGE_MS) && policy != Policy::ReportOnly {
            frames.push_back((now_ms, instances.iter().map(own_loads).collect::<Vec<_>>()));
            if matches!(
                policy,
                Policy::ExchangedShares | Policy::ExchangedSharesWithDeadlines
            ) {
                exchange_shares(&mut instances);
            }
        }
        while let Some((_, loads)) =
            frames.pop_front_if(|(at_ms, _)| *at_ms + EXCHANGE_DELAY_MS <= now_ms)
        {
            for (index, instance) in instances.iter_mut().enumerate() {
                observe_peers(policy, instance, index, &loads, now_ms);
            }
        }
        while next_ms <= now_ms as f64 && now_ms < RUN_MS {
            let job = arrival(now_ms, scenario.skew, &mut arrivals);
            // The prefill speeds add up to 126,000 tokens per second.
            let requests_per_s = if is_prefill_heavy(now_ms) {
                126_000.0 / 1_660.0
            } else {
                100.0
            };
            next_ms += -uniform(&mut arrivals).ln() * 1_000.0 / (requests_per_s * scenario.load);
            instances[job.instance].waiting.push_back(job);
            arrived += 1;
        }
        for instance in &mut instances {
            dispatch(policy, instance, &mut engines, now_ms, &mut rng);
        }
    }
    f64::from(good) / f64::from(arrived)
}

fn instance(index: usize) -> Instance {
    let members: Vec<Arc<str>> = (0..INSTANCES).map(instance_name).collect();
    let mut quotas = Vec::new();
    for _ in SPEEDS {
        let mut quota = SharedQuota::new(Arc::clone(&members[index]), 2_000);
        quota.set_members(&members);
        quotas.push(quota);
    }
    Instance {
        table: RouteTable::new(RouteSettings::default()),
        waiting: VecDeque::new(),
        in_flight: vec![0; SPEEDS.len()],
        round_robin: RoundRobin::default(),
        quotas,
    }
}

fn is_prefill_heavy(now_ms: u64) -> bool {
    (now_ms / SWING_MS).is_multiple_of(2)
}

fn arrival(now_ms: u64, skew: f64, rng: &mut SmallRng) -> Job {
    let spread = 0.5 + uniform(rng);
    let random_instance = rng.next_u64() as usize % INSTANCES;
    let (prompt, output) = if is_prefill_heavy(now_ms) {
        (1_600.0, 60.0)
    } else {
        (300.0, 280.0)
    };
    Job {
        arrived_ms: now_ms,
        instance: if uniform(rng) < skew {
            0
        } else {
            random_instance
        },
        prompt_tokens: (prompt * spread) as u32,
        output_tokens: (output * (0.5 + uniform(rng))) as u32,
    }
}

/// Returns a random number uniform in 0 (excluded) to 1.
pub(crate) fn uniform(rng: &mut SmallRng) -> f64 {
    ((rng.next_u64() >> 11) as f64 + 1.0) / (1_u64 << 53) as f64
}

fn own_loads(instance: &Instance) -> Vec<InFlight> {
    let mut loads = Vec::new();
    for index in 0..SPEEDS.len() {
        let target = instance.table.target(&engine_name(index));
        loads.push(target.map(|target| target.load().own()).unwrap_or_default());
    }
    loads
}

/// Updates an instance with the loads that its peers reported.
fn observe_peers(
    policy: Policy,
    instance: &mut Instance,
    own: usize,
    loads: &[Vec<InFlight>],
    now_ms: u64,
) {
    let queued: u32 = instance.waiting.iter().map(|job| job.demand().blocks).sum();
    for index in 0..SPEEDS.len() {
        let mut sum = InFlight::default();
        for (peer, load) in loads.iter().enumerate() {
            if peer != own {
                sum.requests += load[index].requests;
                sum.prefill_tokens += load[index].prefill_tokens;
                sum.blocks += load[index].blocks;
            }
        }
        let name = engine_name(index);
        let Some(load) = instance.table.load_mut(&name) else {
            continue;
        };
        load.observe_peers(sum, now_ms);
        if policy != Policy::EstimatedSharesWithDeadlines {
            continue;
        }
        let known = KnownUsage {
            own_demand: u64::from(load.own().blocks + queued),
            peers_in_use: sum.blocks.into(),
            instances: INSTANCES as u32,
            burst: BURST_BLOCKS,
        };
        let share = estimate_share(load.total_blocks().into(), &known);
        instance.table.set_block_quota(&name, Some(share as u32));
    }
}

fn set_even_shares(instances: &mut [Instance]) {
    for instance in instances {
        for (index, speed) in SPEEDS.into_iter().enumerate() {
            let name = engine_name(index);
            let state = Engine::<()>::new(speed).state();
            instance
                .table
                .observe_engine(&name, "engine", Availability::Live, &state, 0);
            let share = state.total_blocks / INSTANCES as u32;
            instance.table.set_block_quota(&name, Some(share));
        }
    }
}

fn exchange_shares(instances: &mut [Instance]) {
    for index in 0..SPEEDS.len() {
        let mut quotas = Vec::new();
        for instance in instances.iter_mut() {
            let queued: u32 = instance.waiting.iter().map(|job| job.demand().blocks).sum();
            let target = instance.table.target(&engine_name(index));
            let own = target.map_or(0, |target| target.load().own().blocks);
            let quota = &mut instance.quotas[index];
            let demand = u64::from(own + queued) + BURST_BLOCKS;
            quota.set_demand(demand, own.into());
            quotas.push(quota);
        }
        exchange(&mut quotas);
        for instance in instances.iter_mut() {
            let share = instance.quotas[index].share() as u32;
            instance
                .table
                .set_block_quota(&engine_name(index), Some(share));
        }
    }
}

/// Sends the waiting requests of an instance to engines, until the policy finds no
/// engine for the first one.
fn dispatch(
    policy: Policy,
    instance: &mut Instance,
    engines: &mut [Engine<(usize, Option<Choice>)>],
    now_ms: u64,
    rng: &mut SmallRng,
) {
    while let Some(&job) = instance.waiting.front() {
        if now_ms > job.arrived_ms + MAX_QUEUE_MS {
            instance.waiting.pop_front();
            continue;
        }
        let mut request = RouteRequest::new("engine")
            .model("quote", "1")
            .tokens(job.prompt_tokens, job.output_tokens);
        if matches!(
            policy,
            Policy::EvenSharesWithDeadlines
                | Policy::EstimatedSharesWithDeadlines
                | Policy::ExchangedSharesWithDeadlines
        ) {
            let left_ms = job.arrived_ms + FIRST_TOKEN_MS - now_ms;
            request = request.deadlines(left_ms, BETWEEN_TOKENS_MS as u64);
        }
        let (index, choice) = match policy {
            Policy::RoundRobin => (instance.round_robin.choose(SPEEDS.len(), |_| true), None),
            Policy::LeastInFlight => (least_in_flight(&instance.in_flight, |_| true), None),
            _ => match instance.table.choose(&request, now_ms, rng) {
                Ok(choice) => {
                    instance.table.dispatched(&choice, &[], now_ms);
                    let index = choice.target.trim_start_matches("engine-").parse().ok();
                    (index, Some(choice))
                }
                Err(_) => return,
            },
        };
        let Some(index) = index else {
            return;
        };
        instance.waiting.pop_front();
        instance.in_flight[index] += 1;
        engines[index].send(Sent {
            job,
            tag: (index, choice),
        });
    }
}

/// Prints the goodput of each policy.
pub(crate) fn compare() {
    let policies = [
        ("round robin", Policy::RoundRobin),
        ("least in flight, own requests", Policy::LeastInFlight),
        ("predicted, reports only", Policy::ReportOnly),
        ("predicted, reports and peers", Policy::WithPeers),
        ("exchanged shares", Policy::ExchangedShares),
        ("even shares, deadlines", Policy::EvenSharesWithDeadlines),
        (
            "estimated shares, deadlines",
            Policy::EstimatedSharesWithDeadlines,
        ),
        (
            "exchanged shares, deadlines",
            Policy::ExchangedSharesWithDeadlines,
        ),
    ];
    for load in [0.7, 0.9] {
        for (lag_ms, skew) in [(100, 0.0), (400, 0.0), (400, 0.5)] {
            println!(
                "routing: goodput at load {load}, reports {lag_ms} ms late, {skew} to one instance"
            );
            let scenario = Scenario { load, lag_ms, skew };
            for (name, policy) in policies {
                print_row(name, "of requests", |seed| goodput(policy, scenario, seed));
            }
        }
    }
}
