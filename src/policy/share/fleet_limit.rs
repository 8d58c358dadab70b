//! Limit on the rate of one account over all instances.
//!
//! Each instance reports its usage to all others, and keeps two accounts of the usage that
//! it knows:
//!
//! - A token bucket for the whole limit decides whether a request is within the limit.
//! - The usage of the last window bounds what the instances may use before they know of
//!   each other's usage. What is left of the bound is divided between the instances, and
//!   each may use its part without waiting for reports. A third or more of it
//!   is divided evenly, the rest by the usage of the last seconds.
//!
//! Instances that are not heard are assumed to use as much as the others. An instance that
//! hears nobody thus uses an even part of the limit.

use super::usage_window::UsageWindow;
use crate::policy::token_bucket::{MILLI, TokenBucket};

/// Fraction of the report delay, as a divisor, from which heard usage counts as older than the
/// delay: reports take at least the rest of it on average.
const HEARD_AGE_DIVISOR: u64 = 4;

/// Length of the window, as a divisor, for whose refill late reports are covered. Usage that
/// is reported still later is charged as if it were new.
const MAX_REPORT_AGE_DIVISOR: u64 = 2;

/// Time constants of the mean usages that determine the parts, in milliseconds. The short one
/// follows demand that moves to other instances, the long one is exact for steady demand.
const MEAN_TIME_CONSTANTS_MS: [f64; 2] = [3_000.0, 40_000.0];

/// Fraction of the parts that depends on each mean usage. The rest is divided evenly, for
/// instances that had no requests lately.
const MEAN_FRACTION: f64 = 0.35;

/// Fraction of the permitted overage and slack that is used. The rest covers instances that
/// have not noticed yet that they don't hear each other.
const OVERAGE_USED: f64 = 0.6;

/// Fraction of the rest of the window's bound, as a divisor, that one request may take at an
/// instance that has used nothing lately. The parts of small limits are less than a request.
const SINGLE_REQUEST_DIVISOR: f64 = 4.0;

/// Fraction of the window's bound that must be left for requests to be admitted beyond this
/// instance's part. An account that uses little is limited by the bucket alone; the rest of
/// the bound covers what others use before it is known.
const LIGHT_LEFT: f64 = 0.5;

/// Fraction of the other instances that must be heard for that.
const WELL_HEARD: f64 = 0.9;

/// Decrease of the fraction of instances heard that is not caused by delays alone.
const NOTICED_LOSS: f64 = 0.1;

/// Time until an instance notices that it doesn't hear others, as a multiple of the report
/// delay.
const NOTICE_DELAYS: f64 = 1.5;

/// Time constant of recent usage and presence, in milliseconds.
const RECENT_TIME_CONSTANT_MS: f64 = 1_000.0;

/// Step in which the end of a refusal is searched, in milliseconds.
const WAIT_STEP_MS: u64 = 100;

/// Unit of reports: parts of the limit's rate for one second. Heartbeats carry the largest
/// amounts first, which so are those of the accounts that are closest to their limits.
const REPORT_PARTS: u64 = 1 << 16;

/// Limit of an account over all instances, in units (tokens, or thousandths of a request).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub rate_per_s: u64,
    /// Units that may be used at once after a pause; 0 for those of half a second.
    pub burst: u64,
    /// Length of the sliding window in which the sum is bounded, in milliseconds.
    pub window_ms: u64,
    /// Fraction by which the sum of a window may exceed rate and burst.
    pub overage: f64,
    /// Units by which the sum of a window may exceed that.
    pub slack: u64,
}

impl Limit {
    /// Returns the most that all instances together may use in one window.
    #[must_use]
    pub fn window_bound(&self) -> f64 {
        let window_s = self.window_ms as f64 / 1_000.0;
        let base = self.rate_per_s as f64 * window_s + self.burst as f64;
        base * (1.0 + self.overage * OVERAGE_USED) + self.slack as f64 * OVERAGE_USED
    }

