//! Engine time that a service's requests take, smoothed over recent seconds.

use super::engine_profile::{EngineWork, LOCAL_PREFILL_FACTOR};

/// Utilization of engines that prefill up to which prompts hardly wait.
const MAX_PREFILL_UTILIZATION: f64 = 0.7;

/// Utilization of engines from which on requests often meet others in front of
/// them.
const BUSY_UTILIZATION: f64 = 0.5;

/// Engine time asked for each second, in engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Reading of prompts that are best read by engines that prefill.
    pub remote_prefill: f64,
    /// Reading of other prompts, by engines that decode.
    pub local_prefill: f64,
    /// Generating answers.
    pub decode: f64,
}

impl EngineLoad {
    /// Returns the utilization of the engines that decode if `prefilling` of
    /// `engines` engines prefill: what these cannot read is read elsewhere.
    #[must_use]
    pub fn utilization(&self, engines: usize, prefilling: usize) -> f64 {
        let decoding = engines.saturating_sub(prefilling);
        let prefilled = self
            .remote_prefill
            .min(MAX_PREFILL_UTILIZATION * prefilling as f64);
        let overflow = (self.remote_prefill - prefilled) * LOCAL_PREFILL_FACTOR;
        let work = self.local_prefill + self.decode + overflow;
        match decoding {
            0 => f64::INFINITY,
            _ => work / decoding as f64,
        }
    }

    /// Returns whether requests often meet others in front of them, if
    /// `prefilling` of `engines` engines prefill.
    #[must_use]
    pub fn is_busy(&self, engines: usize, prefilling: usize) -> bool {
        let is_prefill_saturated = self.prefill_share(prefilling) < 1.0;
        is_prefill_saturated || self.utilization(engines, prefilling) >= BUSY_UTILIZATION
    }

    /// Returns the part of the prompts best read by engines that prefill that
    /// `prefilling` of them can read.
    #[must_use]
    pub fn prefill_share(&self, prefilling: usize) -> f64 {
        if self.remote_prefill <= 0.0 {
            return 1.0;
        }
        (MAX_PREFILL_UTILIZATION * prefilling as f64 / self.remote_prefill).min(1.0)
    }

    /// Returns the number of engines that should prefill, of `engines`.
    #[must_use]
    pub fn best_prefill_engines(&self, engines: usize) -> usize {
        let mut best = (f64::INFINITY, 0);
        for prefilling in 0..engines {
            let utilization = self.utilization(engines, prefilling);
            if utilization < best.0 {
                best = (utilization, prefilling);
            }
        }
        best.1
    }

    /// Returns the fewest engines that serve the load at a utilization.
    #[must_use]
    pub fn needed_engines(&self, utilization: f64, max_engines: usize) -> usize {
        for engines in 1..max_engines {
            let prefilling = self.best_prefill_engines(engines);
            if self.utilization(engines, prefilling) <= utilization {
                return engines;
            }
        }
        max_engines
    }
}

/// Exponential mean of the engine time that requests take.
#[derive(Clone, Copy, Debug)]
pub struct WorkMeter {
    time_constant_ms: f64,
    load: EngineLoad,
    /// Sum of the weights of all samples, from 0 to 1, which corrects the mean
    /// for its initial value of 0.
    sum_weights: f64,
}

impl WorkMeter {
    /// Creates a meter that follows a change within about this time.
    #[must_use]
    pub fn new(time_constant_ms: f64) -> Self {
        Self {
            time_constant_ms: time_constant_ms.max(1.0),
            load: EngineLoad::default(),
            sum_weights: 0.0,
        }
    }

    /// Takes in the work that was asked for within the last `elapsed_ms`.
    pub fn observe(&mut self, work: EngineWork, elapsed_ms: f64) {
        if elapsed_ms <= 0.0 {
            return;
        }
        let gain = 1.0 - (-elapsed_ms / self.time_constant_ms).exp();
        let load = &mut self.load;
        load.remote_prefill += gain * (work.remote_prefill_ms / elapsed_ms - load.remote_prefill);
        load.local_prefill += gain * (work.local_prefill_ms / elapsed_ms - load.local_prefill);
        load.decode += gain * (work.decode_ms / elapsed_ms - load.decode);
        self.sum_weights += gain * (1.0 - self.sum_weights);
    }

    /// Returns the mean over what was taken in so far.
    #[must_use]
    pub fn load(&self) -> EngineLoad {
        if self.sum_weights <= 0.0 {
            return EngineLoad::default();
        }
        EngineLoad {
            remote_prefill: self.load.remote_prefill / self.sum_weights,
            local_prefill: self.load.local_prefill / self.sum_weights,
            decode: self.load.decode / self.sum_weights,
        }
    }
}
