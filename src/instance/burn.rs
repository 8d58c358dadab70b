//! Samples request results for the report on the burn of error budgets.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    entry::EntryContext,
    report::{BurnHistory, BurnSample, ResultCounts},
    supervisor::Supervisor,
    sync,
};

/// Interval at which the result counts are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Records the history of this instance's request results.
#[derive(Clone, Debug)]
pub(super) struct BurnSampler {
    history: Arc<Mutex<BurnHistory>>,
    started_at: Instant,
    context: EntryContext,
}

impl BurnSampler {
    /// Starts to sample at [`SAMPLE_INTERVAL`] in a child task of the supervisor.
    pub(super) fn start(supervisor: &Supervisor, context: &EntryContext) -> Self {
        let sampler = Self {
            history: Arc::default(),
            started_at: Instant::now(),
            context: context.clone(),
        };
        let task_sampler = sampler.clone();
        supervisor.spawn("burn", move |stop| {
            let sampler = task_sampler.clone();
            async move {
                while !stop.is_cancelled() {
                    sampler.observe();
                    let _ = tokio::time::timeout(SAMPLE_INTERVAL, stop.cancelled()).await;
                }
                Ok::<(), super::Error>(())
            }
        });
        sampler
    }

    /// Takes a sample and returns the history, including the new sample.
    pub(super) fn samples(&self) -> Vec<BurnSample> {
        self.observe();
        let history = sync::lock(&self.history);
        history.samples(self.now_s())
    }

    /// Adds a sample of the current result counts to the history.
    fn observe(&self) {
        let now_s = self.now_s();
        let mut history = sync::lock(&self.history);
        for counts in self.context.burn().counts() {
            let results = ResultCounts::from(&counts);
            history.observe(&counts.service, &counts.account, results, now_s);
        }
    }

    /// Returns the time since the start of sampling, in seconds.
    fn now_s(&self) -> u64 {
        self.started_at.elapsed().as_secs()
    }
}
