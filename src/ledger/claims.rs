//! Claims on non-repeatable requests.
//!
//! A non-repeatable request may be run at most once. An instance claims the
//! request, identified by account and idempotency key, before running it.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;

use super::{
    Error, Rejection, Result,
    state::{AccountClaimsState, OutcomeState, RequestClaimState},
};
use crate::log::{
    Offset,
    records::{Record, RequestClaim, RequestOutcome, RequestRelease},
};

/// Longest idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Largest response body in a recorded outcome, in bytes. Instances leave a longer
/// body out of the record.
pub const MAX_OUTCOME_BYTES: usize = 256 << 10;

/// Longest body digest, in bytes.
const MAX_DIGEST_BYTES: usize = 64;

/// An instance's exclusive claim on a non-repeatable request.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimEntry {
    /// Offset of the claim.
    pub offset: Offset,
    /// Instance that may run the request.
    pub instance: Arc<str>,
    /// Incarnation of `instance`.
    pub incarnation: u64,
    /// Digest of the request's body.
    pub body_digest: Arc<[u8]>,
    /// State of the request.
    pub state: ClaimState,
}

/// State of a claimed request.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimState {
    /// The request may be running, and no outcome is recorded yet.
    Running,
    /// The claimant recorded the response.
    Finished {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: Arc<str>,
        /// Body of the response.
        body: Bytes,
    },
    /// The request may have run, and its response is not known.
    Unknown,
}

/// Claims of one account by idempotency key.
type ClaimsByKey = IndexMap<Arc<str>, ClaimEntry>;

/// Claims by account and idempotency key.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    accounts: IndexMap<Arc<str>, ClaimsByKey>,
}

impl Claims {
    pub(super) fn get(&self, account: &str, idempotency_key: &str) -> Option<&ClaimEntry> {
        self.accounts.get(account)?.get(idempotency_key)
    }

    pub(super) fn len(&self) -> usize {
        self.accounts.values().map(IndexMap::len).sum()
    }

    pub(super) fn claim(
        &mut self,
        offset: Offset,
        record: &Record,
        claim: &RequestClaim,
    ) -> std::result::Result<(), Rejection> {
        check_claim(claim)?;
        if self.get(&claim.account, &claim.idempotency_key).is_some() {
            return Err(Rejection::AlreadyClaimed);
        }
        let entry = ClaimEntry {
            offset,
            instance: record.writer.as_str().into(),
            incarnation: record.incarnation,
            body_digest: claim.body_digest.as_slice().into(),
            state: ClaimState::Running,
        };
        if !self.accounts.contains_key(claim.account.as_str()) {
            self.accounts
                .insert(claim.account.as_str().into(), ClaimsByKey::new());
        }
        let claims = &mut self.accounts[claim.account.as_str()];
        claims.insert(claim.idempotency_key.as_str().into(), entry);
        Ok(())
    }

    /// Removes a claim at the request of the claimant. The claimant releases a claim
    /// only if no byte of the request was written to a target.
    pub(super) fn release(
        &mut self,
        record: &Record,
        release: &RequestRelease,
    ) -> std::result::Result<(), Rejection> {
        let claims = self.accounts.get_mut(release.account.as_str());
        let claims = claims.ok_or(Rejection::NoClaim)?;
        let entry = claims.get(release.idempotency_key.as_str());
        let entry = entry.ok_or(Rejection::NoClaim)?;
        if entry.offset.0 != release.claim_offset || !entry.claimed_by_writer_of(record) {
            return Err(Rejection::NoClaim);
        }
        if matches!(entry.state, ClaimState::Finished { .. }) {
            return Err(Rejection::OutcomeRecorded);
        }
        claims.swap_remove(release.idempotency_key.as_str());
        if claims.is_empty() {
            self.accounts.swap_remove(release.account.as_str());
        }
        Ok(())
    }

    /// Records the outcome of a claimed request. Any instance may record that the
    /// outcome is unknown. Only the claimant may record a response, which is final.
    pub(super) fn record_outcome(
        &mut self,
        record: &Record,
        outcome: &RequestOutcome,
    ) -> std::result::Result<(), Rejection> {
        let claims = self.accounts.get_mut(outcome.account.as_str());
        let claims = claims.ok_or(Rejection::NoClaim)?;
        let entry = claims.get_mut(outcome.idempotency_key.as_str());
        let entry = entry.ok_or(Rejection::NoClaim)?;
        if entry.offset.0 != outcome.claim_offset {
            return Err(Rejection::NoClaim);
        }
        if matches!(entry.state, ClaimState::Finished { .. }) {
            return Err(Rejection::OutcomeRecorded);
        }
        if outcome.unknown {
            entry.state = ClaimState::Unknown;
            return Ok(());
        }
        if !entry.claimed_by_writer_of(record) {
            return Err(Rejection::NoClaim);
        }
        entry.state = finished_state(outcome)?;
        Ok(())
    }

