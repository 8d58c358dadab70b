//! Limits of one account on request rate, token rate and concurrency.
//!
//! Each limit is divided into one share for each instance, and an instance
//! enforces only its own share. Shares can be moved between instances by demand
//! (see [`crate::policy::share`]).

use displaydoc::Display;

use super::token_bucket::{MILLI, MS_PER_S, TokenBucket};

/// Length of the windows over which the offered rate is averaged, in milliseconds.
const OFFERED_RATE_WINDOW_MS: u64 = 1_000;

/// Limits of an account, either for all instances together or for the share of one
/// instance.
///
/// `None` means no limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AccountLimits {
    /// Request rate, in thousandths of a request per second.
    pub requests_milli_per_s: Option<u64>,
    /// Token rate, in thousandths of a token per second.
    pub tokens_milli_per_s: Option<u64>,
    /// Maximum number of requests in progress.
    pub max_concurrent: Option<u64>,
}

impl AccountLimits {
    /// Creates limits from the values of a service document, where 0 means no
    /// limit.
    #[must_use]
    pub fn new(max_requests_per_s: u32, max_tokens_per_s: u32, max_concurrent: u32) -> Self {
        let limit = |value: u32| (value > 0).then_some(u64::from(value));
        Self {
            requests_milli_per_s: limit(max_requests_per_s).map(|rate| rate * MILLI),
            tokens_milli_per_s: limit(max_tokens_per_s).map(|rate| rate * MILLI),
            max_concurrent: limit(max_concurrent),
        }
    }
}

/// The limit for which a request was rejected without being run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LimitError {
    /// the account's request rate limit is exceeded; retry after {retry_after_ms} ms
    Requests {
        /// Time until a request is accepted, if this instance's share doesn't
        /// change.
        retry_after_ms: u64,
    },
    /// the account's token rate limit is exceeded; retry after {retry_after_ms} ms
    Tokens {
        /// Time until the request's tokens are accepted, if this instance's
        /// share doesn't change.
        retry_after_ms: u64,
    },
    /// the account's limit on requests in progress is reached
    Concurrent,
}

impl std::error::Error for LimitError {}

/// Enforces one instance's share of an account's limits.
///
/// In the example, the limit is one request in progress:
///
/// ```
/// use lavenderwind::policy::limits::{AccountLimiter, AccountLimits, LimitError};
///
/// let mut limiter = AccountLimiter::new(AccountLimits::new(0, 0, 1), 0);
/// limiter.acquire(100, 0).unwrap();
/// assert_eq!(limiter.acquire(100, 0), Err(LimitError::Concurrent));
/// limiter.release(100, 80);
/// limiter.acquire(100, 0).unwrap();
/// ```
#[derive(Clone, Debug)]
pub struct AccountLimiter {
    limits: AccountLimits,
    requests: TokenBucket,
    tokens: TokenBucket,
    in_progress: u64,
    rejected: u64,
    offered_requests: OfferedRate,
    offered_tokens: OfferedRate,
}

impl AccountLimiter {
    /// Creates a limiter whose token buckets are full.
    #[must_use]
    pub fn new(limits: AccountLimits, now_ms: u64) -> Self {
        let mut limiter = Self {
            limits: AccountLimits::default(),
            requests: TokenBucket::default(),
            tokens: TokenBucket::default(),
            in_progress: 0,
            rejected: 0,
            offered_requests: OfferedRate::default(),
            offered_tokens: OfferedRate::default(),
        };
        limiter.set_limits(limits, now_ms);
        limiter.requests.fill();
        limiter.tokens.fill();
        limiter
    }

    /// Changes this instance's share of the limits.
    pub fn set_limits(&mut self, limits: AccountLimits, now_ms: u64) {
        self.limits = limits;
        self.requests.set_rate(limits.requests_milli_per_s, now_ms);
        self.tokens.set_rate(limits.tokens_milli_per_s, now_ms);
    }

