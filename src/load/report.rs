//! Report of a load run: results by account and phase.

use std::{sync::Arc, time::Duration};

use comfy_table::{CellAlignment, Table, presets::UTF8_FULL_CONDENSED};
use hdrhistogram::Histogram;
use serde::Serialize;

use super::client::{Ending, ReportedOutcome, Sample};

/// Number of significant decimal digits to which times are recorded.
const HISTOGRAM_DIGITS: u8 = 2;

/// Counts and times of a subset of the requests.
#[derive(Clone, Debug)]
pub(super) struct Tally {
    counts: Counts,
    first_token_us: Histogram<u64>,
    from_send_us: Histogram<u64>,
    gap_us: Histogram<u64>,
}

/// Counts of requests by how they ended, by reported outcome, and of their
/// tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Requests sent.
    pub sent: u64,
    /// Requests not sent, because `max_in_flight` was reached.
    pub held_back: u64,
    /// Complete, within the deadlines; see [`Ending::Good`].
    pub good: u64,
    /// Complete, but not within the deadlines.
    pub late: u64,
    /// Answered with a status other than success.
    pub refused: u64,
    /// Refused after the deadline for the first token.
    pub refused_late: u64,
    /// Cut off, timed out or without an answer.
    pub failed: u64,
    /// Complete, but with other content than expected.
    pub wrong: u64,
    /// Reported by the answer's header as not run.
    pub told_not_run: u64,
    /// Reported by the answer's header as run.
    pub told_ran: u64,
    /// Reported by the answer's header as possibly run.
    pub told_unknown: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Tokens of good answers.
    pub good_tokens: u64,
}

/// Quantiles of recorded times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Results of an account, a phase or the whole run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Name of the account or phase.
    pub name: Arc<str>,
    /// Counts of requests by how they ended.
    pub counts: Counts,
    /// Good answers as a share of all arrivals.
    pub good_share: f64,
    /// Time from the scheduled arrival to the first token or to the complete
    /// plain answer.
    pub first_token: Quantiles,
    /// Time from sending to the first token or to the complete plain answer; it
    /// excludes the generator's own delay.
    pub first_token_from_send: Quantiles,
    /// Time between consecutive tokens.
    pub between_tokens: Quantiles,
}

/// Results of an account within a phase.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PhaseAccount {
    /// Number of the phase, starting from 1.
    pub phase: usize,
    /// Name of the account.
    pub account: Arc<str>,
    /// Counts of requests by how they ended.
    pub counts: Counts,
    /// Good answers as a share of all arrivals.
    pub good_share: f64,
}

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Seed of the run.
    pub seed: u64,
    /// Duration of the run without the wait for the last answers, in seconds.
    pub duration_s: f64,
    /// Good answers per second.
    pub goodput_per_s: f64,
    /// Tokens of good answers per second.
    pub goodput_tokens_per_s: f64,
    /// Tokens received per second.
    pub tokens_per_s: f64,
    /// Largest delay between a scheduled arrival and its sending, in
    /// milliseconds.
    pub max_send_lag_ms: f64,
    /// Account with the smallest share of good answers, of those with arrivals.
    pub worst_account: Arc<str>,
    /// Share of good answers of `worst_account`.
    pub worst_good_share: f64,
    /// Results over all requests.
    pub total: Summary,
    /// Results by account.
    pub accounts: Vec<Summary>,
    /// Results by phase.
    pub phases: Vec<Summary>,
    /// Results by account within each phase.
    pub phase_accounts: Vec<PhaseAccount>,
}

impl Counts {
    pub(super) fn record_held_back(&mut self) {
        self.held_back += 1;
    }

