//! Time between tokens on a target, learned as a function of the number of
//! streams that the target decodes at the same time.
//!
//! The time is learned because engines differ in how much each further stream
//! slows the others, and don't report it.

use super::line_fit::LineFit;

/// Number of concurrent streams that a target may always have, regardless of the
/// predicted time between tokens. If the prediction is too high, the answers of
/// these streams correct it.
const MIN_STREAMS: f64 = 4.0;
/// Variance of the number of streams below which the increase of the time between
/// tokens per stream is taken as 0, since it cannot be distinguished from noise.
const MIN_VARIANCE: f64 = 1.0;

/// Learned time between tokens of one target.
#[derive(Clone, Copy, Debug)]
pub struct DecodeProfile {
    fit: LineFit,
}

impl Default for DecodeProfile {
    fn default() -> Self {
        Self {
            fit: LineFit::new(MIN_VARIANCE),
        }
    }
}

impl DecodeProfile {
    /// Adds the mean time between the tokens of an answer, in milliseconds. The
    /// answer was decoded as one of `streams` concurrent streams.
    pub fn observe(&mut self, streams: u32, between_tokens_ms: f64) {
        self.fit.observe(f64::from(streams), between_tokens_ms);
    }

    /// Predicts the time between tokens with `streams` concurrent streams, in
    /// milliseconds; `None` before enough answers were observed.
    #[must_use]
    pub fn between_tokens_ms(&self, streams: u32) -> Option<f64> {
        self.fit.predict(f64::from(streams))
    }

    /// Returns whether a target that decodes `streams` streams can take another one
    /// without exceeding a time of `between_tokens_ms` between tokens.
    #[must_use]
    pub fn allows(&self, streams: u32, between_tokens_ms: f64) -> bool {
        if f64::from(streams) < MIN_STREAMS {
            return true;
        }
        let predicted_ms = self.between_tokens_ms(streams + 1);
        predicted_ms.is_none_or(|predicted_ms| predicted_ms <= between_tokens_ms)
    }
}
