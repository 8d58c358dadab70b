//! The ledger: replicated state computed by a pure fold over the log's records.
//!
//! The ledger holds the service documents, the holders of duties, open intents,
//! claims on requests, usage counts and quarantined requests. Every instance
//! applies the same records in offset order and therefore computes the same
//! ledger. The fold uses no clock, I/O or randomness.
//!
//! Each part of the state has its own module: `services`, `duties`, `claims`, `usage`,
//! `quarantine` and `writers`, which detects duplicate records. `state` encodes the
//! ledger, `checkpoint` splits the encoded ledger into chunks, and `handle` shares the
//! ledger within an instance.
//!
//! ```
//! use lavenderwind::{
//!     ledger::{Ledger, ApplyResult},
//!     log::{Offset, records::{Duty, DutyClaim, Record, record::Body}},
//! };
//!
//! let mut ledger = Ledger::new();
//! let record = Record {
//!     writer: "entry-1".into(),
//!     incarnation: 7,
//!     sequence: 1,
//!     body: Some(Body::DutyClaim(DutyClaim {
//!         duty: Duty::Fleet.into(),
//!         after_epoch: 0,
//!         after_renewal: 0,
//!     })),
//! };
//! assert_eq!(ledger.apply(Offset(1), &record), ApplyResult::Accepted);
//! assert_eq!(ledger.duty(Duty::Fleet).unwrap().epoch, 1);
//! ```

mod checkpoint;
mod claims;
mod duties;
mod error;
mod handle;
mod quarantine;
mod services;
mod state;
mod usage;
mod writers;

use std::sync::Arc;

use prost::Message;

pub use self::{
    checkpoint::{CHUNK_BYTES, CheckpointEntry},
    claims::{ClaimEntry, ClaimState, MAX_IDEMPOTENCY_KEY_BYTES, MAX_OUTCOME_BYTES},
    duties::{DutyEntry, IntentEntry},
    error::{Error, Rejection, Result},
    handle::LedgerHandle,
    services::{KeyEntry, RevisionEntry, ServiceEntry},
    usage::{AccountCounts, UsageCounts, WindowEntry},
};
use self::{
    claims::Claims, duties::Duties, quarantine::Quarantine, services::Services, state::LedgerState,
    usage::Usage, writers::Writers,
};
use crate::log::{
    Offset,
    records::{CheckpointChunk, CheckpointMark, Duty, Expire, Record, WindowClose, record::Body},
};

/// Result of applying a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// The record took effect.
    Accepted,
    /// The record repeats an earlier one and has no effect.
    Duplicate,
    /// The record was rejected and has no effect, except that a refused service
    /// revision is added to the history of its service.
    Rejected(Rejection),
}

impl ApplyResult {
    /// Returns `true` for [`ApplyResult::Accepted`].
    pub fn is_accepted(&self) -> bool {
        *self == Self::Accepted
    }
}

/// State shared by all instances after applying the log up to one offset.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    applied: Offset,
    writers: Writers,
    services: Services,
    duties: Duties,
    claims: Claims,
    usage: Usage,
    quarantine: Quarantine,
    /// This ledger as encoded at the last accepted checkpoint mark; not included
    /// in later encodings.
    checkpoint: Option<CheckpointEntry>,
}

