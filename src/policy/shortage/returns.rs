//! Times at which refused callers come back.

use indexmap::IndexMap;

use super::limits::PRIORITIES;
use crate::policy::cache_locality::splitmix64;

/// Longest time after which a caller is told to come back.
pub(super) const MAX_RETURN_MS: f64 = 10_000.0;

/// Length of the slots in which returning work is booked.
const SLOT_MS: u64 = 50;

/// Number of slots, which together are longer than [`MAX_RETURN_MS`].
const SLOTS: usize = 256;

/// Part of a caller's latest return time up to which work is booked. Callers for which
/// no room is left before come back in the rest of the time.
const BOOKED_PART: f64 = 0.5;

/// Part of a caller's latest return time after which callers for whom no work is booked
/// come back, if the predicted time is later. At the latest time itself, those that are
/// refused at once would also come back at once.
const LATE_PART: f64 = 0.8;

/// Part of the capacity that is booked for returning work if new requests need all of it.
/// More would let callers who already waited delay those who can still be served in time.
const MIN_RETURN_SHARE: f64 = 0.1;

/// Part of the capacity that is booked for returning work if there are no new requests.
const MAX_RETURN_SHARE: f64 = 0.9;

/// Time before new requests that is kept free for work that returns.
const RESERVE_SLOTS: u64 = 4;

/// Lateness with which a caller may come back.
const GRACE_MS: u64 = 1_000;

/// Maximum number of callers that are remembered until they come back.
pub(super) const MAX_PROMISES: usize = 4_096;

/// Difference of a caller's remaining time from the one that it should have when it comes
/// back. Other requests of the account have their whole time left.
const LEFT_TOLERANCE_MS: f64 = 300.0;

/// A caller that was told when to come back.
#[derive(Clone, Copy, Debug)]
struct Promise {
    due_ms: u64,
    /// Time until the caller's deadline when it comes back.
    left_ms: f64,
}

/// Work that is refused, and by when it should come back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Return {
    pub(super) account: u64,
    pub(super) priority: usize,
    pub(super) work_ms: f64,
    /// Number of engines.
    pub(super) capacity: f64,
    /// Part of the capacity that more urgent requests and the shares of other accounts
    /// leave.
    pub(super) open_part: f64,
    /// Part of the capacity that requests of this and more urgent priorities leave.
    pub(super) unused_part: f64,
    /// Time until the wait is under the limit.
    pub(super) earliest_ms: f64,
    /// Longest time that the caller accepts.
    pub(super) latest_ms: f64,
    /// Time until the caller's deadline.
    pub(super) left_ms: f64,
}

/// Returning work by time, and the callers that were told when to come back.
#[derive(Clone, Debug)]
pub(super) struct ReturnSchedule {
    /// Booked work of each slot by priority, in milliseconds of one engine.
    booked_ms: Vec<[f64; PRIORITIES]>,
    /// First slot that has not passed.
    first_slot: u64,
    /// Callers that come back, by account and priority.
    promises: IndexMap<(u64, usize), Vec<Promise>>,
    promise_count: usize,
    /// Number of the refusals, from which jitter is derived.
    refusals: u64,
}

impl Default for ReturnSchedule {
    fn default() -> Self {
        Self {
            booked_ms: vec![[0.0; PRIORITIES]; SLOTS],
            first_slot: 0,
            promises: IndexMap::new(),
            promise_count: 0,
            refusals: 0,
        }
    }
}

impl ReturnSchedule {
    /// Forgets what has passed.
    pub(super) fn advance(&mut self, now_ms: u64) {
        let slot = now_ms / SLOT_MS;
        let passed = slot.saturating_sub(self.first_slot);
        if passed == 0 {
            return;
        }
        for back in 1..=passed.min(SLOTS as u64) {
            self.booked_ms[index(slot - back)] = [0.0; PRIORITIES];
        }
        self.first_slot = slot;
        let mut count = 0;
        self.promises.retain(|_, promises| {
            promises.retain(|promise| promise.due_ms.saturating_add(GRACE_MS) >= now_ms);
            count += promises.len();
            !promises.is_empty()
        });
        self.promise_count = count;
    }

