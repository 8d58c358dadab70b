//! Admission control for the engines of a service.
//!
//! While engines are calm, every request that can be served before its caller leaves is
//! admitted. During a shortage, requests are admitted up to a wait limit that is lower
//! for less urgent ones, so that those that are admitted are served within their
//! objective. Refused callers are told when to come back, at times that are spread by
//! the capacity.
//!
//! `condition` detects shortages, `limits` has the wait limits of the priorities,
//! `accounts` and `sizes` the shares of accounts and request sizes, and `returns` the
//! times at which callers come back.
//!
//! ```
//! use lavenderwind::policy::shortage::{Admission, Decision, Offer, Request};
//!
//! let request = Request {
//!     priority: 0, objective_ms: 800.0, left_ms: 6_000.0, account: 7, work_ms: 120.0,
//! };
//! let idle = Offer { wait_ms: 0.0, mean_wait_ms: 0.0, own_ms: 120.0, capacity: 20.0 };
//! assert_eq!(Admission::default().decide(&request, &idle, 0), Decision::Admit);
//! ```

mod accounts;
mod condition;
mod decay;
mod limits;
mod returns;
mod sizes;

use displaydoc::Display;

pub use self::condition::ShortageState;
use self::{
    accounts::AccountShares,
    condition::ShortageCondition,
    decay::Rate,
    limits::{LimitRange, PRIORITIES, UrgencyLimits},
    returns::{MAX_RETURN_MS, Return, ReturnSchedule},
    sizes::SizeShares,
};

/// Shortest time for which a caller waits for its answer.
const MIN_PATIENCE_MS: f64 = 2_000.0;

/// Time for which a caller waits for its answer, in objectives.
const PATIENCE_OBJECTIVES: f64 = 4.0;

/// Part of its remaining time for which a refused caller waits before it comes back.
const RETURN_PART: f64 = 1.0 / 3.0;

/// Time in which the weight of a priority's work falls to 1/e, for its demand now.
const DEMAND_DECAY_MS: f64 = 1_000.0;

/// The same for its lasting demand, in which a short burst counts little.
const LASTING_DECAY_MS: f64 = 10_000.0;

/// Assumed smallest part of the capacity that more urgent requests leave.
const MIN_FREE_PART: f64 = 0.1;

/// Objectives below this value count as this value.
const MIN_OBJECTIVE_MS: f64 = 10.0;

/// Longer times count as this value.
const MAX_TIME_MS: f64 = 600_000.0;

const MAX_CAPACITY: f64 = 1_000_000.0;

/// A request to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Objective for the time to the first event, in milliseconds.
    pub objective_ms: f64,
    /// Time until the caller's deadline, counted from its first attempt, in milliseconds.
    pub left_ms: f64,
    /// Hash of the client account.
    pub account: u64,
    /// Engine time that the request consumes, in milliseconds.
    pub work_ms: f64,
}

/// Service that the best engine would give to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// Predicted wait behind other requests, in milliseconds.
    pub wait_ms: f64,
    /// Mean wait on all engines, in milliseconds. A single engine may be busy while others
    /// are free, which is no shortage.
    pub mean_wait_ms: f64,
    /// Time that the request itself needs to its first event, in milliseconds.
    pub own_ms: f64,
    /// Number of engines that work for such requests.
    pub capacity: f64,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request is sent to the engine.
    Admit,
    /// The request is refused without having run.
    Refuse {
        /// Time after which the caller should come back, in milliseconds.
        retry_after_ms: u64,
        /// Reason for the refusal.
        reason: Reason,
    },
}

/// Reason for which a request is refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Reason {
    /// the request would not be served before its caller leaves
    Hopeless,
    /// engines are short, also for the most urgent requests
    Shortage,
    /// engines are short, and more urgent requests come first
    Urgency,
    /// engines are short, and the account had more than its fair share
    AccountShare,
}

impl Reason {
    /// Returns the reason as a metric label.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Hopeless => "Hopeless",
            Self::Shortage => "Shortage",
            Self::Urgency => "Urgency",
            Self::AccountShare => "AccountShare",
        }
    }
}

