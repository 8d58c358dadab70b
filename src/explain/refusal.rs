//! Descriptions of why requests were refused.

use crate::policy::shortage::Reason;

/// Label of the refusals of accounts over their quota.
const OVER_QUOTA: &str = "OverQuota";

/// Reasons of admission control.
const REASONS: [Reason; 4] = [
    Reason::Hopeless,
    Reason::Shortage,
    Reason::Urgency,
    Reason::AccountShare,
];

/// Fields of the log line of a refusal.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefusalFields<'a> {
    /// Label of the reason.
    pub(super) reason: &'a str,
    /// Predicted wait behind other requests, in milliseconds.
    pub(super) wait_ms: Option<f64>,
    /// Time after which the caller was told to come back, in milliseconds.
    pub(super) retry_after_ms: Option<f64>,
}

impl RefusalFields<'_> {
    /// Describes the reason and the times.
    pub(super) fn describe(&self) -> String {
        let mut text = match REASONS.iter().find(|reason| reason.label() == self.reason) {
            Some(reason) => reason.to_string(),
            None if self.reason == OVER_QUOTA => "the account is over its quota".to_owned(),
            None => format!("reason {}", self.reason),
        };
        if let Some(wait_ms) = self.wait_ms {
            text += &format!("; predicted wait {wait_ms:.0} ms");
        }
        if let Some(retry_after_ms) = self.retry_after_ms {
            text += &format!("; told to come back after {retry_after_ms:.0} ms");
        }
        text
    }
}
