//! Counts and logs what is refused to callers.

use std::{net::SocketAddr, sync::Mutex};

use displaydoc::Display;
use indexmap::IndexMap;

use super::Listener;
use crate::sync::lock;

/// Minimum time between two log lines of one reason, in milliseconds. A crowd that is refused
/// would otherwise fill the log.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Why a caller was refused or its connection closed.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum Reason {
    /// too many connections
    Connections,
    /// connection gave way to another caller
    GaveWay,
    /// no memory left for a body
    Memory,
    /// no memory left for a head
    HeadMemory,
    /// body did not arrive in time
    SlowBody,
    /// answer was not read
    UnreadAnswer,
    /// head has too many fields or is too large
    HeadTooLarge,
}

impl Reason {
    /// Returns the reason as a metric label.
    fn label(self) -> &'static str {
        match self {
            Self::Connections => "Connections",
            Self::GaveWay => "GaveWay",
            Self::Memory => "Memory",
            Self::HeadMemory => "HeadMemory",
            Self::SlowBody => "SlowBody",
            Self::UnreadAnswer => "UnreadAnswer",
            Self::HeadTooLarge => "HeadTooLarge",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Logged {
    at_ms: Option<u64>,
    /// Refusals since the last line.
    since: u64,
}

/// Refusals by reason.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    logged: Mutex<IndexMap<Reason, Logged>>,
}

impl Refusals {
    pub(super) fn record(&self, reason: Reason, listener: Listener, peer: SocketAddr, now_ms: u64) {
        let labels = [
            ("listener", listener.to_string()),
            ("reason", reason.label().to_owned()),
        ];
        metrics::counter!("intake_refusals_total", &labels).increment(1);
        let mut logged = lock(&self.logged);
        let logged = logged.entry(reason).or_default();
        logged.since += 1;
        let is_due = |at_ms| now_ms.saturating_sub(at_ms) >= LOG_INTERVAL_MS;
        if !logged.at_ms.is_none_or(is_due) {
            return;
        }
        let count = std::mem::take(&mut logged.since);
        logged.at_ms = Some(now_ms);
        tracing::warn!(%listener, %peer, count, "intake: caller refused: {reason}");
    }
}
