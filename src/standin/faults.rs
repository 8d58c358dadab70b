//! Faults that every stand-in can switch on at run time.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

/// Faults of one HTTP interface.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct InterfaceFaults {
    /// Closes each connection without running the request.
    pub outage: bool,
    /// Delay before a request runs, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes whose answers are lost after taking effect.
    pub lose_answers: u32,
    /// Probability that the answer to a write is lost after taking effect.
    pub lose_probability: f64,
    /// Seed of the random numbers behind `lose_probability`.
    pub seed: u64,
}

/// Decides which answers of one interface are lost.
#[derive(Debug)]
pub(crate) struct AnswerLoss {
    remaining: u32,
    probability: f64,
    rng: StdRng,
}

impl AnswerLoss {
    /// Starts from the faults that were switched on.
    pub(crate) fn new(faults: &InterfaceFaults) -> Self {
        Self {
            remaining: faults.lose_answers,
            probability: faults.lose_probability.clamp(0.0, 1.0),
            rng: StdRng::seed_from_u64(faults.seed),
        }
    }

    /// Returns whether the next answer is lost.
    pub(crate) fn lose_next(&mut self) -> bool {
        if self.remaining > 0 {
            self.remaining -= 1;
            return true;
        }
        self.probability > 0.0 && self.rng.random_bool(self.probability)
    }
}

impl Default for AnswerLoss {
    fn default() -> Self {
        Self::new(&InterfaceFaults::default())
    }
}
