//! Decides how the holder of a duty handles an open intent.
//!
//! An intent is a log record that announces an order. The intent is open until
//! the outcome of the order is recorded. A holder may find intents that it or a
//! former holder left open.

use indexmap::IndexMap;

use super::{Identity, Member};
use crate::ledger::IntentEntry;

/// Action of a duty's holder for an open intent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntentAction {
    /// Determines the outcome from the target's state and closes the intent.
    Resolve,
    /// Announces the same order under the holder's own epoch and sends it once,
    /// so that the target refuses former holders, and then closes the intent.
    Adopt,
    /// Leaves the intent open, as another process may still send the order.
    Wait,
}

/// Input to [`intent_action`] beside the ledger entry of the intent.
#[derive(Clone, Copy, Debug)]
pub struct IntentInput {
    /// Whether this process announced or last adopted the intent and is not
    /// sending its order at the moment.
    pub announced_here: bool,
    /// Epoch under which this process holds the duty.
    pub epoch: u64,
    /// Whether the target refuses orders with a fencing token lower than the highest
    /// one that it has received.
    pub checks_fencing: bool,
    /// Whether the target's state shows that it accepted the order.
    pub applied: bool,
    /// Whether the process that announced or last adopted the intent has ended,
    /// or the target itself is gone.
    pub holder_gone: bool,
}

/// Decides what the holder of the duty does about an open intent.
///
/// Each process sends an order at most once per epoch, and only if it announced
/// or adopted the intent under that epoch.
pub fn intent_action(intent: &IntentEntry, input: &IntentInput) -> IntentAction {
    // Several processes may have sent an adopted order, or may still send it. Only
    // a write under a later epoch makes the target refuse all their writes.
    if intent.adopted {
        let may_adopt = input.checks_fencing && intent.epoch < input.epoch;
        return if may_adopt {
            IntentAction::Adopt
        } else {
            IntentAction::Wait
        };
    }
    let is_outcome_final = input.applied || input.holder_gone;
    if input.announced_here || intent.resigned || is_outcome_final {
        return IntentAction::Resolve;
    }
    if input.checks_fencing {
        return IntentAction::Adopt;
    }
    IntentAction::Wait
}

/// Measures for how long instances have been missing from the live list, the
/// platform's list of running instances.
#[derive(Clone, Debug, Default)]
pub struct AbsenceTracker {
    missing_since_ms: IndexMap<Identity, u64>,
}

impl AbsenceTracker {
    /// Returns a tracker without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records which of the `awaited` instances are missing from the live list.
    /// Another incarnation under the same name does not count as present.
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

    /// Discards all observations. Must be called while the live list is not known.
    pub fn reset(&mut self) {
        self.missing_since_ms.clear();
    }

    /// Returns whether an instance has been missing for at least `grace_ms`.
    pub fn is_gone(&self, identity: &Identity, grace_ms: u64, now_ms: u64) -> bool {
        let since_ms = self.missing_since_ms.get(identity);
        since_ms.is_some_and(|since_ms| now_ms.saturating_sub(*since_ms) >= grace_ms)
    }
}
