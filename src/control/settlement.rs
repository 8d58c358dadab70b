//! Decides what becomes of an intent that is open.

use indexmap::IndexMap;

use super::{Identity, Member};
use crate::ledger::{DutyEntry, IntentEntry};

/// What the holder of a duty does about an open intent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settlement {
    /// Reads the target's state and closes the intent.
    Resolve,
    /// Sends the order once under the own epoch, so that the target refuses
    /// former holders, and then closes the intent.
    Refence {
        /// Whether the order need not be sent if the target already took it:
        /// each holder sends it at most once.
        unless_taken: bool,
    },
    /// Leaves the target as it is: the order may still be sent.
    Wait,
}

/// What is known of an intent beside its entry.
#[derive(Clone, Copy, Debug)]
pub struct IntentSituation {
    /// Whether this process announced it, and no longer sends it.
    pub own: bool,
    /// Whether the target refuses old fencing numbers.
    pub checks_fencing: bool,
    /// Whether no other instance held the duty between the epoch of the intent
    /// and the own one.
    pub direct: bool,
    /// Whether this process already sent it under its own epoch.
    pub refenced: bool,
    /// Whether the process that announced it is surely gone.
    pub announcer_gone: bool,
}

/// Whether no other instance held the duty between the epoch of an intent and
/// that of the holder.
pub fn is_direct(intent: &IntentEntry, holder: &DutyEntry) -> bool {
    intent.epoch == holder.epoch || intent.epoch == holder.after_epoch
}

/// Decides what the holder of the duty does about an open intent.
pub fn settlement(intent: &IntentEntry, situation: &IntentSituation) -> Settlement {
    let refence = situation.checks_fencing && !situation.refenced;
    // A holder in between may have sent the order, too, and be about to do so.
    if situation.checks_fencing && !situation.direct {
        return if refence {
            Settlement::Refence {
                unless_taken: false,
            }
        } else {
            Settlement::Wait
        };
    }
    if situation.own || intent.resigned {
        return Settlement::Resolve;
    }
    if refence {
        return Settlement::Refence { unless_taken: true };
    }
    if situation.announcer_gone {
        return Settlement::Resolve;
    }
    Settlement::Wait
}

/// Counts how long instances have been missing from the live list.
#[derive(Clone, Debug, Default)]
pub struct AbsenceClock {
    missing_since_ms: IndexMap<Identity, u64>,
}

impl AbsenceClock {
    /// Returns a clock that has seen no list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes which of the awaited instances the live list lacks. Another
    /// incarnation under the same name does not count as present.
    pub fn observe(&mut self, awaited: &[Identity], members: &[Member], now_ms: u64) {
        self.missing_since_ms
            .retain(|identity, _| awaited.contains(identity));
        for identity in awaited {
            let listed = members.iter().any(|member| member.identity == *identity);
            if listed {
                self.missing_since_ms.swap_remove(identity);
                continue;
            }
            self.missing_since_ms
                .entry(identity.clone())
                .or_insert(now_ms);
        }
    }

    /// Drops all counts, as the live list is not known.
    pub fn reset(&mut self) {
        self.missing_since_ms.clear();
    }

    /// Whether an instance has been missing for `grace_ms`.
    pub fn is_gone(&self, identity: &Identity, grace_ms: u64, now_ms: u64) -> bool {
        let since_ms = self.missing_since_ms.get(identity);
        since_ms.is_some_and(|since_ms| now_ms.saturating_sub(*since_ms) >= grace_ms)
    }
}