impl Ledger {
    /// Creates the ledger of an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the record at the offset after [`Ledger::applied`].
    ///
    /// A record at an offset that was already applied is ignored as a duplicate.
    /// If the bytes of a record cannot be decoded, the caller passes
    /// `Record::default()`, which is rejected but still advances the applied
    /// offset. A record beyond a gap is rejected and does not advance the applied
    /// offset.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> ApplyResult {
        if offset <= self.applied {
            return ApplyResult::Duplicate;
        }
        if offset.0 != self.applied.0 + 1 {
            return ApplyResult::Rejected(Rejection::Gap {
                applied: self.applied.0,
                found: offset.0,
            });
        }
        self.applied = offset;
        let Some(body) = &record.body else {
            return ApplyResult::Rejected(Rejection::Malformed("the record has no body"));
        };
        if record.writer.is_empty() || record.sequence == 0 {
            return ApplyResult::Rejected(Rejection::Malformed("no writer or sequence number"));
        }
        if !self.writers.advance_sequence(offset, record) {
            return ApplyResult::Duplicate;
        }
        match self.apply_body(offset, record, body) {
            Ok(apply_result) => apply_result,
            Err(rejection) => ApplyResult::Rejected(rejection),
        }
    }

    fn apply_body(
        &mut self,
        offset: Offset,
        record: &Record,
        body: &Body,
    ) -> std::result::Result<ApplyResult, Rejection> {
        match body {
            Body::ServiceRevision(revision) => self.services.revise(offset, record, revision)?,
            Body::DutyClaim(claim) => self.duties.claim(offset, record, claim)?,
            Body::DutyRenewal(renewal) => self.duties.renew(offset, record, renewal)?,
            Body::DutyResignation(resignation) => self.duties.resign(record, resignation)?,
            Body::OrderIntent(intent) => self.duties.open_intent(offset, record, intent)?,
            Body::OrderResolved(resolved) => self.duties.resolve_intent(record, resolved)?,
            Body::RequestClaim(claim) => self.claims.claim(offset, record, claim)?,
            Body::RequestRelease(release) => self.claims.release(record, release)?,
            Body::RequestOutcome(outcome) => self.claims.record_outcome(record, outcome)?,
            Body::UsageSlice(slice) => {
                if !self.usage.count_slice(offset, slice)? {
                    return Ok(ApplyResult::Duplicate);
                }
            }
            Body::UsageWatermark(watermark) => self.usage.advance_watermark(offset, watermark)?,
            Body::WindowClose(close) => self.close_window(offset, record, close)?,
            Body::WindowAcknowledged(acknowledged) => {
                self.usage.acknowledge_window(acknowledged.window)?;
            }
            Body::CrashSuspect(suspect) => self.quarantine.add_suspect(offset, suspect)?,
            Body::Expire(expire) => self.expire(offset, record, expire)?,
            Body::CheckpointMark(mark) => self.mark_checkpoint(offset, record, mark)?,
            Body::CheckpointChunk(chunk) => self.compare_checkpoint(chunk)?,
        }
        Ok(ApplyResult::Accepted)
    }

    fn close_window(
        &mut self,
        offset: Offset,
        record: &Record,
        close: &WindowClose,
    ) -> std::result::Result<(), Rejection> {
        self.duties.authorize(Duty::Usage, close.epoch, record)?;
        self.usage.close_window(offset, close.window)
    }

    /// Removes the writers, claims, usage sources and suspected requests whose stored
    /// offset is at most the record's `up_to_offset`.
    fn expire(
        &mut self,
        offset: Offset,
        record: &Record,
        expire: &Expire,
    ) -> std::result::Result<(), Rejection> {
        self.duties
            .authorize(Duty::Checkpoint, expire.epoch, record)?;
        if expire.up_to_offset >= offset.0 {
            return Err(Rejection::ExpireAhead(expire.up_to_offset));
        }
        let up_to = Offset(expire.up_to_offset);
        self.writers.expire(up_to);
        self.claims.expire(up_to);
        self.usage.expire(up_to);
        self.quarantine.expire(up_to);
        Ok(())
    }

    fn mark_checkpoint(
        &mut self,
        offset: Offset,
        record: &Record,
        mark: &CheckpointMark,
    ) -> std::result::Result<(), Rejection> {
        self.duties
            .authorize(Duty::Checkpoint, mark.epoch, record)?;
        let data = self.encode();
        self.checkpoint = Some(CheckpointEntry::new(offset, mark.epoch, data));
        Ok(())
    }

    fn compare_checkpoint(&self, chunk: &CheckpointChunk) -> std::result::Result<(), Rejection> {
        match &self.checkpoint {
            Some(checkpoint) => checkpoint.compare_chunk(chunk),
            None => Ok(()),
        }
    }

    /// Offset of the last applied record.
    pub fn applied(&self) -> Offset {
        self.applied
    }

    /// Encodes the ledger. Equal ledgers have equal encodings.
    pub fn encode(&self) -> Vec<u8> {
        let state = LedgerState {
            applied: self.applied.0,
            writers: self.writers.encode(),
            configured_offset: self.services.configured_offset().0,
            services: self.services.encode_entries(),
            histories: self.services.encode_histories(),
            revoked: self.services.encode_revoked(),
            duties: self.duties.encode_holders(),
            intents: self.duties.encode_intents(),
            claims: self.claims.encode(),
            usage: Some(self.usage.encode()),
            suspects: self.quarantine.encode(),
        };
        state.encode_to_vec()
    }

    /// Decodes the output of [`Ledger::encode`].
    ///
    /// # Errors
    ///
    /// Fails if the data is corrupt or was encoded by an incompatible version.
    pub fn decode(data: &[u8]) -> Result<Self> {
        let state = LedgerState::decode(data).map_err(|source| Error::Decode { source })?;
        Ok(Self {
            applied: Offset(state.applied),
            writers: Writers::decode(state.writers),
            services: Services::decode(
                state.configured_offset,
                state.services,
                state.histories,
                state.revoked,
            )?,
            duties: Duties::decode(state.duties, state.intents)?,
            claims: Claims::decode(state.claims)?,
            usage: Usage::decode(state.usage.unwrap_or_default()),
            quarantine: Quarantine::decode(state.suspects),
            checkpoint: None,
        })
    }

    /// SHA-256 of the encoded ledger.
    pub fn digest(&self) -> [u8; 32] {
        checkpoint::sha256(&self.encode())
    }
}

