//! How long requests take on each target, relative to what the service's profile
//! predicts, as a function of the requests in flight there.
//!
//! The estimate of a target is the product of its level, which is the mean over all its
//! recent answers, and of a curve over the load, which is learned more slowly. Both are
//! geometric means with exponentially decaying weights and a prior of 1.0, so that a single
//! answer changes little, and the estimate of a target that gets no requests moves back
//! towards 1.0.

pub mod answer_times;
mod estimate;
pub mod report;

use std::sync::Arc;

use indexmap::IndexMap;

use self::estimate::SpeedEstimate;

/// Lower bound of the slowness.
pub const MIN_SLOWNESS: f64 = 0.25;

/// Upper bound of the slowness.
pub const MAX_SLOWNESS: f64 = 4.0;

/// Maximum number of targets with an estimate. Another target replaces the one whose last
/// answer is the oldest.
pub const MAX_TARGETS: usize = 1_024;

/// Maximum number of answers that are counted in one observation.
pub const MAX_ANSWERS: u32 = 32;

/// Learned speeds of all targets.
///
/// ```
/// use lavenderwind::policy::target_speed::TargetSpeeds;
///
/// let mut speeds = TargetSpeeds::default();
/// for now_ms in (0..5_000).step_by(100) {
///     speeds.observe(&"slow".into(), 1.0, 40.0, 80.0, now_ms);
/// }
/// assert!(speeds.slowness("slow", 1.0, 5_000) > 1.6);
/// assert_eq!(speeds.slowness("unknown", 1.0, 5_000), 1.0);
/// ```
#[derive(Debug, Default)]
pub struct TargetSpeeds {
    /// Estimates by target name.
    targets: IndexMap<Arc<str>, SpeedEstimate>,
}

impl TargetSpeeds {
    /// Adds an answer of a target.
    ///
    /// `load` is the number of requests in flight on the target when the request was sent,
    /// and `expected_ms` the time that the service's profile predicts for the request.
    /// Values that are not finite, and times of 0 or less, are ignored.
    pub fn observe(
        &mut self,
        target: &Arc<str>,
        load: f64,
        expected_ms: f64,
        actual_ms: f64,
        now_ms: u64,
    ) {
        let are_finite = load.is_finite() && expected_ms.is_finite() && actual_ms.is_finite();
        if !are_finite || expected_ms <= 0.0 || actual_ms <= 0.0 {
            return;
        }
        self.observe_answers(target, load, actual_ms / expected_ms, 1, now_ms);
    }

    /// Adds `answers` answers of a target, which took `slowness` times as long as predicted
    /// on average. At most [`MAX_ANSWERS`] of them are counted.
    pub fn observe_answers(
        &mut self,
        target: &Arc<str>,
        load: f64,
        slowness: f64,
        answers: u32,
        now_ms: u64,
    ) {
        if slowness.is_nan() || load.is_nan() || answers == 0 {
            return;
        }
        let slowness = slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        let weight = f64::from(answers.min(MAX_ANSWERS));
        let estimate = self.estimate_mut(target, now_ms);
        estimate.observe(load.max(0.0), slowness.ln(), weight, now_ms);
    }

    /// Returns the time that a request takes on a target with `load` requests in flight, as
    /// a multiple of what the service's profile predicts; 1.0 for unknown targets.
    #[must_use]
    pub fn slowness(&self, target: &str, load: f64, now_ms: u64) -> f64 {
        let Some(estimate) = self.targets.get(target) else {
            return 1.0;
        };
        let load = match load.is_nan() {
            true => 0.0,
            false => load.max(0.0),
        };
        let log_slowness = estimate.log_slowness(load, now_ms);
        log_slowness.exp().clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    /// Removes the targets for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.targets.retain(|target, _| keep(target));
    }

    /// Returns the names of the targets with an estimate.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<str>> {
        self.targets.keys()
    }

    fn estimate_mut(&mut self, target: &Arc<str>, now_ms: u64) -> &mut SpeedEstimate {
        if self.targets.len() >= MAX_TARGETS && !self.targets.contains_key(target) {
            let oldest = self.targets.values().enumerate();
            let oldest = oldest.min_by_key(|(_, estimate)| estimate.observed_at_ms());
            if let Some((index, _)) = oldest {
                self.targets.swap_remove_index(index);
            }
        }
        let entry = self.targets.entry(target.clone());
        entry.or_insert_with(|| SpeedEstimate::new(now_ms))
    }
}