    fn capacity(&self) -> u64 {
        match self.burst {
            0 => self.rate_per_s / 2,
            burst => burst,
        }
    }
}

/// How much of the fleet an instance hears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reach {
    /// Known instances, including this one.
    pub instances: u32,
    /// Fraction of them that are heard, including this one.
    pub fraction: f64,
    /// Recent presence of those that are heard, in instance-milliseconds; a decaying sum.
    pub recent_presence_ms: f64,
    /// Time after which the usage of an instance counts as known to the others, in
    /// milliseconds.
    pub report_delay_ms: u64,
}

/// Refusal of a request, with the state that led to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverLimit {
    /// Time until the request is accepted if nothing else is used, in milliseconds.
    pub wait_ms: u64,
    /// Level of the bucket for the whole limit, in units.
    pub level: i64,
    /// Usage in the last window as far as it is known to all, in units.
    pub known: u64,
    /// Usage of this instance that others may not know yet, in units.
    pub unknown: u64,
    /// Bound of `unknown`, in units.
    pub part: u64,
}

/// One account's limit as enforced by one instance.
#[derive(Clone, Debug)]
pub struct FleetLimit {
    limit: Limit,
    bucket: TokenBucket,
    /// What the bucket could not hold since usage of other instances was last heard, in units.
    surplus: u64,
    /// Usage of this instance.
    own: UsageWindow,
    /// Extrapolated usage of the other instances, by the time it was heard.
    others: UsageWindow,
    /// Mean usage for each of [`MEAN_TIME_CONSTANTS_MS`].
    means: [MeanUsage; 2],
    means_at_ms: u64,
    /// Usage that is known, as a decaying sum.
    recent: f64,
    /// Fraction of the instances that were heard last.
    fraction: f64,
    /// Usage that is not reported yet; negative after refunds.
    unreported: i64,
    used_at_ms: u64,
}

impl FleetLimit {
    /// Creates the limit of an account whose past usage is known to be 0.
    #[must_use]
    pub fn idle(limit: Limit, now_ms: u64) -> Self {
        let mut created = Self::unknown(limit, now_ms);
        created.others = UsageWindow::filled(0, limit.window_ms, now_ms);
        created.bucket.fill();
        created
    }

    /// Creates the limit of an account whose past usage is not known: the limit is assumed
    /// to be used up.
    #[must_use]
    pub fn unknown(limit: Limit, now_ms: u64) -> Self {
        let mut bucket = TokenBucket::default();
        bucket.set_burst(
            limit.capacity(),
            limit.rate_per_s.saturating_mul(MILLI),
            now_ms,
        );
        Self {
            limit,
            bucket,
            surplus: 0,
            own: UsageWindow::filled(0, limit.window_ms, now_ms),
            others: UsageWindow::filled(limit.rate_per_s, limit.window_ms, now_ms),
            means: Default::default(),
            means_at_ms: now_ms,
            recent: 0.0,
            fraction: 0.0,
            unreported: 0,
            used_at_ms: now_ms,
        }
    }

    /// Changes the limit. What was used counts on.
    pub fn set_limit(&mut self, limit: Limit, now_ms: u64) {
        if limit == self.limit {
            return;
        }
        self.limit = limit;
        self.bucket.set_burst(
            limit.capacity(),
            limit.rate_per_s.saturating_mul(MILLI),
            now_ms,
        );
    }

    /// Charges a request of `cost` units.
    ///
    /// # Errors
    ///
    /// Fails if the request is over the limit; nothing is charged then.
    pub fn charge(&mut self, cost: u64, reach: Reach, now_ms: u64) -> Result<(), OverLimit> {
        self.used_at_ms = now_ms;
        self.refill(now_ms);
        let bucket_wait_ms = self.bucket.wait_ms(cost);
        let part_wait_ms = self.part_wait_ms(cost, reach, now_ms);
        let wait_ms = bucket_wait_ms.max(part_wait_ms);
        if wait_ms > 0 {
            return Err(OverLimit {
                wait_ms,
                level: self.bucket.level(),
                known: self.known(reach, now_ms),
                unknown: self.own.sum(0, reach.report_delay_ms, now_ms),
                part: self.part(cost, reach, now_ms) as u64,
            });
        }
        self.own.add(cost, now_ms);
        self.bucket.spend(cost as i64);
        self.unreported += cost as i64;
        Ok(())
    }

