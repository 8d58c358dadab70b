//! Faults that can be injected into an HTTP interface at run time.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

/// Faults injected into one HTTP interface.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct InterfaceFaults {
    /// Closes each connection without running the request.
    pub outage: bool,
    /// Delay before a request is run, in milliseconds.
    pub slow_ms: u64,
    /// Number of the next writes that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Probability that a write takes effect but its answer is lost.
    pub lose_probability: f64,
    /// Seed of the random number generator for `lose_probability`.
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
    /// Creates the state for the given faults; the random numbers restart from
    /// their seed.
    pub(crate) fn new(faults: &InterfaceFaults) -> Self {
        Self {
            remaining: faults.lose_answers,
            probability: faults.lose_probability.clamp(0.0, 1.0),
            rng: StdRng::seed_from_u64(faults.seed),
        }
    }

    /// Decides whether the next answer is lost.
    ///
    /// The first `lose_answers` answers are lost, later ones with the given
    /// probability.
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
