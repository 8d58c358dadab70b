//! Decides what becomes of an intent that is open.

use indexmap::IndexMap;

use super::{Identity, Member};
use crate::ledger::IntentEntry;

/// What the holder of a duty does about an open intent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntentAction {
    /// Reads the target's state and closes the intent.
    Resolve,
    /// Announces the same order under the own epoch, sends it once, so that the
    /// target refuses former holders, and then closes the intent.
    Adopt,
    /// Leaves the target as it is: the order may still be sent.
    Wait,
}

/// What is known of an intent beside its entry.
#[derive(Clone, Copy, Debug)]
pub struct IntentInput {
    /// Whether this process announced or last adopted it, and does not send
    /// it at the moment.
    pub announced_here: bool,
    /// Epoch under which this process holds the duty.
    pub epoch: u64,
    /// Whether the target refuses old fencing numbers.
    pub checks_fencing: bool,
    /// Whether the target's state shows that it took the order.
    pub applied: bool,
    /// Whether the process that announced it is surely gone.
    pub holder_gone: bool,
}

/// Decides what the holder of the duty does about an open intent.
///
/// Each process sends an order at most once an epoch, and only if it announced
/// or adopted the intent under that epoch.
pub fn intent_action(intent: &IntentEntry, input: &IntentInput) -> IntentAction {
    // Several processes may have sent an adopted order, or be about to do so:
    // only a write under a later epoch shuts all of them out.
    if intent.adopted {
        let may_adopt = input.checks_fencing && intent.epoch < input.epoch;
        return if may_adopt {
            IntentAction::Adopt
        } else {
            IntentAction::Wait
        };
    }
    let resolved = input.applied || input.holder_gone;
    if input.announced_here || intent.resigned || resolved {
        return IntentAction::Resolve;
    }
    if input.checks_fencing {
        return IntentAction::Adopt;
    }
    IntentAction::Wait
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