    /// Takes back the charge of a request that has not run.
    pub fn refund(&mut self, cost: u64) {
        self.own.remove(cost);
        self.bucket.spend(-(cost as i64));
        self.unreported -= cost as i64;
    }

    /// Adds the sum of what other instances have got from [`Self::take_report`].
    ///
    /// Heartbeats carry few accounts, so that a report may be later than the report delay. The
    /// bucket has refilled meanwhile, and what it could not hold covers such usage.
    pub fn hear(&mut self, parts: u64, reach: Reach, now_ms: u64) {
        self.used_at_ms = now_ms;
        let amount = scale(parts, self.limit.rate_per_s, REPORT_PARTS);
        self.refill(now_ms);
        let delayed = scale(self.limit.rate_per_s, reach.report_delay_ms, 1_000);
        let covering = std::mem::take(&mut self.surplus).saturating_sub(delayed);
        self.bucket.spend(amount.saturating_sub(covering) as i64);
        self.others.add(amount, now_ms);
        self.recent += amount as f64;
        for mean in &mut self.means {
            mean.all += amount as f64;
        }
    }

    /// Charges the usage of the instances that are not heard: they are assumed to use as much
    /// as the others. If this instance notices that it doesn't hear many others, their reports
    /// were missing for a while before that.
    fn charge_unheard(&mut self, elapsed_ms: u64, reach: Reach, now_ms: u64) {
        let mut unheard_ms = (1.0 - reach.fraction) * elapsed_ms as f64;
        if reach.fraction < self.fraction - NOTICED_LOSS {
            unheard_ms +=
                (self.fraction - reach.fraction) * NOTICE_DELAYS * reach.report_delay_ms as f64;
            self.fraction = reach.fraction;
        }
        self.fraction = self.fraction.max(reach.fraction);
        let usage_per_ms = self.recent / reach.recent_presence_ms.max(1.0);
        let unheard = unheard_ms * f64::from(reach.instances) * usage_per_ms;
        self.refill(now_ms);
        self.bucket.spend(unheard as i64);
        self.others.add(unheard as u64, now_ms);
    }

