//! Usual time of a service's answers, by route.

use std::sync::Arc;

use indexmap::IndexMap;

/// Weight of the newest answer in the moving average of a route's time.
const GAIN: f64 = 0.05;

/// Maximum number of routes. Another route replaces the one that was added first.
pub const MAX_ROUTES: usize = 256;

/// Moving average of the logarithms of a route's times.
#[derive(Clone, Copy, Debug, Default)]
struct RouteTime {
    answers: u32,
    mean_log_ms: f64,
}

/// Usual times of answers, by route.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    routes: IndexMap<Arc<str>, RouteTime>,
}

impl AnswerTimes {
    /// Returns the usual time of a route's answers, in milliseconds; `None` before the first
    /// one.
    #[must_use]
    pub fn expected_ms(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|time| time.mean_log_ms.exp())
    }

    /// Adds the time of an answer. Times that are not finite or not over 0 are ignored.
    pub fn observe(&mut self, route: &Arc<str>, elapsed_ms: f64) {
        if !elapsed_ms.is_finite() || elapsed_ms <= 0.0 {
            return;
        }
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.shift_remove_index(0);
        }
        let time = self.routes.entry(route.clone()).or_default();
        time.answers = time.answers.saturating_add(1);
        // The first answers count equally.
        let gain = (1.0 / f64::from(time.answers)).max(GAIN);
        time.mean_log_ms += gain * (elapsed_ms.ln() - time.mean_log_ms);
    }
}