    /// Returns the time after which a refused caller is told to come back, and books its
    /// work.
    pub(super) fn book(&mut self, refused: &Return, now_ms: u64) -> u64 {
        self.refusals = self.refusals.wrapping_add(1);
        let hash = splitmix64(refused.account ^ splitmix64(self.refusals));
        let jitter = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        let Some(slot) = self.find_slot(refused, now_ms) else {
            return unbooked_return_ms(refused, jitter);
        };
        // At most the span of the unbooked times, so that a longer wait never gives an
        // earlier time.
        let span_ms = (refused.latest_ms * (1.0 - BOOKED_PART)).min(SLOT_MS as f64);
        let within_slot_ms = (jitter * span_ms) as u64;
        let return_ms = (slot * SLOT_MS).saturating_sub(now_ms) + within_slot_ms;
        let return_ms = return_ms.min(refused.latest_ms as u64);
        if self.promise_count < MAX_PROMISES {
            self.promise_count += 1;
            let key = (refused.account, refused.priority);
            self.promises.entry(key).or_default().push(Promise {
                due_ms: now_ms.saturating_add(return_ms),
                left_ms: refused.left_ms - return_ms as f64,
            });
        }
        return_ms
    }

    /// Forgets a caller that was told to come back about now, and returns whether there was
    /// one with this account, priority and remaining time.
    pub(super) fn take_due(&mut self, sender: (u64, usize), left_ms: f64, now_ms: u64) -> bool {
        let Some(promises) = self.promises.get_mut(&sender) else {
            return false;
        };
        let soon_ms = now_ms.saturating_add(SLOT_MS);
        let due = promises.iter().position(|promise| {
            let difference_ms = (promise.left_ms - left_ms).abs();
            promise.due_ms <= soon_ms && difference_ms <= LEFT_TOLERANCE_MS
        });
        let Some(due) = due else {
            return false;
        };
        promises.swap_remove(due);
        self.promise_count = self.promise_count.saturating_sub(1);
        true
    }

    /// Returns the time for which an engine is kept free for work of this and more
    /// urgent priorities that returns soon, in milliseconds.
    pub(super) fn reserved_ms(&self, priority: usize, capacity: f64) -> f64 {
        let mut work_ms = 0.0;
        for slot in self.first_slot..self.first_slot.saturating_add(RESERVE_SLOTS) {
            work_ms += self.booked_ms[index(slot)][..=priority].iter().sum::<f64>();
        }
        match capacity > 0.0 {
            true => work_ms / capacity,
            false => 0.0,
        }
    }

    /// Returns the booked work of each slot from now on, in milliseconds of one engine.
    pub(super) fn booked_ms(&self) -> impl Iterator<Item = f64> {
        let slots = self.first_slot..self.first_slot.saturating_add(SLOTS as u64);
        slots.map(|slot| self.booked_ms[index(slot)].iter().sum())
    }

    /// Books the work in the slots from the earliest return time on, as far as they have
    /// room, and returns the slot that completes it. Work that is not complete in time is
    /// not booked.
    fn find_slot(&mut self, refused: &Return, now_ms: u64) -> Option<u64> {
        let first = now_ms.saturating_add(refused.earliest_ms.ceil() as u64) / SLOT_MS + 1;
        let latest_ms = (refused.latest_ms * BOOKED_PART) as u64;
        let last = now_ms.saturating_add(latest_ms) / SLOT_MS;
        let mut left_ms = refused.work_ms;
        let mut end = None;
        for slot in first..=last {
            left_ms -= self.room_ms(slot, refused);
            if left_ms <= 0.0 {
                end = Some(slot);
                break;
            }
        }
        let end = end?;
        let mut left_ms = refused.work_ms;
        for slot in first..=end {
            let part_ms = self.room_ms(slot, refused).min(left_ms);
            self.booked_ms[index(slot)][refused.priority] += part_ms;
            left_ms -= part_ms;
        }
        Some(end)
    }

    /// Returns the work that may still be booked in a slot, in milliseconds of one engine.
    fn room_ms(&self, slot: u64, refused: &Return) -> f64 {
        let booked_ms = &self.booked_ms[index(slot)];
        let capacity_ms = refused.capacity * SLOT_MS as f64;
        let share = refused
            .unused_part
            .clamp(MIN_RETURN_SHARE, MAX_RETURN_SHARE);
        let share_ms = capacity_ms * share * refused.open_part;
        let as_urgent_ms: f64 = booked_ms[..=refused.priority].iter().sum();
        let all_ms: f64 = booked_ms.iter().sum();
        (share_ms - as_urgent_ms).min(capacity_ms - all_ms).max(0.0)
    }
}

/// Returns the time after which a caller comes back for whom no work is booked.
fn unbooked_return_ms(refused: &Return, jitter: f64) -> u64 {
    let booked_ms = refused.latest_ms * BOOKED_PART;
    let late_ms = refused.latest_ms * LATE_PART;
    let first_ms = refused.earliest_ms.clamp(booked_ms, late_ms);
    let return_ms = first_ms + (refused.latest_ms - first_ms) * jitter;
    return_ms.ceil().min(refused.latest_ms) as u64
}

fn index(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize
}
