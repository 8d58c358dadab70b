//! Moving average of the engine time that a service's requests need.

use super::engine_profile::{EngineWork, LOCAL_PREFILL_FACTOR};

/// Highest utilization of the prefill engines at which prompts hardly wait in the
/// engines' queues.
const MAX_PREFILL_UTILIZATION: f64 = 0.7;

/// Lowest utilization of the decode engines at which requests often queue behind
/// others.
const BUSY_UTILIZATION: f64 = 0.5;

/// Demand for engine time, in seconds of engine time per second: a demand of 1
/// keeps one engine fully busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Prefill of prompts that are served faster by a prefill engine.
    pub remote_prefill: f64,
    /// Prefill of the other prompts, on the engine that decodes their answer.
    pub local_prefill: f64,
    /// Decoding of answers.
    pub decode: f64,
}

impl EngineLoad {
    /// Returns the utilization of the decode engines if `prefilling` of `engines`
    /// engines prefill.
    ///
    /// Prompts beyond the prefill engines' capacity are prefilled on the decode
    /// engines. The utilization is infinite if there are no decode engines.
    #[must_use]
    pub fn utilization(&self, engines: usize, prefilling: usize) -> f64 {
        let decoding = engines.saturating_sub(prefilling);
        let served_remotely = self
            .remote_prefill
            .min(MAX_PREFILL_UTILIZATION * prefilling as f64);
        let local_overflow = (self.remote_prefill - served_remotely) * LOCAL_PREFILL_FACTOR;
        let work = self.local_prefill + self.decode + local_overflow;
        match decoding {
            0 => f64::INFINITY,
            _ => work / decoding as f64,
        }
    }

    /// Returns whether requests often queue behind others, if `prefilling` of
    /// `engines` engines prefill.
    #[must_use]
    pub fn is_busy(&self, engines: usize, prefilling: usize) -> bool {
        let is_prefill_saturated = self.prefill_share(prefilling) < 1.0;
        is_prefill_saturated || self.utilization(engines, prefilling) >= BUSY_UTILIZATION
    }

    /// Returns the share of the `remote_prefill` demand for which `prefilling`
    /// prefill engines have capacity, from 0 to 1.
    #[must_use]
    pub fn prefill_share(&self, prefilling: usize) -> f64 {
        if self.remote_prefill <= 0.0 {
            return 1.0;
        }
        (MAX_PREFILL_UTILIZATION * prefilling as f64 / self.remote_prefill).min(1.0)
    }

    /// Returns how many of `engines` engines should prefill so that the utilization
    /// of the decode engines is lowest.
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

    /// Returns the smallest number of engines, up to `max_engines`, that serve the
    /// demand at a utilization of at most `utilization`.
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

/// Exponential moving average of the demand for engine time.
#[derive(Clone, Copy, Debug)]
pub struct WorkMeter {
    time_constant_ms: f64,
    /// Averages that are not corrected for their start value of 0 yet.
    load: EngineLoad,
    /// Sum of the weights of all samples, from 0 to 1. The averages start at 0 and
    /// are divided by this sum to correct for the start value.
    sum_weights: f64,
}

impl WorkMeter {
    /// Creates a meter whose average has the given time constant, in milliseconds.
    #[must_use]
    pub fn new(time_constant_ms: f64) -> Self {
        Self {
            time_constant_ms: time_constant_ms.max(1.0),
            load: EngineLoad::default(),
            sum_weights: 0.0,
        }
    }

    /// Adds the work of the requests that arrived in the last `elapsed_ms`
    /// milliseconds.
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

    /// Returns the average demand, 0 before any observation.
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