/// Queries.
impl Ledger {
    /// All services, in order of their first accepted revision.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceEntry>> {
        self.services.entries()
    }

    /// The current revision of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceEntry>> {
        self.services.get(name)
    }

    /// The most recent published revisions of a service, accepted and refused,
    /// oldest first.
    pub fn history(&self, service: &str) -> &[RevisionEntry] {
        self.services.history(service)
    }

    /// The service and account of a key, or `None` if the key is unknown or
    /// revoked.
    pub fn key(&self, sha256: &[u8; 32]) -> Option<KeyEntry> {
        self.services.key(sha256).cloned()
    }

    /// Whether any accepted revision revoked the key.
    pub fn key_revoked(&self, sha256: &[u8; 32]) -> bool {
        self.services.is_revoked(sha256)
    }

    /// Offset of the last accepted revision of any service.
    pub fn configured_offset(&self) -> Offset {
        self.services.configured_offset()
    }

    /// The last holder of a duty, even if this holder has resigned.
    pub fn duty(&self, duty: Duty) -> Option<&DutyEntry> {
        self.duties.holder(duty)
    }

    /// The open intent for a target: an announced order whose outcome has not been
    /// recorded.
    pub fn intent(&self, target: &str) -> Option<&IntentEntry> {
        self.duties.intent(target)
    }

    /// All open intents, oldest first.
    pub fn intents(&self) -> impl Iterator<Item = &IntentEntry> {
        self.duties.intents()
    }

    /// The claim on the request with an idempotency key. `account` has the form
    /// `SERVICE/ACCOUNT`.
    pub fn claim(&self, account: &str, idempotency_key: &str) -> Option<&ClaimEntry> {
        self.claims.get(account, idempotency_key)
    }

    /// Number of claims on requests that have neither expired nor been released.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Number of writer incarnations whose last sequence number has not expired.
    pub fn writer_count(&self) -> usize {
        self.writers.len()
    }

    /// Number of the open usage window, the lowest window that is not closed.
    pub fn open_window(&self) -> u64 {
        self.usage.open_window()
    }

    /// Usage counted so far in a window that is not closed.
    pub fn window(&self, window: u64) -> Option<&WindowEntry> {
        self.usage.window(window)
    }

    /// Closed windows whose report the platform has not acknowledged, oldest
    /// first.
    pub fn unacknowledged_windows(&self) -> impl Iterator<Item = &WindowEntry> {
        self.usage.unacknowledged()
    }

    /// Last window for which a source, one incarnation of an instance, has reported
    /// all its usage; 0 for none.
    pub fn watermark(&self, source: &str, incarnation: u64) -> u64 {
        self.usage.watermark(source, incarnation)
    }

    /// Whether the usage slice with this number was counted.
    pub fn has_counted_slice(&self, source: &str, incarnation: u64, slice: u64) -> bool {
        self.usage.has_counted_slice(source, incarnation, slice)
    }

    /// Whether a request is quarantined, which is the case after it was in flight at
    /// two crashes of targets.
    pub fn is_quarantined(&self, account: &str, body_digest: &[u8]) -> bool {
        self.quarantine.is_quarantined(account, body_digest)
    }

    /// Number of target crashes at which a request was in flight, at most two.
    pub fn crash_count(&self, account: &str, body_digest: &[u8]) -> usize {
        self.quarantine.crash_count(account, body_digest)
    }

    /// The checkpoint taken at the last checkpoint mark that this ledger accepted.
    pub fn checkpoint(&self) -> Option<&CheckpointEntry> {
        self.checkpoint.as_ref()
    }
}
