//! Learned time between tokens on a target, by the streams that it decodes.
//!
//! Engines differ in how much each further stream slows the others, and don't
//! say.

use super::line_fit::LineFit;

/// Streams that a target is always allowed, so that the line can be corrected.
const MIN_STREAMS: f64 = 4.0;
/// Variance of streams below which the slope is not told from noise.
const MIN_VARIANCE: f64 = 1.0;

/// Recent answers of one target.
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
    /// Takes in the mean time between the tokens of an answer, and the streams
    /// that ran beside it, itself included.
    pub fn observe(&mut self, streams: u32, between_tokens_ms: f64) {
        self.fit.observe(f64::from(streams), between_tokens_ms);
    }

    /// Predicts the time between tokens with so many streams; `None` before
    /// enough answers were seen.
    #[must_use]
    pub fn between_tokens_ms(&self, streams: u32) -> Option<f64> {
        self.fit.predict(f64::from(streams))
    }

    /// Returns whether one more stream keeps the time between tokens within a
    /// bound.
    #[must_use]
    pub fn allows(&self, streams: u32, between_tokens_ms: f64) -> bool {
        if f64::from(streams) < MIN_STREAMS {
            return true;
        }
        let predicted_ms = self.between_tokens_ms(streams + 1);
        predicted_ms.is_none_or(|predicted_ms| predicted_ms <= between_tokens_ms)
    }
}
