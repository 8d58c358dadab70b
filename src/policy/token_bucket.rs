//! Token bucket, which limits a rate of requests or model tokens.

/// Number of thousandths in a whole unit, such as a request or a token.
pub const MILLI: u64 = 1_000;
/// Milliseconds in a second.
pub(super) const MS_PER_S: u64 = 1_000;

/// A token bucket that counts requests or model tokens, in thousandths of one.
///
/// The level may become negative: an amount above the capacity is accepted when
/// the bucket is full, and corrections of estimates are always charged.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    /// Rate at which the bucket is refilled; `None` for no limit.
    rate_milli_per_s: Option<u64>,
    /// Capacity; `None` for the amount refilled in one second.
    burst_milli: Option<u64>,
    level_milli: i64,
    refilled_at_ms: u64,
}

impl TokenBucket {
    /// Changes the rate. A bucket that had no limit becomes empty.
    pub fn set_rate(&mut self, rate_milli_per_s: Option<u64>, now_ms: u64) {
        self.refill(now_ms);
        if self.rate_milli_per_s.is_none() {
            self.level_milli = 0;
            self.refilled_at_ms = now_ms;
        }
        self.rate_milli_per_s = rate_milli_per_s;
        self.level_milli = self.level_milli.min(self.capacity_milli());
    }

    /// Changes the rate and the capacity, in whole units. A bucket that had no limit becomes
    /// empty.
    pub fn set_burst(&mut self, burst: u64, rate_milli_per_s: u64, now_ms: u64) {
        self.refill(now_ms);
        self.burst_milli = Some(burst.saturating_mul(MILLI));
        self.set_rate(Some(rate_milli_per_s), now_ms);
    }

    /// Returns the level in whole units.
    #[must_use]
    pub fn level(&self) -> i64 {
        self.level_milli / MILLI as i64
    }

    /// Fills the bucket to its capacity.
    pub fn fill(&mut self) {
        self.level_milli = self.capacity_milli();
    }

    /// Adds what the rate has refilled by `now_ms`. Returns the whole units that the bucket
    /// could not hold.
    pub fn refill(&mut self, now_ms: u64) -> u64 {
        let Some(rate_milli_per_s) = self.rate_milli_per_s else {
            return 0;
        };
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let refill_milli =
            u128::from(rate_milli_per_s) * u128::from(elapsed_ms) / u128::from(MS_PER_S);
        if refill_milli == 0 {
            return 0;
        }
        self.refilled_at_ms = now_ms;
        let refill_milli = i64::try_from(refill_milli).unwrap_or(i64::MAX);
        let refilled_milli = self.level_milli.saturating_add(refill_milli);
        self.level_milli = refilled_milli.min(self.capacity_milli());
        (refilled_milli - self.level_milli).unsigned_abs() / MILLI
    }

    /// Returns the capacity: the configured one or the amount refilled in one second, at
    /// least one unit.
    fn capacity_milli(&self) -> i64 {
        let rate_milli_per_s = self.rate_milli_per_s.unwrap_or(0);
        let capacity_milli = self.burst_milli.unwrap_or(rate_milli_per_s);
        i64::try_from(capacity_milli.max(MILLI)).unwrap_or(i64::MAX)
    }

    /// Returns the time until `amount` units are accepted, in milliseconds; 0 if they
    /// are accepted now.
    ///
    /// An amount above the capacity is accepted when the bucket is full.
    #[must_use]
    pub fn wait_ms(&self, amount: u64) -> u64 {
        let Some(rate_milli_per_s) = self.rate_milli_per_s else {
            return 0;
        };
        let amount_milli = i64::try_from(amount.saturating_mul(MILLI)).unwrap_or(i64::MAX);
        let missing_milli = amount_milli.min(self.capacity_milli()) - self.level_milli;
        match u64::try_from(missing_milli) {
            Ok(missing_milli) if missing_milli > 0 && rate_milli_per_s == 0 => u64::MAX,
            Ok(missing_milli) => (missing_milli * MS_PER_S).div_ceil(rate_milli_per_s.max(1)),
            Err(_) => 0,
        }
    }

    /// Takes `amount` units from the bucket; a negative amount is put back.
    pub fn spend(&mut self, amount: i64) {
        if self.rate_milli_per_s.is_some() {
            self.level_milli = self
                .level_milli
                .saturating_sub(amount.saturating_mul(MILLI as i64));
        }
    }
}