/// Admission control for the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    condition: ShortageCondition,
    limits: UrgencyLimits,
    accounts: AccountShares,
    sizes: SizeShares,
    returns: ReturnSchedule,
    /// Demand of each priority, in engines.
    demand: [Rate; PRIORITIES],
    lasting_demand: [Rate; PRIORITIES],
    now_ms: u64,
}

impl Admission {
    /// Decides whether a request is admitted.
    ///
    /// `now_ms` is the time of a monotonic clock; an earlier time than before counts as
    /// the same time.
    pub fn decide(&mut self, request: &Request, offer: &Offer, now_ms: u64) -> Decision {
        let now_ms = self.now_ms.max(now_ms);
        self.now_ms = now_ms;
        let request = request.sanitized();
        let offer = offer.sanitized();
        let priority = request.rank();
        self.record_offered(&request, &offer, now_ms);
        let Some(reason) = self.refusal(&request, &offer) else {
            self.accounts
                .record_admitted(request.sender(), request.work_ms, now_ms);
            self.sizes.record_admitted(priority, offer.own_ms, now_ms);
            return Decision::Admit;
        };
        Decision::Refuse {
            retry_after_ms: self.return_time(&request, &offer),
            reason,
        }
    }

    /// Returns whether the engines are short, as known from the last request.
    #[must_use]
    pub fn state(&self) -> ShortageState {
        self.condition.state()
    }

    /// Returns the number of accounts whose recent work is known.
    #[must_use]
    pub fn known_accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the work that refused callers were told to bring back, in milliseconds of
    /// one engine, for each slot of 50 ms from the time of the last request on.
    pub fn returning_work_ms(&self) -> impl Iterator<Item = f64> {
        self.returns.booked_ms()
    }

    fn record_offered(&mut self, request: &Request, offer: &Offer, now_ms: u64) {
        let priority = request.rank();
        self.limits.observe(priority, request.objective_ms, now_ms);
        self.demand[priority].add(request.work_ms, now_ms, DEMAND_DECAY_MS);
        self.lasting_demand[priority].add(request.work_ms, now_ms, LASTING_DECAY_MS);
        self.accounts
            .record_offered(request.sender(), request.work_ms, now_ms);
        self.sizes.record_offered(priority, offer.own_ms, now_ms);
        self.returns.advance(now_ms);
        let smallest_ms = self.limits.smallest_ms();
        self.condition
            .observe(offer.mean_wait_ms, smallest_ms, now_ms);
    }

    /// Returns why the request is refused; `None` if it is admitted.
    fn refusal(&mut self, request: &Request, offer: &Offer) -> Option<Reason> {
        let patience_ms = (PATIENCE_OBJECTIVES * request.objective_ms).max(MIN_PATIENCE_MS);
        if offer.wait_ms + offer.own_ms > patience_ms.min(request.left_ms) {
            return Some(Reason::Hopeless);
        }
        let range = self.limits.range(request.rank());
        let is_admitted = !self.condition.state().is_short()
            || offer.wait_ms <= self.wait_limit_ms(request, offer)
            || (offer.wait_ms <= range.high_ms && self.is_exempt(request, offer));
        if is_admitted {
            return None;
        }
        if offer.wait_ms <= self.limit_below_share_ms(range, request, offer) {
            return Some(Reason::AccountShare);
        }
        let most_urgent = self.limits.most_urgent();
        let urgent_limit_ms = self.limits.range(most_urgent).for_size(offer.own_ms);
        let is_urgency = request.rank() > most_urgent && offer.wait_ms <= urgent_limit_ms;
        Some(match is_urgency {
            true => Reason::Urgency,
            false => Reason::Shortage,
        })
    }

    /// Returns the longest wait with which a new request is admitted in a shortage.
    fn wait_limit_ms(&self, request: &Request, offer: &Offer) -> f64 {
        let range = self.limits.range(request.rank());
        let exceeded = self.accounts.exceeded_part(request.sender(), self.now_ms);
        match exceeded.is_some() {
            true => range.low_ms,
            false => self.limit_below_share_ms(range, request, offer),
        }
    }

