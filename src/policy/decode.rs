//! Learned time between tokens on a target, by the streams that it decodes.
//!
//! A line through recent answers, in which older ones count less. Engines
//! differ in how much each further stream slows the others, and don't say.

/// Weight of an answer relative to the next one.
const DECAY: f64 = 0.98;
/// Weight of answers from which on the line is trusted.
const MIN_WEIGHT: f64 = 5.0;
/// Streams that a target is always allowed, so that the line can be corrected.
const MIN_STREAMS: f64 = 4.0;
/// Variance of streams below which the slope is not told from noise.
const MIN_VARIANCE: f64 = 1.0;

/// Recent answers of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecodeProfile {
    weight: f64,
    streams: f64,
    streams_squared: f64,
    between_ms: f64,
    product: f64,
}

impl DecodeProfile {
    /// Takes in the mean time between the tokens of an answer, and the streams
    /// that ran beside it, itself included.
    pub fn observe(&mut self, streams: u32, between_tokens_ms: f64) {
        let streams = f64::from(streams);
        self.weight = self.weight * DECAY + 1.0;
        self.streams = self.streams * DECAY + streams;
        self.streams_squared = self.streams_squared * DECAY + streams * streams;
        self.between_ms = self.between_ms * DECAY + between_tokens_ms;
        self.product = self.product * DECAY + streams * between_tokens_ms;
    }

    /// Predicts the time between tokens with so many streams; `None` before
    /// enough answers were seen.
    #[must_use]
    pub fn between_tokens_ms(&self, streams: u32) -> Option<f64> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let mean_streams = self.streams / self.weight;
        let mean_ms = self.between_ms / self.weight;
        let variance = self.streams_squared / self.weight - mean_streams * mean_streams;
        let covariance = self.product / self.weight - mean_streams * mean_ms;
        let slope = match variance < MIN_VARIANCE {
            true => 0.0,
            false => (covariance / variance).max(0.0),
        };
        Some((mean_ms + slope * (f64::from(streams) - mean_streams)).max(0.0))
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
