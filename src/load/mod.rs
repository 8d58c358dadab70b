//! Open-loop load generator.
//!
//! The requests of each account arrive as a Poisson process, independent of the
//! answers. Times are measured from the scheduled arrival, so that delays of
//! the system or of the generator itself are not hidden (coordinated omission).

mod client;
mod plan;
mod report;
mod schedule;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use self::{client::LoadClient, report::Tally};
pub use self::{
    client::{Ending, ReportedOutcome, Sample},
    plan::{LoadAccount, LoadPlan, Phase, PlainCall, PlanError},
    report::{Counts, LoadReport, PhaseAccount, Quantiles, Summary},
    schedule::{Arrival, arrivals},
};
use crate::target::http_client;

/// Progress of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunProgress {
    /// Time since the start.
    pub elapsed: Duration,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests in flight.
    pub in_flight: usize,
}

/// An arrival and its sample; `None` if the request was not sent because
/// `max_in_flight` was reached.
type FinishedArrival = (Arrival, Option<Sample>);

/// Aggregates the samples of a run.
#[derive(Debug)]
struct Collector {
    /// Deadline for the first token, after which a refusal counts as late.
    first_token_limit: Duration,
    total: Tally,
    accounts: Vec<Tally>,
    phases: Vec<Tally>,
    /// Counts by phase, then by account.
    phase_accounts: Vec<Vec<Counts>>,
}

/// Runs a plan and returns a report of the measurements.
///
/// The run ends at the latest `timeout_ms` after its last phase. `observe` is
/// called after the start of every request.
///
/// # Errors
///
/// Fails if the HTTP client cannot be built.
pub async fn run<F>(plan: LoadPlan, mut observe: F) -> reqwest::Result<LoadReport>
where
    F: FnMut(RunProgress),
{
    let schedule = arrivals(&plan);
    let client = Arc::new(LoadClient::new(plan.clone(), http_client()?));
    let in_flight = Arc::new(AtomicUsize::new(0));
    let (sender, receiver) = mpsc::unbounded_channel();
    let collector = tokio::spawn(Collector::new(&plan).collect(receiver));
    let started_at = Instant::now();
    let mut max_send_lag = Duration::ZERO;
    for arrival in schedule {
        let arrived_at = started_at + arrival.at;
        sleep_until(arrived_at).await;
        max_send_lag = max_send_lag.max(arrived_at.elapsed());
        if in_flight.load(Ordering::Relaxed) >= plan.max_in_flight {
            let _ = sender.send((arrival, None));
            continue;
        }
        let in_flight_now = in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        let (client, in_flight) = (Arc::clone(&client), Arc::clone(&in_flight));
        let sender = sender.clone();
        tokio::spawn(async move {
            let sample = client.run(&arrival, arrived_at).await;
            in_flight.fetch_sub(1, Ordering::Relaxed);
            let _ = sender.send((arrival, Some(sample)));
        });
        observe(RunProgress {
            elapsed: started_at.elapsed(),
            sent: arrival.number + 1,
            in_flight: in_flight_now,
        });
    }
    sleep_until(started_at + Duration::from_millis(plan.duration_ms())).await;
    let duration = started_at.elapsed();
    drop(sender);
    let collector = collector.await.expect("the collector does not panic");
    Ok(collector.report(&plan, duration, max_send_lag))
}

impl Collector {
    fn new(plan: &LoadPlan) -> Self {
        Self {
            first_token_limit: Duration::from_millis(plan.first_token_ms),
            total: Tally::new(),
            accounts: plan.accounts.iter().map(|_| Tally::new()).collect(),
            phases: plan.phases.iter().map(|_| Tally::new()).collect(),
            phase_accounts: vec![vec![Counts::default(); plan.accounts.len()]; plan.phases.len()],
        }
    }

    async fn collect(mut self, mut finished: mpsc::UnboundedReceiver<FinishedArrival>) -> Self {
        while let Some((arrival, sample)) = finished.recv().await {
            let counts = &mut self.phase_accounts[arrival.phase][arrival.account];
            match &sample {
                Some(sample) => counts.record(sample, self.first_token_limit),
                None => counts.record_held_back(),
            }
            let tallies = [
                &mut self.total,
                &mut self.accounts[arrival.account],
                &mut self.phases[arrival.phase],
            ];
            for tally in tallies {
                match &sample {
                    Some(sample) => tally.record(sample, self.first_token_limit),
                    None => tally.record_held_back(),
                }
            }
        }
        self
    }

    fn report(&self, plan: &LoadPlan, duration: Duration, max_send_lag: Duration) -> LoadReport {
        let mut accounts = Vec::with_capacity(self.accounts.len());
        for (account, tally) in plan.accounts.iter().zip(&self.accounts) {
            accounts.push(tally.summary(Arc::clone(&account.name)));
        }
        let mut phases = Vec::with_capacity(self.phases.len());
        for (index, tally) in self.phases.iter().enumerate() {
            phases.push(tally.summary(format!("phase {}", index + 1).into()));
        }
        let total = self.total.summary("all".into());
        let duration_s = duration.as_secs_f64();
        let with_arrivals = accounts
            .iter()
            .filter(|a| a.counts.sent + a.counts.held_back > 0);
        let worst = with_arrivals.min_by(|a, b| a.good_share.total_cmp(&b.good_share));
        LoadReport {
            seed: plan.seed,
            duration_s,
            goodput_per_s: total.counts.good as f64 / duration_s,
            goodput_tokens_per_s: total.counts.good_tokens as f64 / duration_s,
            tokens_per_s: total.counts.tokens as f64 / duration_s,
            max_send_lag_ms: max_send_lag.as_secs_f64() * 1_000.0,
            worst_account: worst.map_or("".into(), |worst| Arc::clone(&worst.name)),
            worst_good_share: worst.map_or(0.0, |worst| worst.good_share),
            total,
            accounts,
            phases,
            phase_accounts: self.phase_accounts(plan),
        }
    }

    fn phase_accounts(&self, plan: &LoadPlan) -> Vec<PhaseAccount> {
        let mut all = Vec::new();
        for (phase, accounts) in self.phase_accounts.iter().enumerate() {
            for (account, counts) in plan.accounts.iter().zip(accounts) {
                all.push(PhaseAccount {
                    phase: phase + 1,
                    account: Arc::clone(&account.name),
                    counts: *counts,
                    good_share: counts.good_share(),
                });
            }
        }
        all
    }
}
