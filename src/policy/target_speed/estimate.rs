//! Estimate of one target: a level and a curve over the load, as logarithms.

/// Loads, in requests in flight, at which the curve is learned. It is interpolated
/// linearly between them, and is constant above the last one.
const KNOTS: [f64; 12] = [
    0.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0, 16.0, 24.0, 32.0, 48.0,
];

/// Time after which an answer has lost two thirds of its weight in the level, in
/// milliseconds. It is four times as long as the periods of 600 ms for which noise slows a
/// target down.
const LEVEL_TIME_CONSTANT_MS: f64 = 2_500.0;

/// Time after which an answer has lost two thirds of its weight in the curve, in
/// milliseconds. If it were as short as that of the level, a target that is avoided at
/// some load would return to that load every few seconds.
const CURVE_TIME_CONSTANT_MS: f64 = 10_000.0;

/// Weight of the prior 1.0 in the level, in answers. Bounds the change by one answer.
const LEVEL_PRIOR_ANSWERS: f64 = 6.0;

/// Weight of the prior, a flat curve, at each knot, in answers.
const CURVE_PRIOR_ANSWERS: f64 = 6.0;

/// Mean of values with decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingMean {
    weight: f64,
    sum: f64,
}

impl DecayingMean {
    fn decay(&mut self, factor: f64) {
        self.weight *= factor;
        self.sum *= factor;
    }

    fn add(&mut self, weight: f64, value: f64) {
        self.weight += weight;
        self.sum += weight * value;
    }

    /// Returns the mean of the values and of a prior of 0 with the weight `prior`.
    fn mean(&self, prior: f64) -> f64 {
        self.sum / (self.weight + prior)
    }
}

/// Estimate of one target.
#[derive(Clone, Debug)]
pub(super) struct SpeedEstimate {
    level: DecayingMean,
    /// Deviations from the level, by the knot at which they were observed.
    deviations: [DecayingMean; KNOTS.len()],
    /// Curve at each knot, which never falls with the load, as of the last answer.
    curve: [f64; KNOTS.len()],
    observed_at_ms: u64,
}

impl SpeedEstimate {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            level: DecayingMean::default(),
            deviations: [DecayingMean::default(); KNOTS.len()],
            curve: [0.0; KNOTS.len()],
            observed_at_ms: now_ms,
        }
    }

    /// Returns when the last answer was observed.
    pub(super) fn observed_at_ms(&self) -> u64 {
        self.observed_at_ms
    }

    /// Adds `weight` answers that took `exp(log_ratio)` times as long as predicted.
    pub(super) fn observe(&mut self, load: f64, log_ratio: f64, weight: f64, now_ms: u64) {
        let age_ms = self.age_ms(now_ms);
        self.level.decay(decay(age_ms, LEVEL_TIME_CONSTANT_MS));
        let curve_decay = decay(age_ms, CURVE_TIME_CONSTANT_MS);
        for deviation in &mut self.deviations {
            deviation.decay(curve_decay);
        }
        self.observed_at_ms = self.observed_at_ms.max(now_ms);
        let (below, fraction) = position(load);
        self.level.add(weight, log_ratio);
        let deviation = log_ratio - self.level.mean(LEVEL_PRIOR_ANSWERS);
        self.deviations[below].add(weight * (1.0 - fraction), deviation);
        if let Some(above) = self.deviations.get_mut(below + 1) {
            above.add(weight * fraction, deviation);
        }
        self.update_curve();
    }

    /// Returns the logarithm of the slowness with `load` requests in flight.
    pub(super) fn log_slowness(&self, load: f64, now_ms: u64) -> f64 {
        let age_ms = self.age_ms(now_ms);
        let mut level = self.level;
        level.decay(decay(age_ms, LEVEL_TIME_CONSTANT_MS));
        let (below, fraction) = position(load);
        let above = self.curve.get(below + 1).unwrap_or(&self.curve[below]);
        let deviation = self.curve[below] + fraction * (above - self.curve[below]);
        level.mean(LEVEL_PRIOR_ANSWERS) + deviation * decay(age_ms, CURVE_TIME_CONSTANT_MS)
    }

    /// Derives the curve from the deviations. Their mean is left out, since it is a
    /// change of the level that the level follows by itself.
    fn update_curve(&mut self) {
        let mut total = DecayingMean::default();
        for deviation in &self.deviations {
            total.weight += deviation.weight;
            total.sum += deviation.sum;
        }
        let mean = total.sum / total.weight.max(f64::MIN_POSITIVE);
        let mut highest = f64::NEG_INFINITY;
        for (value, deviation) in self.curve.iter_mut().zip(&self.deviations) {
            let centered = DecayingMean {
                sum: deviation.sum - mean * deviation.weight,
                ..*deviation
            };
            // Knots without answers get the value of the highest load below them.
            if deviation.weight > 0.0 || highest == f64::NEG_INFINITY {
                highest = highest.max(centered.mean(CURVE_PRIOR_ANSWERS));
            }
            *value = highest;
        }
    }

    fn age_ms(&self, now_ms: u64) -> f64 {
        now_ms.saturating_sub(self.observed_at_ms) as f64
    }
}

/// Returns the last knot that is not above `load`, and the position of `load` between this
/// and the next knot, from 0 to 1.
fn position(load: f64) -> (usize, f64) {
    let below = KNOTS.partition_point(|knot| *knot <= load).max(1) - 1;
    let Some(above) = KNOTS.get(below + 1) else {
        return (below, 0.0);
    };
    let fraction = (load - KNOTS[below]) / (above - KNOTS[below]);
    (below, fraction.clamp(0.0, 1.0))
}

fn decay(age_ms: f64, time_constant_ms: f64) -> f64 {
    (-age_ms / time_constant_ms).exp()
}
