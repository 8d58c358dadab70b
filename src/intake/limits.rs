//! Limits on callers, derived from an instance's settings.

use super::Listener;
use crate::settings::IntakeSettings;

/// Divisor of the instance's memory limit; the quotient is the limit for heads and bodies.
const MEMORY_DIVISOR: u64 = 4;

const BYTES_PER_MB: u64 = 1 << 20;

/// Maximum number of descriptors that are kept for the platform, the peers and files.
const MAX_RESERVED_DESCRIPTORS: u64 = 96;

/// Divisor of the descriptor limit; the quotient is kept if it is lower than
/// [`MAX_RESERVED_DESCRIPTORS`].
const RESERVED_DIVISOR: u64 = 4;

/// Divisor of the descriptors of callers; the quotient is the limit of a listener for the
/// operator's tools.
const OPERATOR_DIVISOR: u64 = 12;

/// Minimum number of connections of a listener.
const MIN_CONNECTIONS: u64 = 4;

/// Time that the process waits for a connection of an operator's tool before it may give way
/// to a new one, in milliseconds. These tools send their requests at once.
const OPERATOR_WAIT_MS: u64 = 100;

/// Limits on the callers of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeLimits {
    /// Memory for heads and bodies, in bytes.
    pub memory_bytes: usize,
    caller_connections: u64,
    operator_connections: u64,
    /// Maximum number of fields in a head.
    pub max_header_fields: usize,
    /// Maximum time without a byte of a body that has begun, in milliseconds.
    pub body_stall_ms: u64,
    /// Maximum time without progress in sending an answer, in milliseconds.
    pub answer_stall_ms: u64,
    /// Time that a caller may be waited for if connections or memory are short, in
    /// milliseconds.
    pub short_stall_ms: u64,
}

impl IntakeLimits {
    /// Derives the limits of an instance with this much memory and this many descriptors.
    #[must_use]
    pub fn new(settings: &IntakeSettings, memory_mb: u64, max_descriptors: u64) -> Self {
        let reserved = MAX_RESERVED_DESCRIPTORS.min(max_descriptors / RESERVED_DIVISOR);
        // Each request in progress also has a connection to a target.
        let derived = (max_descriptors - reserved) / 2;
        let caller_connections = match settings.max_connections {
            0 => derived,
            configured => configured.min(derived),
        };
        let operator_connections = caller_connections / OPERATOR_DIVISOR;
        Self {
            memory_bytes: (memory_mb * BYTES_PER_MB / MEMORY_DIVISOR) as usize,
            caller_connections: caller_connections.max(MIN_CONNECTIONS),
            operator_connections: operator_connections.max(MIN_CONNECTIONS),
            max_header_fields: settings.max_header_fields as usize,
            body_stall_ms: settings.body_stall_ms,
            answer_stall_ms: settings.answer_stall_ms,
            short_stall_ms: settings.short_stall_ms,
        }
    }

    /// Returns the maximum number of connections of a listener.
    #[must_use]
    pub fn max_connections(&self, listener: Listener) -> usize {
        let connections = match listener {
            Listener::Callers => self.caller_connections,
            Listener::Readiness | Listener::Metrics | Listener::Admin => self.operator_connections,
        };
        connections as usize
    }

    /// Returns the time that a connection must have been waited for before it gives way to a
    /// new one, in milliseconds.
    pub(super) fn min_wait_ms(&self, listener: Listener) -> u64 {
        match listener {
            Listener::Callers => self.short_stall_ms,
            Listener::Readiness | Listener::Metrics | Listener::Admin => OPERATOR_WAIT_MS,
        }
    }
}