    /// Returns the wait limit of a request whose account had at most its fair share.
    fn limit_below_share_ms(&self, range: LimitRange, request: &Request, offer: &Offer) -> f64 {
        let reserved_ms = self.returns.reserved_ms(request.rank(), offer.capacity);
        let reserved_ms = reserved_ms.min((range.high_ms - range.low_ms) / 2.0);
        // Small requests leave room for the usual ones, which would be late otherwise.
        let typical_ms = self.sizes.typical_ms(request.rank(), self.now_ms);
        range.for_size(offer.own_ms.max(typical_ms) + reserved_ms)
    }

    /// Returns `true` if the whole range of wait limits is open to the request: its caller
    /// was told to come back now, or requests of its size would be starved.
    fn is_exempt(&mut self, request: &Request, offer: &Offer) -> bool {
        let priority = request.rank();
        let (sender, now_ms) = (request.sender(), self.now_ms);
        if self.returns.take_due(sender, request.left_ms, now_ms) {
            return true;
        }
        let has_share = self
            .accounts
            .exceeded_part(request.sender(), now_ms)
            .is_none();
        has_share && self.sizes.is_starved(priority, offer.own_ms, now_ms)
    }

    /// Returns the time after which a refused caller should come back.
    fn return_time(&mut self, request: &Request, offer: &Offer) -> u64 {
        let priority = request.rank();
        let (mut urgent, mut used, mut lasting) = (0.0, 0.0, 0.0);
        for index in 0..=priority {
            urgent = used;
            used += self.demand[index].get(self.now_ms, DEMAND_DECAY_MS);
            lasting += self.lasting_demand[index].get(self.now_ms, LASTING_DECAY_MS);
        }
        let urgent_part = busy_part(urgent, offer.capacity);
        let used_part = busy_part(f64::min(used, lasting), offer.capacity);
        let exceeded = self.accounts.exceeded_part(request.sender(), self.now_ms);
        let excess_ms = (offer.wait_ms - self.wait_limit_ms(request, offer)).max(0.0);
        let refused = Return {
            account: request.account,
            priority,
            work_ms: request.work_ms,
            capacity: offer.capacity,
            open_part: (1.0 - urgent_part) * exceeded.unwrap_or(1.0),
            unused_part: 1.0 - used_part,
            earliest_ms: excess_ms / (1.0 - urgent_part).max(MIN_FREE_PART),
            left_ms: request.left_ms,
            latest_ms: (request.left_ms * RETURN_PART).min(MAX_RETURN_MS),
        };
        self.returns.book(&refused, self.now_ms)
    }
}

impl Request {
    fn rank(&self) -> usize {
        usize::from(self.priority).min(PRIORITIES - 1)
    }

    fn sender(&self) -> (u64, usize) {
        (self.account, self.rank())
    }

    fn sanitized(self) -> Self {
        Self {
            objective_ms: finite(self.objective_ms, MAX_TIME_MS).max(MIN_OBJECTIVE_MS),
            left_ms: finite(self.left_ms, MAX_TIME_MS),
            work_ms: finite(self.work_ms, MAX_TIME_MS),
            ..self
        }
    }
}

impl Offer {
    fn sanitized(self) -> Self {
        Self {
            wait_ms: finite(self.wait_ms, MAX_TIME_MS),
            mean_wait_ms: finite(self.mean_wait_ms, MAX_TIME_MS),
            own_ms: finite(self.own_ms, MAX_TIME_MS),
            capacity: finite(self.capacity, MAX_CAPACITY),
        }
    }
}

/// Returns the part of the capacity that a demand needs, at most 1.
fn busy_part(demand: f64, capacity: f64) -> f64 {
    match capacity > 0.0 {
        true => (demand / capacity).min(1.0),
        false => 1.0,
    }
}

/// Returns the value between 0 and `max`; 0 if it is not a number.
fn finite(value: f64, max: f64) -> f64 {
    match value.is_nan() {
        true => 0.0,
        false => value.clamp(0.0, max),
    }
}
