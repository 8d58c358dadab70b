//! Shares of the request sizes in the admitted requests.

use super::{decay::DecayingSum, limits::PRIORITIES};

/// Time in which the weight of a request falls to 1/e.
const DECAY_MS: f64 = 3_000.0;

/// Number of size classes; the time that requests of a class take is up to twice that
/// of the class before.
const SIZES: usize = 18;

/// Smallest rate of admission of a size, as a fraction of that of its priority.
const MIN_RELATIVE_RATE: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: DecayingSum,
    admitted: DecayingSum,
}

impl Counts {
    fn admitted_part(&self, now_ms: u64) -> f64 {
        let offered = self.offered.get(now_ms, DECAY_MS);
        match offered > 0.0 {
            true => self.admitted.get(now_ms, DECAY_MS) / offered,
            false => 0.0,
        }
    }
}

/// Recent requests by priority and size.
///
/// Small requests fill the queue up to a wait with which larger ones would be late. The
/// counts make sure that some of the larger ones are admitted nevertheless.
#[derive(Clone, Debug, Default)]
pub(super) struct SizeShares {
    sizes: [[Counts; SIZES]; PRIORITIES],
    priorities: [Counts; PRIORITIES],
    /// Sum of the times that requests take, by priority.
    own_ms: [DecayingSum; PRIORITIES],
    /// Sum of the squares of these times.
    own_squared: [DecayingSum; PRIORITIES],
}

impl SizeShares {
    /// Records a request that takes `own_ms` itself.
    pub(super) fn record_offered(&mut self, priority: usize, own_ms: f64, now_ms: u64) {
        let size = &mut self.sizes[priority][class(own_ms)];
        size.offered.add(1.0, now_ms, DECAY_MS);
        self.priorities[priority].offered.add(1.0, now_ms, DECAY_MS);
        self.own_ms[priority].add(own_ms, now_ms, DECAY_MS);
        self.own_squared[priority].add(own_ms * own_ms, now_ms, DECAY_MS);
    }

    /// Records an admitted request.
    pub(super) fn record_admitted(&mut self, priority: usize, own_ms: f64, now_ms: u64) {
        let size = &mut self.sizes[priority][class(own_ms)];
        size.admitted.add(1.0, now_ms, DECAY_MS);
        self.priorities[priority]
            .admitted
            .add(1.0, now_ms, DECAY_MS);
    }

    /// Returns the mean time that recent requests of a priority take, weighted by this time.
    pub(super) fn typical_ms(&self, priority: usize, now_ms: u64) -> f64 {
        let sum_ms = self.own_ms[priority].get(now_ms, DECAY_MS);
        match sum_ms > 0.0 {
            true => self.own_squared[priority].get(now_ms, DECAY_MS) / sum_ms,
            false => 0.0,
        }
    }

    /// Returns `true` if far fewer of the requests of this size were admitted than of
    /// all requests of the priority.
    pub(super) fn is_starved(&self, priority: usize, own_ms: f64, now_ms: u64) -> bool {
        let part = self.sizes[priority][class(own_ms)].admitted_part(now_ms);
        part < MIN_RELATIVE_RATE * self.priorities[priority].admitted_part(now_ms)
    }
}

fn class(own_ms: f64) -> usize {
    (own_ms.max(1.0).log2() as usize).min(SIZES - 1)
}
