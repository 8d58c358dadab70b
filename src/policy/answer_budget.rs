//! Division of one memory limit among the answers in flight.
//!
//! An answer grows as it arrives, and how large it gets is not known. If the limit is
//! reached, the largest answer that still arrives gives way, so that many small answers get
//! through beside a few that are sent without end. Its memory counts until it is released.

use indexmap::IndexMap;

/// Maximum memory of all answers, including those that were given up and have not released
/// theirs yet, as a multiple of the limit.
pub const MAX_WITH_EVICTED: usize = 2;

/// Memory of one answer.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    bytes: usize,
    /// Whether the answer has arrived completely. It is then kept until it is delivered.
    is_complete: bool,
}

/// Result of a request for another amount of memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Resized {
    /// The answer has the memory. These larger answers must be given up for it.
    Granted {
        /// Numbers of the answers to give up.
        evicted: Vec<u64>,
    },
    /// The limit is reached, and the answer is the largest one that still arrives, or was
    /// given up before, or too much of those that were given up is not released yet.
    Refused,
}

/// Memory of all answers in flight.
///
/// ```
/// use lavenderwind::policy::answer_budget::{AnswerBudget, Resized};
///
/// let mut budget = AnswerBudget::default();
/// let (large, small) = (budget.open(), budget.open());
/// assert_eq!(budget.resize(large, 90, 100), Resized::Granted { evicted: vec![] });
/// assert_eq!(budget.resize(small, 20, 100), Resized::Granted { evicted: vec![large] });
/// assert_eq!(budget.resize(large, 95, 100), Resized::Refused);
/// assert_eq!(budget.total_bytes(), 20);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerBudget {
    shares: IndexMap<u64, Share>,
    total_bytes: usize,
    /// Memory of the answers that were given up, by number, until they are closed.
    evicted: IndexMap<u64, usize>,
    evicted_bytes: usize,
    last_number: u64,
}

impl AnswerBudget {
    /// Adds an answer without memory, and returns its number.
    pub fn open(&mut self) -> u64 {
        self.last_number += 1;
        self.shares.insert(self.last_number, Share::default());
        self.last_number
    }

    /// Changes the memory of an answer. The sum of all that were not given up is at most
    /// `limit_bytes` afterwards, unless it was above that before.
    pub fn resize(&mut self, number: u64, bytes: usize, limit_bytes: usize) -> Resized {
        let Some(share) = self.shares.get(&number).copied() else {
            return Resized::Refused;
        };
        let others_bytes = self.total_bytes - share.bytes;
        if bytes <= share.bytes {
            self.set(number, bytes);
            return Resized::Granted {
                evicted: Vec::new(),
            };
        }
        let Some(evicted) = self.find_room(number, bytes, others_bytes, limit_bytes) else {
            return Resized::Refused;
        };
        let grown_bytes = others_bytes + bytes + self.evicted_bytes;
        if grown_bytes > MAX_WITH_EVICTED * limit_bytes {
            return Resized::Refused;
        }
        for evicted in &evicted {
            self.evict(*evicted);
        }
        self.set(number, bytes);
        Resized::Granted { evicted }
    }

    /// Marks an answer as complete. It no longer gives way to others.
    pub fn complete(&mut self, number: u64) {
        if let Some(share) = self.shares.get_mut(&number) {
            share.is_complete = true;
        }
    }

    /// Removes an answer, whose memory is released.
    pub fn close(&mut self, number: u64) {
        if let Some(share) = self.shares.swap_remove(&number) {
            self.total_bytes -= share.bytes;
        }
        if let Some(bytes) = self.evicted.swap_remove(&number) {
            self.evicted_bytes -= bytes;
        }
    }

    /// Returns the memory of all answers that were not given up.
    #[must_use]
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Returns the memory of the answers that were given up and not released yet.
    #[must_use]
    pub fn evicted_bytes(&self) -> usize {
        self.evicted_bytes
    }

    fn evict(&mut self, number: u64) {
        if let Some(share) = self.shares.swap_remove(&number) {
            self.total_bytes -= share.bytes;
            self.evicted.insert(number, share.bytes);
            self.evicted_bytes += share.bytes;
        }
    }

    fn set(&mut self, number: u64, bytes: usize) {
        if let Some(share) = self.shares.get_mut(&number) {
            self.total_bytes = self.total_bytes - share.bytes + bytes;
            share.bytes = bytes;
        }
    }

    /// Returns the answers to give up so that one gets `bytes`, the largest first, or `None`
    /// if there are not enough that are larger and still arrive.
    fn find_room(
        &self,
        number: u64,
        bytes: usize,
        mut others_bytes: usize,
        limit_bytes: usize,
    ) -> Option<Vec<u64>> {
        let mut evicted = Vec::new();
        if others_bytes + bytes <= limit_bytes {
            return Some(evicted);
        }
        let mut larger: Vec<(usize, u64)> = Vec::new();
        for (&other, share) in &self.shares {
            if other != number && !share.is_complete && share.bytes > bytes {
                larger.push((share.bytes, other));
            }
        }
        larger.sort_unstable();
        while others_bytes + bytes > limit_bytes {
            let (other_bytes, other) = larger.pop()?;
            others_bytes -= other_bytes;
            evicted.push(other);
        }
        Some(evicted)
    }
}