    pub(super) fn expire(&mut self, up_to: Offset) {
        for claims in self.accounts.values_mut() {
            claims.retain(|_, entry| entry.offset > up_to);
        }
        self.accounts.retain(|_, claims| !claims.is_empty());
    }

    pub(super) fn encode(&self) -> Vec<AccountClaimsState> {
        let mut accounts = Vec::with_capacity(self.accounts.len());
        for (account, claims) in &self.accounts {
            let mut states = Vec::with_capacity(claims.len());
            for (idempotency_key, entry) in claims {
                states.push(entry.encode(idempotency_key));
            }
            accounts.push(AccountClaimsState {
                account: account.to_string(),
                claims: states,
            });
        }
        accounts
    }

    pub(super) fn decode(states: Vec<AccountClaimsState>) -> Result<Self> {
        let mut accounts = IndexMap::with_capacity(states.len());
        for state in states {
            let mut claims = ClaimsByKey::with_capacity(state.claims.len());
            for claim in state.claims {
                let key: Arc<str> = claim.idempotency_key.as_str().into();
                claims.insert(key, ClaimEntry::decode(claim)?);
            }
            accounts.insert(state.account.into(), claims);
        }
        Ok(Self { accounts })
    }
}

impl ClaimEntry {
    fn claimed_by_writer_of(&self, record: &Record) -> bool {
        *self.instance == *record.writer && self.incarnation == record.incarnation
    }

    fn encode(&self, idempotency_key: &str) -> RequestClaimState {
        let outcome = match &self.state {
            ClaimState::Running | ClaimState::Unknown => None,
            ClaimState::Finished {
                status,
                content_type,
                body,
            } => Some(OutcomeState {
                status: u32::from(*status),
                content_type: content_type.to_string(),
                body: body.clone(),
            }),
        };
        RequestClaimState {
            idempotency_key: idempotency_key.to_owned(),
            offset: self.offset.0,
            instance: self.instance.to_string(),
            incarnation: self.incarnation,
            body_digest: Bytes::copy_from_slice(&self.body_digest),
            unknown: self.state == ClaimState::Unknown,
            outcome,
        }
    }

    fn decode(claim: RequestClaimState) -> Result<Self> {
        let state = match claim.outcome {
            Some(outcome) => ClaimState::Finished {
                status: u16::try_from(outcome.status)
                    .map_err(|_| Error::Field { field: "status" })?,
                content_type: outcome.content_type.into(),
                body: outcome.body,
            },
            None if claim.unknown => ClaimState::Unknown,
            None => ClaimState::Running,
        };
        Ok(Self {
            offset: Offset(claim.offset),
            instance: claim.instance.into(),
            incarnation: claim.incarnation,
            body_digest: claim.body_digest.as_ref().into(),
            state,
        })
    }
}

fn check_claim(claim: &RequestClaim) -> std::result::Result<(), Rejection> {
    if claim.account.is_empty() {
        return Err(Rejection::Malformed("the claim names no account"));
    }
    if !(1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&claim.idempotency_key.len()) {
        return Err(Rejection::Malformed(
            "the idempotency key must have 1 to 255 bytes",
        ));
    }
    if !(1..=MAX_DIGEST_BYTES).contains(&claim.body_digest.len()) {
        return Err(Rejection::Malformed(
            "the body digest must have 1 to 64 bytes",
        ));
    }
    Ok(())
}

fn finished_state(outcome: &RequestOutcome) -> std::result::Result<ClaimState, Rejection> {
    let status = u16::try_from(outcome.status)
        .map_err(|_| Rejection::Malformed("the HTTP status is out of range"))?;
    if outcome.body.len() > MAX_OUTCOME_BYTES {
        return Err(Rejection::Malformed(
            "the recorded response body is too long",
        ));
    }
    Ok(ClaimState::Finished {
        status,
        content_type: outcome.content_type.as_str().into(),
        body: Bytes::copy_from_slice(&outcome.body),
    })
}
