//! Schedule of a run: an independent Poisson process for each account.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::plan::{LoadPlan, Phase};

/// Multiplier that turns account indexes into widely different seeds: 2^64
/// divided by the golden ratio.
const ACCOUNT_SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A scheduled request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of the account.
    pub account: usize,
    /// Index of the phase.
    pub phase: usize,
    /// Index of the entry's URL in the plan.
    pub entry: usize,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the answer, in tokens.
    pub output_tokens: u32,
    /// Number of the request, unique within the run.
    pub number: u64,
}

/// Returns the arrivals of a plan, ordered by time.
///
/// The same plan gives the same arrivals; those of one account do not depend on
/// the others.
pub fn arrivals(plan: &LoadPlan) -> Vec<Arrival> {
    let mut all = Vec::new();
    for account in 0..plan.accounts.len() {
        append_account_arrivals(plan, account, &mut all);
    }
    all.sort_by_key(|arrival| (arrival.at, arrival.account));
    if plan.max_requests > 0 {
        all.truncate(plan.max_requests as usize);
    }
    for (number, arrival) in all.iter_mut().enumerate() {
        arrival.number = number as u64;
    }
    all
}

/// Appends the arrivals of one account, without their numbers.
fn append_account_arrivals(plan: &LoadPlan, account: usize, all: &mut Vec<Arrival>) {
    let seed = plan.seed ^ ACCOUNT_SEED_STEP.wrapping_mul(account as u64 + 1);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut phase_start_s = 0.0;
    for (index, phase) in plan.phases.iter().enumerate() {
        let phase_end_s = phase_start_s + phase.duration_ms as f64 / 1_000.0;
        let requests_per_s = account_rate(plan, account, phase);
        let mut at_s = phase_start_s + draw_gap_s(requests_per_s, &mut rng);
        while at_s < phase_end_s {
            all.push(Arrival {
                at: Duration::from_secs_f64(at_s),
                account,
                phase: index,
                entry: pick_entry(plan, account, &mut rng),
                prompt_tokens: draw_length(phase.prompt_tokens, phase.spread, &mut rng),
                output_tokens: draw_length(phase.output_tokens, phase.spread, &mut rng),
                // Set after the arrivals of all accounts are ordered by time.
                number: 0,
            });
            at_s += draw_gap_s(requests_per_s, &mut rng);
        }
        phase_start_s = phase_end_s;
    }
}

/// Draws the time between two arrivals, in seconds; infinite at a rate of zero.
fn draw_gap_s(requests_per_s: f64, rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / requests_per_s
}

/// Returns an account's arrival rate in a phase, in requests per second.
fn account_rate(plan: &LoadPlan, account: usize, phase: &Phase) -> f64 {
    let total: f64 = plan.accounts.iter().map(|account| account.weight).sum();
    let account = &plan.accounts[account];
    let factor = phase.account_factors.get(&account.name);
    phase.requests_per_s * account.weight / total * factor.copied().unwrap_or(1.0)
}

fn pick_entry(plan: &LoadPlan, account: usize, rng: &mut StdRng) -> usize {
    let entries = &plan.accounts[account].entries;
    if entries.is_empty() {
        return rng.random_range(0..plan.urls.len());
    }
    entries[rng.random_range(0..entries.len())]
}

/// Draws a length in tokens, evenly distributed around `mean` with the relative
/// deviation `spread`, but at least 1.
fn draw_length(mean: u32, spread: f64, rng: &mut StdRng) -> u32 {
    let factor = 1.0 + spread * (2.0 * rng.random::<f64>() - 1.0);
    ((f64::from(mean) * factor).round() as u32).max(1)
}
