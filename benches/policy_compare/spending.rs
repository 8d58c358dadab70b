//! Cost and service level while the platform reclaims all reclaimable targets of
//! a domain at once and offers no new ones there for some time.

use lavenderwind::policy::spending::{
    DomainSupply, NeedWindow, SpendingLimits, SpendingPlan, SpendingPrices, plan,
    regular_until_replaced,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{print_row, routing::uniform};

const DOMAINS: usize = 4;
const RUN_S: u64 = 3_600;
/// Time from an order until the target accepts requests.
const START_S: u64 = 30;
/// Mean time between two reclaims, each of one random domain.
const RECLAIM_S: u64 = 300;
/// Time for which a reclaimed domain offers no reclaimable targets.
const OUTAGE_S: u64 = 120;
/// Time for which a lower need must last until targets are released.
const RELEASE_MS: u64 = 120_000;
const PRICES: SpendingPrices = SpendingPrices {
    reclaimable_milli_per_hour: 300,
    regular_milli_per_hour: 1_000,
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    RegularOnly,
    ReclaimableOnly,
    Planned,
}

/// Reclaimable or regular targets in one domain.
#[derive(Clone, Debug, Default)]
struct Pool {
    /// Number of targets that accept requests.
    live: u32,
    /// Second in which each starting target will accept requests.
    starting: Vec<u64>,
}

impl Pool {
    fn ordered(&self) -> u32 {
        self.live + self.starting.len() as u32
    }

    /// Orders or releases targets until `wanted` targets run or start.
    fn order(&mut self, wanted: u32, second: u64) {
        while self.ordered() < wanted {
            self.starting.push(second + START_S);
        }
        while self.ordered() > wanted {
            if self.starting.pop().is_none() {
                self.live -= 1;
            }
        }
    }

    /// Counts the targets that have started as live.
    fn start(&mut self, second: u64) {
        let before = self.starting.len();
        self.starting.retain(|ready_s| *ready_s > second);
        self.live += (before - self.starting.len()) as u32;
    }
}

/// Result of one run.
#[derive(Clone, Copy, Debug, Default)]
struct RunResult {
    /// Number of seconds in which fewer targets were live than needed.
    short_seconds: f64,
    /// Mean cost, in currency units per hour.
    cost: f64,
    /// Fraction of the work that reclaimable targets did.
    reclaimable_work_share: f64,
}

fn run(policy: Policy, seed: u64) -> RunResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut reclaimable = vec![Pool::default(); DOMAINS];
    let mut regular = vec![Pool::default(); DOMAINS];
    let mut out_until_s = [0; DOMAINS];
    let mut window = NeedWindow::new(RELEASE_MS);
    let (mut short, mut cost, mut reclaimable_work, mut work) = (0_u64, 0_u64, 0.0, 0.0);
    for second in 0..RUN_S + START_S {
        if second > START_S && rng.next_u64().is_multiple_of(RECLAIM_S) {
            let domain = rng.next_u64() as usize % DOMAINS;
            reclaimable[domain] = Pool::default();
            out_until_s[domain] = second + OUTAGE_S;
        }
        let mut supply = Vec::new();
        for domain in 0..DOMAINS {
            reclaimable[domain].start(second);
            regular[domain].start(second);
            supply.push(DomainSupply {
                failure_domain: format!("domain-{domain}").into(),
                reclaimable: if second < out_until_s[domain] { 0 } else { 6 },
                reclaimable_live: reclaimable[domain].live,
                is_out_of_capacity: false,
                regular: 9,
            });
        }
        let phase = second as f64 / 900.0 * std::f64::consts::TAU;
        let load = 6.5 + 2.5 * phase.sin() - 0.5 * uniform(&mut rng);
        let needed = load.ceil() as u32;
        let max_needed = window.observe(needed, second * 1_000);
        let (reclaimable_wanted, regular_wanted) = orders(policy, max_needed, &supply, &regular);
        for domain in 0..DOMAINS {
            reclaimable[domain].order(reclaimable_wanted[domain], second);
            regular[domain].order(regular_wanted[domain], second);
        }
        if second < START_S {
            continue;
        }
        let live_reclaimable: u32 = reclaimable.iter().map(|pool| pool.live).sum();
        let live = live_reclaimable + regular.iter().map(|pool| pool.live).sum::<u32>();
        short += u64::from(live < needed);
        reclaimable_work += load * f64::from(live_reclaimable) / f64::from(live.max(1));
        work += load;
        for (pools, price) in [
            (&reclaimable, PRICES.reclaimable_milli_per_hour),
            (&regular, PRICES.regular_milli_per_hour),
        ] {
            cost += price
                * pools
                    .iter()
                    .map(|pool| u64::from(pool.ordered()))
                    .sum::<u64>();
        }
    }
    RunResult {
        short_seconds: short as f64,
        cost: cost as f64 / 1_000.0 / RUN_S as f64,
        reclaimable_work_share: reclaimable_work / work,
    }
}

/// Returns the number of reclaimable and of regular targets to run in each domain.
fn orders(
    policy: Policy,
    needed: u32,
    supply: &[DomainSupply],
    regular: &[Pool],
) -> (Vec<u32>, Vec<u32>) {
    let even: Vec<u32> = (0..DOMAINS as u32)
        .map(|domain| (needed + 3 - domain) / 4)
        .collect();
    match policy {
        Policy::RegularOnly => (vec![0; DOMAINS], even),
        Policy::ReclaimableOnly => {
            let limit_to_supply =
                |(wanted, domain): (u32, &DomainSupply)| wanted.min(domain.reclaimable);
            (
                even.into_iter().zip(supply).map(limit_to_supply).collect(),
                vec![0; DOMAINS],
            )
        }
        Policy::Planned => {
            let planned: SpendingPlan = plan(needed, supply, &PRICES, &SpendingLimits::default());
            let now: Vec<u32> = regular.iter().map(Pool::ordered).collect();
            let kept = regular_until_replaced(&planned, needed, &now, supply);
            (planned.reclaimable, kept)
        }
    }
}

/// Prints the results of each policy.
pub(crate) fn compare() {
    let policies = [
        ("regular only", Policy::RegularOnly),
        ("reclaimable only", Policy::ReclaimableOnly),
        ("planned", Policy::Planned),
    ];
    println!("spending: an hour of load, reclaims of a domain every {RECLAIM_S} s");
    for (name, policy) in policies {
        print_row(name, "seconds short of targets", |seed| {
            run(policy, seed).short_seconds
        });
        print_row("", "currency units per hour", |seed| run(policy, seed).cost);
        print_row("", "of the work on reclaimable targets", |seed| {
            run(policy, seed).reclaimable_work_share
        });
    }
}
