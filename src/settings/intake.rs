//! Settings of the admission of connections and bytes.

use serde::Deserialize;

use super::{Checker, Result};

/// Minimum time limit of callers that do not go on, in milliseconds. A lower one would close
/// callers that wait for a retransmission.
const MIN_STALL_MS: u64 = 250;

/// Limits on callers, for each listener.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct IntakeSettings {
    /// Maximum number of callers' connections; 0 for half of the descriptors.
    pub max_connections: u64,
    /// Maximum number of fields in the head of a request.
    pub max_header_fields: u64,
    /// Maximum time without a byte of a body that has begun, in milliseconds.
    pub body_stall_ms: u64,
    /// Maximum time without progress in sending an answer, in milliseconds.
    pub answer_stall_ms: u64,
    /// Time that a caller may be waited for if connections or memory are short, in
    /// milliseconds.
    pub short_stall_ms: u64,
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self {
            max_connections: 0,
            max_header_fields: 100,
            body_stall_ms: 10_000,
            answer_stall_ms: 30_000,
            short_stall_ms: 1_000,
        }
    }
}

impl IntakeSettings {
    pub(super) fn check(&self, checker: &Checker<'_>) -> Result<()> {
        let has_fields = self.max_header_fields > 0;
        checker.require("max_header_fields", has_fields, "must be over 0")?;
        let times = [
            ("body_stall_ms", self.body_stall_ms),
            ("answer_stall_ms", self.answer_stall_ms),
            ("short_stall_ms", self.short_stall_ms),
        ];
        for (field, value) in times {
            checker.require(field, value >= MIN_STALL_MS, "must be at least 250")?;
        }
        Ok(())
    }
}
