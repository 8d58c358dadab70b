//! Error-budget burn by service and client account. The error budget is the share of
//! requests that the objective allows to be late, refused or failed.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{BurnSample, ResultCounts};

/// Default share of requests that must be good.
pub const DEFAULT_OBJECTIVE: f64 = 0.95;
/// Default windows of a report, in seconds: 5 minutes, 1 hour and 6 hours.
pub const DEFAULT_WINDOWS_S: [u64; 3] = [300, 3_600, 21_600];

/// Input of a [`BurnReport`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BurnInput {
    /// Share of requests that must be good.
    pub objective: f64,
    /// Lengths of the windows, in seconds.
    pub windows_s: Vec<u64>,
    /// Samples of all instances.
    pub samples: Vec<BurnSample>,
}

impl BurnInput {
    /// Creates an input with the default objective and windows.
    pub fn new(samples: Vec<BurnSample>) -> Self {
        Self {
            objective: DEFAULT_OBJECTIVE,
            windows_s: DEFAULT_WINDOWS_S.to_vec(),
            samples,
        }
    }
}

/// Burn within one time window that ends when the report is made.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window, in seconds.
    pub window_s: u64,
    /// Counts of requests by result.
    pub counts: ResultCounts,
    /// Share of requests that were good; 1 if there were no requests.
    pub good_share: f64,
    /// Rate at which the error budget is spent; a rate of 1 spends exactly the
    /// budget that the objective allows.
    pub burn_rate: f64,
}

/// Burn of a service, or of one of its client accounts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnRow {
    /// Name of the service.
    pub service: Arc<str>,
    /// Client account, or `None` for the whole service.
    pub account: Option<Arc<str>>,
    /// Burn by window, in the order of the input.
    pub windows: Vec<WindowBurn>,
}

/// Burn rate at one point in time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnPoint {
    /// Age of the point when the report is made, in seconds.
    pub age_s: u64,
    /// Burn rate.
    pub burn_rate: f64,
}

/// Burn rate of a service over time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnSeries {
    /// Name of the service.
    pub service: Arc<str>,
    /// Points, oldest first.
    pub points: Vec<BurnPoint>,
}

/// Error-budget burn of all services and client accounts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnReport {
    /// Share of requests that must be good.
    pub objective: f64,
    /// Lengths of the windows, in seconds.
    pub windows_s: Vec<u64>,
    /// Row of each service, followed by the rows of its client accounts, those
    /// with the highest burn rate first.
    pub rows: Vec<BurnRow>,
    /// Burn rate of each service over time.
    pub series: Vec<BurnSeries>,
}

impl BurnReport {
    /// Computes a report from samples.
    ///
    /// ```
    /// use lavenderwind::report::{ResultCounts, BurnInput, BurnReport, BurnSample};
    ///
    /// let report = BurnReport::new(&BurnInput::new(vec![BurnSample {
    ///     service: "adviser".into(),
    ///     account: "workshop-1".into(),
    ///     age_s: 0,
    ///     length_s: 30,
    ///     counts: ResultCounts { good: 90, late: 10, ..ResultCounts::default() },
    /// }]));
    /// let burn_rate = report.rows[0].windows[0].burn_rate;
    /// assert!((burn_rate - 2.0).abs() < 1e-9);
    /// ```
    pub fn new(input: &BurnInput) -> Self {
        let mut services: IndexMap<Arc<str>, Vec<&BurnSample>> = IndexMap::new();
        for sample in &input.samples {
            let service = Arc::clone(&sample.service);
            services.entry(service).or_default().push(sample);
        }
        services.sort_unstable_keys();
        let mut rows = Vec::new();
        let mut series = Vec::with_capacity(services.len());
        for (service, samples) in &services {
            rows.push(BurnRow {
                service: Arc::clone(service),
                account: None,
                windows: window_burns(input, samples),
            });
            rows.extend(account_rows(input, service, samples));
            series.push(BurnSeries {
                service: Arc::clone(service),
                points: burn_points(input, samples),
            });
        }
        Self {
            objective: input.objective,
            windows_s: input.windows_s.clone(),
            rows,
            series,
        }
    }
}

fn account_rows(input: &BurnInput, service: &Arc<str>, samples: &[&BurnSample]) -> Vec<BurnRow> {
    let mut accounts: IndexMap<&Arc<str>, Vec<&BurnSample>> = IndexMap::new();
    for sample in samples {
        accounts.entry(&sample.account).or_default().push(sample);
    }
    let mut rows = Vec::with_capacity(accounts.len());
    for (account, samples) in accounts {
        rows.push(BurnRow {
            service: Arc::clone(service),
            account: Some(Arc::clone(account)),
            windows: window_burns(input, &samples),
        });
    }
    rows.sort_by(|a, b| {
        let by_burn = worst_burn(b).total_cmp(&worst_burn(a));
        by_burn.then_with(|| a.account.cmp(&b.account))
    });
    rows
}

fn worst_burn(row: &BurnRow) -> f64 {
    let rates = row.windows.iter().map(|window| window.burn_rate);
    rates.fold(0.0, f64::max)
}

fn window_burns(input: &BurnInput, samples: &[&BurnSample]) -> Vec<WindowBurn> {
    let mut burns = Vec::with_capacity(input.windows_s.len());
    for window_s in &input.windows_s {
        let mut counts = ResultCounts::default();
        for sample in samples {
            if sample.age_s < *window_s {
                counts += sample.counts;
            }
        }
        burns.push(window_burn(*window_s, counts, input.objective));
    }
    burns
}

fn window_burn(window_s: u64, counts: ResultCounts, objective: f64) -> WindowBurn {
    WindowBurn {
        window_s,
        counts,
        good_share: 1.0 - bad_share(&counts),
        burn_rate: burn_rate(&counts, objective),
    }
}

/// Computes the burn rate of a service over time, oldest point first.
fn burn_points(input: &BurnInput, samples: &[&BurnSample]) -> Vec<BurnPoint> {
    let mut by_age: IndexMap<u64, ResultCounts> = IndexMap::new();
    for sample in samples {
        let step_s = plot_step_s(sample.age_s);
        let age_s = sample.age_s - sample.age_s % step_s;
        *by_age.entry(age_s).or_default() += sample.counts;
    }
    by_age.sort_unstable_by(|a, _, b, _| b.cmp(a));
    let points = by_age.iter().map(|(age_s, counts)| BurnPoint {
        age_s: *age_s,
        burn_rate: burn_rate(counts, input.objective),
    });
    points.collect()
}

/// Returns the spacing of the plotted points at an age, in seconds. Ages are
/// rounded down to a multiple of it, since the bucket boundaries of different
/// instances differ.
fn plot_step_s(age_s: u64) -> u64 {
    match age_s {
        0..300 => 30,
        300..3_600 => 300,
        _ => 1_800,
    }
}

fn bad_share(counts: &ResultCounts) -> f64 {
    counts.bad() as f64 / counts.total().max(1) as f64
}

fn burn_rate(counts: &ResultCounts, objective: f64) -> f64 {
    let budget = (1.0 - objective).max(f64::EPSILON);
    bad_share(counts) / budget
}
