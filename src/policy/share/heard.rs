//! Fraction of the instances whose reports arrive.

use std::collections::VecDeque;

use super::{Reach, fleet_limit::recent_decay};

/// Margin of the report delay over two heartbeats, in milliseconds.
const DELAY_MARGIN_MS: u64 = 200;

/// Shortest report delay, in milliseconds. Small fleets send heartbeats every 100 ms, but
/// tasks of a busy instance run late.
const MIN_DELAY_MS: u64 = 800;

/// Shortest interval over which presence is averaged, in milliseconds, for the same reason.
const MIN_RAMP_MS: u64 = 500;

/// Fraction from which all instances count as heard. Reports are delayed unevenly, so that
/// the measured fraction varies.
const COMPLETE_FRACTION: f64 = 0.95;

/// Time for which an instance counts after it has left the list, in milliseconds. Instances
/// learn at different times that another has gone.
const REMEMBERED_MS: u64 = 10_000;

/// Measures which fraction of all instances this instance hears.
///
/// Each instance reports the time for which it was present. Reports are summed up on their
/// way, so the sum of an interval divided by its length is the number of instances heard.
#[derive(Clone, Debug)]
pub struct HeardInstances {
    /// Reported presence by arrival time, in instance-milliseconds.
    arrivals: VecDeque<(u64, f64)>,
    /// Interval of the heartbeats of relays, in milliseconds.
    heartbeat_ms: u64,
    /// Presence of the heard instances and this one, as a decaying sum in instance-milliseconds.
    recent_presence_ms: f64,
    added_at_ms: u64,
    /// Largest number of known instances, and when it was last seen.
    known: u32,
    known_at_ms: u64,
}

impl HeardInstances {
    /// Creates the state of an instance that has heard nothing yet. Until the first call of
    /// [`Self::set_known`] there are `assumed` instances, whose relays send a heartbeat every
    /// `heartbeat_ms`.
    #[must_use]
    pub fn new(assumed: u32, heartbeat_ms: u64, now_ms: u64) -> Self {
        Self {
            arrivals: VecDeque::new(),
            heartbeat_ms,
            recent_presence_ms: 0.0,
            added_at_ms: now_ms,
            known: assumed.max(1),
            known_at_ms: now_ms.saturating_sub(REMEMBERED_MS),
        }
    }

    /// Sets the number of known instances, including this one, and the interval of the
    /// heartbeats of relays in a fleet of that size. A smaller number applies after
    /// 10 s.
    pub fn set_known(&mut self, instances: u32, heartbeat_ms: u64, now_ms: u64) {
        if instances >= self.known || now_ms >= self.known_at_ms + REMEMBERED_MS {
            self.known = instances.max(1);
            self.heartbeat_ms = heartbeat_ms;
            self.known_at_ms = now_ms;
        }
    }

    /// Returns how much of the fleet this instance hears.
    #[must_use]
    pub fn reach(&self, now_ms: u64) -> Reach {
        Reach {
            instances: self.known,
            fraction: self.fraction(now_ms),
            recent_presence_ms: self.recent_presence_ms,
            // A report passes through the relays of two groups.
            report_delay_ms: (2 * self.heartbeat_ms + DELAY_MARGIN_MS).max(MIN_DELAY_MS),
        }
    }

    /// Adds the presence that other instances have reported since the last call.
    pub fn add(&mut self, presence_ms: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.added_at_ms);
        self.added_at_ms = now_ms;
        self.recent_presence_ms *= recent_decay(elapsed_ms);
        self.recent_presence_ms += elapsed_ms as f64 + presence_ms;
        if presence_ms > 0.0 {
            self.arrivals.push_back((now_ms, presence_ms));
        }
        let counted_ms = 3 * self.ramp_ms();
        while self
            .arrivals
            .front()
            .is_some_and(|arrival| arrival.0 + counted_ms < now_ms)
        {
            self.arrivals.pop_front();
        }
    }

    /// Returns the fraction of the known instances that are heard, including this one.
    fn fraction(&self, now_ms: u64) -> f64 {
        let heard = 1.0 + self.others(now_ms);
        let fraction = (heard / f64::from(self.known)).min(1.0);
        if fraction >= COMPLETE_FRACTION {
            return 1.0;
        }
        fraction
    }

    /// Returns the weighted mean of the number of other instances heard.
    ///
    /// Reports count for three intervals of heartbeats: fully in the middle one, and with a
    /// weight that rises before and falls after that. The mean so doesn't depend on when the
    /// last heartbeat arrived.
    fn others(&self, now_ms: u64) -> f64 {
        let interval_ms = self.ramp_ms();
        let mut presence_ms = 0.0;
        for &(at_ms, amount_ms) in &self.arrivals {
            let age_ms = now_ms.saturating_sub(at_ms);
            let left_ms = (3 * interval_ms).saturating_sub(age_ms);
            let ramp_ms = age_ms.min(left_ms).min(interval_ms);
            presence_ms += amount_ms * ramp_ms as f64 / interval_ms as f64;
        }
        presence_ms / (2 * interval_ms) as f64
    }

    fn ramp_ms(&self) -> u64 {
        self.heartbeat_ms.max(MIN_RAMP_MS)
    }
}