    /// Admits a request that is estimated to take `tokens` tokens.
    ///
    /// # Errors
    ///
    /// Fails with the limit that the request exceeds. The request then counts in
    /// [`Self::take_demand`], but not as in progress.
    pub fn acquire(&mut self, tokens: u64, now_ms: u64) -> Result<(), LimitError> {
        self.offered_requests.record(1, now_ms);
        self.offered_tokens.record(tokens, now_ms);
        let result = self.check_limits(tokens, now_ms);
        if result.is_err() {
            self.rejected += 1;
            return result;
        }
        self.in_progress += 1;
        self.requests.spend(1);
        self.tokens.spend(i64::try_from(tokens).unwrap_or(i64::MAX));
        result
    }

    /// Records the end of a request and charges the difference between its
    /// served and its estimated tokens.
    pub fn release(&mut self, estimated_tokens: u64, served_tokens: u64) {
        self.in_progress = self.in_progress.saturating_sub(1);
        let estimated = i64::try_from(estimated_tokens).unwrap_or(i64::MAX);
        let served = i64::try_from(served_tokens).unwrap_or(i64::MAX);
        self.tokens.spend(served - estimated);
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> u64 {
        self.in_progress
    }

    /// Returns the share of each limit that this instance could use, and resets
    /// the count of rejected requests.
    ///
    /// For the two rates, the share is the rate that callers offer. For the limit on
    /// concurrency, it is the number of requests in progress plus the number of
    /// requests rejected since the last call.
    pub fn take_demand(&mut self, now_ms: u64) -> AccountLimits {
        let rejected = std::mem::take(&mut self.rejected);
        AccountLimits {
            requests_milli_per_s: Some(self.offered_requests.milli_per_s(now_ms)),
            tokens_milli_per_s: Some(self.offered_tokens.milli_per_s(now_ms)),
            max_concurrent: Some(self.in_progress + rejected),
        }
    }

    fn check_limits(&mut self, tokens: u64, now_ms: u64) -> Result<(), LimitError> {
        let is_reached = |max| self.in_progress >= max;
        if self.limits.max_concurrent.is_some_and(is_reached) {
            return Err(LimitError::Concurrent);
        }
        self.requests.refill(now_ms);
        self.tokens.refill(now_ms);
        let retry_after_ms = self.requests.wait_ms(1);
        if retry_after_ms > 0 {
            return Err(LimitError::Requests { retry_after_ms });
        }
        let retry_after_ms = self.tokens.wait_ms(tokens);
        if retry_after_ms > 0 {
            return Err(LimitError::Tokens { retry_after_ms });
        }
        Ok(())
    }
}

/// Rate of the requests or tokens that callers offer, whether accepted or not.
///
/// The rate is the larger of those in the current and in the previous window of
/// [`OFFERED_RATE_WINDOW_MS`].
#[derive(Clone, Debug, Default)]
struct OfferedRate {
    window_index: u64,
    current_amount: u64,
    previous_amount: u64,
}

impl OfferedRate {
    fn record(&mut self, amount: u64, now_ms: u64) {
        self.advance_window(now_ms);
        self.current_amount += amount;
    }

    fn milli_per_s(&mut self, now_ms: u64) -> u64 {
        self.advance_window(now_ms);
        let rate_per_s =
            self.current_amount.max(self.previous_amount) * MS_PER_S / OFFERED_RATE_WINDOW_MS;
        rate_per_s * MILLI
    }

    /// Starts a new window if the current one has ended.
    fn advance_window(&mut self, now_ms: u64) {
        let window_index = now_ms / OFFERED_RATE_WINDOW_MS;
        match window_index.saturating_sub(self.window_index) {
            0 => return,
            1 => self.previous_amount = self.current_amount,
            _ => self.previous_amount = 0,
        }
        self.current_amount = 0;
        self.window_index = window_index;
    }
}
