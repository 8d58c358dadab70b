//! Reasons for rejecting a record, and errors of decoding a ledger.

use displaydoc::Display;

use crate::service;

/// Result of decoding a ledger.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of decoding a ledger.
#[derive(Debug, Display, derive_more::Error)]
pub enum Error {
    /// cannot decode the ledger: {source}
    Decode {
        /// Cause.
        source: prost::DecodeError,
    },
    /// the service document accepted at offset {offset} cannot be parsed: {source}
    Document {
        /// Offset of the accepted revision.
        offset: u64,
        /// Cause.
        source: service::Error,
    },
    /// field `{field}` of the encoded ledger is out of range
    Field {
        /// Name of the field.
        field: &'static str,
    },
}

/// Reason for rejecting a record.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Rejection {
    /// the record is malformed: {0}
    Malformed(&'static str),
    /// the record at offset {found} does not follow the last applied offset {applied}
    Gap {
        /// Last offset that was applied.
        applied: u64,
        /// Offset of the record.
        found: u64,
    },
    /// the document revises revision {base}, but revision {current} is current
    RevisionConflict {
        /// Revision on which the document is based.
        base: u64,
        /// Current revision; 0 if the service has none.
        current: u64,
    },
    /// {0}
    Document(service::Error),
    /// the document describes service `{0}`, not the one that it is published for
    ServiceName(String),
    /// there are already {0} services
    TooManyServices(usize),
    /// key `{0}` was revoked and cannot become valid again
    KeyRevoked(String),
    /// key `{key}` is also a key of service `{service}`
    KeyInUse {
        /// Identifier of the key in the rejected document.
        key: String,
        /// Service that already has the key.
        service: String,
    },
    /// path `{path}` also belongs to service `{service}`
    PathInUse {
        /// Path of the route.
        path: String,
        /// Service that already has a route with this path.
        service: String,
    },
    /// target kind `{kind}` is described differently by service `{service}`
    KindConflict {
        /// Name of the target kind.
        kind: String,
        /// Service whose document describes the kind differently.
        service: String,
    },
    /// the duty claim does not follow the current epoch {epoch} and renewal {last_renewal}
    StaleClaim {
        /// Current epoch of the duty; 0 if the duty was never claimed.
        epoch: u64,
        /// Offset of the last claim or renewal; 0 if the duty was never claimed.
        last_renewal: u64,
    },
    /// the writer does not hold the duty under this epoch
    NotHolder,
    /// an order intent is already open for this target
    IntentOpen,
    /// no such order intent is open for this target
    NoIntent,
    /// the idempotency key is already claimed
    AlreadyClaimed,
    /// the writer has no such request claim
    NoClaim,
    /// the outcome of the claimed request is already recorded
    OutcomeRecorded,
    /// usage window {window} is not open; the open window is {open}
    WindowNotOpen {
        /// Number of the usage window that the record names.
        window: u64,
        /// Number of the lowest usage window that is not closed.
        open: u64,
    },
    /// usage window {0} has no unacknowledged report
    NothingToAcknowledge(u64),
    /// entries up to offset {0} cannot expire, as the expiry record is not after this offset
    ExpireAhead(u64),
    /// the checkpoint at offset {0} differs from this ledger
    CheckpointMismatch(u64),
}