    /// Updates the means that determine the parts, and returns the usage to be reported to
    /// the other instances, in parts of the limit's rate. Called a few times a second.
    pub fn take_report(&mut self, reach: Reach, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.means_at_ms);
        self.means_at_ms = now_ms;
        // Own usage enters the mean only once the others' usage of that time is known.
        // Otherwise each instance would take the first usage for all there is.
        let known_until_ms = now_ms.saturating_sub(reach.report_delay_ms);
        let known_own = self
            .own
            .sum_between(known_until_ms.saturating_sub(elapsed_ms), known_until_ms);
        let unreported = self.unreported.max(0) as u64;
        let parts = scale(unreported, REPORT_PARTS, self.limit.rate_per_s);
        let reported = scale(parts, self.limit.rate_per_s, REPORT_PARTS);
        for (mean, time_constant_ms) in self.means.iter_mut().zip(MEAN_TIME_CONSTANTS_MS) {
            let decay = (-(elapsed_ms as f64) / time_constant_ms).exp();
            mean.own = mean.own * decay + known_own as f64;
            mean.all = mean.all * decay + reported as f64;
        }
        self.unreported -= reported as i64;
        self.recent = self.recent * recent_decay(elapsed_ms) + reported as f64;
        self.charge_unheard(elapsed_ms, reach, now_ms);
        parts
    }

    /// Returns whether neither this instance nor another has used the account since
    /// `since_ms`.
    #[must_use]
    pub fn is_unused_since(&self, since_ms: u64) -> bool {
        self.used_at_ms < since_ms
    }

    fn refill(&mut self, now_ms: u64) {
        let surplus = self.surplus.saturating_add(self.bucket.refill(now_ms));
        self.surplus = surplus.min(self.max_surplus());
    }

    fn max_surplus(&self) -> u64 {
        let delay_ms = self.limit.window_ms / MAX_REPORT_AGE_DIVISOR;
        scale(self.limit.rate_per_s, delay_ms, 1_000)
    }

    /// Returns the usage of the last window that is known to all instances.
    fn known(&self, reach: Reach, now_ms: u64) -> u64 {
        let window_ms = self.limit.window_ms;
        let own = self.own.sum(reach.report_delay_ms, window_ms, now_ms);
        let heard_age_ms = reach.report_delay_ms / HEARD_AGE_DIVISOR;
        let others = self.others.sum(heard_age_ms, window_ms, now_ms);
        own.saturating_add(others)
    }

    /// Returns the usage that this instance may have without the others' knowledge.
    fn part(&self, cost: u64, reach: Reach, now_ms: u64) -> f64 {
        self.left(reach, now_ms).max(0.0) * self.weight(cost, reach)
    }

    /// Returns what known usage leaves of the window's bound; negative if it exceeds it.
    fn left(&self, reach: Reach, now_ms: u64) -> f64 {
        self.limit.window_bound() - self.known(reach, now_ms) as f64
    }

    /// Returns this instance's part as a fraction of that of all instances.
    fn weight(&self, cost: u64, reach: Reach) -> f64 {
        let even = 1.0 / f64::from(reach.instances.max(1));
        let mut weight = 0.0;
        let mut even_fraction = 1.0;
        for mean in &self.means {
            let per_instance = mean.all * even / cost.max(1) as f64;
            let fraction = MEAN_FRACTION * per_instance / (per_instance + 1.0);
            let by_usage = (mean.own * reach.fraction / mean.all.max(1.0)).min(1.0);
            weight += by_usage * fraction;
            even_fraction -= fraction;
        }
        weight + even * even_fraction
    }

    /// Returns the time until the part of this instance suffices for a request, in
    /// milliseconds; 0 if it does.
    fn part_wait_ms(&self, cost: u64, reach: Reach, now_ms: u64) -> u64 {
        let mut ahead_ms = 0;
        while ahead_ms <= self.limit.window_ms {
            if self.is_within_part(cost, reach, now_ms + ahead_ms) {
                return ahead_ms;
            }
            ahead_ms += WAIT_STEP_MS;
        }
        ahead_ms
    }

    fn is_within_part(&self, cost: u64, reach: Reach, now_ms: u64) -> bool {
        let unknown = self.own.sum(0, reach.report_delay_ms, now_ms);
        let left = self.left(reach, now_ms);
        if unknown == 0 && cost as f64 <= left / SINGLE_REQUEST_DIVISOR {
            return true;
        }
        let is_light =
            unknown as f64 + cost as f64 <= left - LIGHT_LEFT * self.limit.window_bound();
        if is_light && reach.fraction >= WELL_HEARD {
            return true;
        }
        unknown as f64 + cost as f64 <= left * self.weight(cost, reach)
    }
}

/// Decaying sums of usage.
#[derive(Clone, Copy, Debug, Default)]
struct MeanUsage {
    /// Usage of this instance.
    own: f64,
    /// Usage of all instances.
    all: f64,
}

/// Returns `amount` in another unit, rounded down.
fn scale(amount: u64, to: u64, from: u64) -> u64 {
    let scaled = u128::from(amount) * u128::from(to) / u128::from(from.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// Returns by how much a recent sum decays in `elapsed_ms`.
pub(super) fn recent_decay(elapsed_ms: u64) -> f64 {
    (-(elapsed_ms as f64) / RECENT_TIME_CONSTANT_MS).exp()
}
