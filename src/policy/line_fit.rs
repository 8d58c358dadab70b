//! Linear regression over recent samples, with exponentially decaying weights.

/// Weight of a sample relative to the next newer one.
const DECAY: f64 = 0.98;

/// Sum of the samples' weights below which there are too few samples for a
/// prediction.
const MIN_SUM_WEIGHTS: f64 = 5.0;

/// Weight of a sample that lies above the line in [`LineFit::observe_asymmetric`];
/// other samples have a weight of 1.
const HIGH_SAMPLE_WEIGHT: f64 = 0.2;

/// Least-squares fit of a line, with exponentially decaying weights.
///
/// ```
/// use lavenderwind::policy::line_fit::LineFit;
///
/// let mut fit = LineFit::new(1.0);
/// for x in 0..40 {
///     fit.observe(f64::from(x), 3.0 + 2.0 * f64::from(x));
/// }
/// assert!((fit.predict(100.0).unwrap() - 203.0).abs() < 0.1);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LineFit {
    /// Variance of x below which the slope is taken as 0, since it cannot be
    /// distinguished from noise.
    min_variance: f64,
    sum_weights: f64,
    sum_x: f64,
    sum_xx: f64,
    sum_y: f64,
    sum_xy: f64,
}

impl LineFit {
    /// Creates a fit without samples, whose slope is 0 while the variance of x
    /// is below `min_variance`.
    #[must_use]
    pub fn new(min_variance: f64) -> Self {
        Self {
            min_variance,
            sum_weights: 0.0,
            sum_x: 0.0,
            sum_xx: 0.0,
            sum_y: 0.0,
            sum_xy: 0.0,
        }
    }

    /// Adds a sample.
    pub fn observe(&mut self, x: f64, y: f64) {
        self.observe_weighted(x, y, 1.0);
    }

    /// Adds a sample of a quantity that disturbances can only increase.
    ///
    /// Samples above the line get a lower weight, so that the line follows the
    /// samples without a disturbance.
    pub fn observe_asymmetric(&mut self, x: f64, y: f64) {
        let is_high = self.predict(x).is_some_and(|predicted| y > predicted);
        let weight = match is_high {
            true => HIGH_SAMPLE_WEIGHT,
            false => 1.0,
        };
        self.observe_weighted(x, y, weight);
    }

    /// Returns the line's value at `x`, at least 0; `None` if there are too few
    /// samples.
    #[must_use]
    pub fn predict(&self, x: f64) -> Option<f64> {
        let slope = self.slope()?;
        let (mean_x, mean_y) = (self.sum_x / self.sum_weights, self.sum_y / self.sum_weights);
        Some((mean_y + slope * (x - mean_x)).max(0.0))
    }

    /// Returns the slope, at least 0; `None` if there are too few samples.
    #[must_use]
    pub fn slope(&self) -> Option<f64> {
        if self.sum_weights < MIN_SUM_WEIGHTS {
            return None;
        }
        let (mean_x, mean_y) = (self.sum_x / self.sum_weights, self.sum_y / self.sum_weights);
        let variance = self.sum_xx / self.sum_weights - mean_x * mean_x;
        if variance < self.min_variance {
            return Some(0.0);
        }
        let covariance = self.sum_xy / self.sum_weights - mean_x * mean_y;
        Some((covariance / variance).max(0.0))
    }

    fn observe_weighted(&mut self, x: f64, y: f64, weight: f64) {
        if !x.is_finite() || !y.is_finite() {
            return;
        }
        let decay = DECAY.powf(weight);
        self.sum_weights = self.sum_weights * decay + weight;
        self.sum_x = self.sum_x * decay + weight * x;
        self.sum_xx = self.sum_xx * decay + weight * x * x;
        self.sum_y = self.sum_y * decay + weight * y;
        self.sum_xy = self.sum_xy * decay + weight * x * y;
    }
}
