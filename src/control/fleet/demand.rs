//! Demand for services in tokens per second, computed from the usage windows of the
//! ledger.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    ledger::{Ledger, UsageCounts, WindowEntry},
    policy::roles::TokenDemand,
};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// Key of the counts of one service within one window.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct CountKey {
    /// Number of the usage window.
    window: u64,
    service: Arc<str>,
}

/// Computes demand rates from the growth of usage counts between two calls.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    counts: IndexMap<CountKey, UsageCounts>,
    last_observed_ms: Option<u64>,
}

impl DemandMeter {
    /// Returns a meter without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the mean demand of each service since the last call. Returns an empty
    /// map on the first call.
    pub fn observe(&mut self, ledger: &Ledger, now_ms: u64) -> IndexMap<Arc<str>, TokenDemand> {
        let counts = current_counts(ledger);
        let before = std::mem::replace(&mut self.counts, counts);
        let elapsed_ms = self
            .last_observed_ms
            .replace(now_ms)
            .map_or(0, |observed_ms| now_ms.saturating_sub(observed_ms));
        let mut demands: IndexMap<Arc<str>, TokenDemand> = IndexMap::new();
        if elapsed_ms == 0 {
            return demands;
        }
        let elapsed_s = elapsed_ms as f64 / MS_PER_S;
        for (key, counts) in &self.counts {
            let earlier = before.get(key).copied().unwrap_or_default();
            let prompt = counts.prompt_tokens.saturating_sub(earlier.prompt_tokens);
            let output = counts.output_tokens.saturating_sub(earlier.output_tokens);
            let demand = demands.entry(key.service.clone()).or_default();
            demand.prefill_tokens_per_s += prompt as f64 / elapsed_s;
            demand.decode_tokens_per_s += output as f64 / elapsed_s;
        }
        demands
    }
}

/// Sums the counts per service and window, over the windows that are open or
/// whose reports are not acknowledged.
fn current_counts(ledger: &Ledger) -> IndexMap<CountKey, UsageCounts> {
    let mut counts = IndexMap::new();
    let open = ledger.open_window();
    let opened = (open..=open + 1).filter_map(|window| ledger.window(window));
    for entry in ledger.unacknowledged_windows().chain(opened) {
        add_window_counts(&mut counts, entry);
    }
    counts
}

fn add_window_counts(counts: &mut IndexMap<CountKey, UsageCounts>, entry: &WindowEntry) {
    for (service, accounts) in &entry.services {
        let key = CountKey {
            window: entry.window,
            service: service.clone(),
        };
        let total = counts.entry(key).or_default();
        for account in accounts.values() {
            total.requests += account.requests;
            total.prompt_tokens += account.prompt_tokens;
            total.output_tokens += account.output_tokens;
        }
    }
}