    pub(super) fn record(&mut self, sample: &Sample, first_token_limit: Duration) {
        self.sent += 1;
        self.tokens += sample.tokens;
        match sample.ending {
            Ending::Good => {
                self.good += 1;
                self.good_tokens += sample.tokens;
            }
            Ending::Late => self.late += 1,
            Ending::Refused => {
                self.refused += 1;
                self.refused_late += u64::from(sample.total > first_token_limit);
            }
            Ending::Failed => self.failed += 1,
            Ending::Wrong => self.wrong += 1,
        }
        match sample.reported_outcome {
            ReportedOutcome::None => {}
            ReportedOutcome::NotRun => self.told_not_run += 1,
            ReportedOutcome::Ran => self.told_ran += 1,
            ReportedOutcome::Unknown => self.told_unknown += 1,
        }
    }

    /// Returns the good answers as a share of all arrivals.
    pub fn good_share(&self) -> f64 {
        let arrivals = self.sent + self.held_back;
        self.good as f64 / arrivals.max(1) as f64
    }
}

impl Tally {
    pub(super) fn new() -> Self {
        Self {
            counts: Counts::default(),
            first_token_us: new_histogram(),
            from_send_us: new_histogram(),
            gap_us: new_histogram(),
        }
    }

    pub(super) fn record_held_back(&mut self) {
        self.counts.record_held_back();
    }

    pub(super) fn record(&mut self, sample: &Sample, first_token_limit: Duration) {
        self.counts.record(sample, first_token_limit);
        if let Some(first_token) = sample.first_token {
            record_us(&mut self.first_token_us, first_token);
        }
        if let Some(from_send) = sample.first_token_from_send {
            record_us(&mut self.from_send_us, from_send);
        }
        for gap in &sample.gaps {
            record_us(&mut self.gap_us, *gap);
        }
    }

    pub(super) fn summary(&self, name: Arc<str>) -> Summary {
        Summary {
            name,
            counts: self.counts,
            good_share: self.counts.good_share(),
            first_token: quantiles(&self.first_token_us),
            first_token_from_send: quantiles(&self.from_send_us),
            between_tokens: quantiles(&self.gap_us),
        }
    }
}

impl LoadReport {
    /// Renders the report as a terminal table.
    pub fn to_table(&self) -> String {
        let mut table = Table::new();
        table.load_style(UTF8_FULL_CONDENSED);
        table.set_header([
            "",
            "sent",
            "good",
            "late",
            "refused",
            "failed",
            "wrong",
            "good %",
            "TTFT p50 ms",
            "TTFT p95 ms",
            "ITL p50 ms",
            "ITL p95 ms",
        ]);
        for summary in self.phases.iter().chain(&self.accounts) {
            table.add_row(row(summary));
        }
        table.add_row(row(&self.total));
        for column in table.column_iter_mut().skip(1) {
            column.set_cell_alignment(CellAlignment::Right);
        }
        format!(
            "{table}\ngoodput {:.1} answers/s, {:.0} tokens/s; worst account {} ({:.1} % good)\n",
            self.goodput_per_s,
            self.goodput_tokens_per_s,
            self.worst_account,
            self.worst_good_share * 100.0,
        )
    }
}

fn row(summary: &Summary) -> [String; 12] {
    let counts = &summary.counts;
    [
        summary.name.to_string(),
        (counts.sent + counts.held_back).to_string(),
        counts.good.to_string(),
        counts.late.to_string(),
        counts.refused.to_string(),
        (counts.failed + counts.held_back).to_string(),
        counts.wrong.to_string(),
        format!("{:.1}", summary.good_share * 100.0),
        format!("{:.1}", summary.first_token.p50_ms),
        format!("{:.1}", summary.first_token.p95_ms),
        format!("{:.1}", summary.between_tokens.p50_ms),
        format!("{:.1}", summary.between_tokens.p95_ms),
    ]
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(HISTOGRAM_DIGITS).expect("the number of digits is valid")
}

fn record_us(histogram: &mut Histogram<u64>, time: Duration) {
    // The histogram resizes itself; recording fails only for lack of memory.
    let _ = histogram.record(time.as_micros() as u64);
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Quantiles {
        p50_ms: quantile_ms(0.5),
        p95_ms: quantile_ms(0.95),
        p99_ms: quantile_ms(0.99),
        max_ms: histogram.max() as f64 / 1_000.0,
    }
}
