//! Claims, which ensure that a non-repeatable request runs at most once.
//!
//! A claim is a log record by which one instance takes the exclusive right to run
//! the request with an idempotency key. The ledger accepts one claim per key until
//! that claim is released or expires.

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{
    entry::{
        call::Call,
        complete::result_of_error,
        context::EntryContext,
        error::{Error, Outcome, Result},
        reply::Reply,
    },
    ledger::{ClaimEntry, ClaimState, MAX_OUTCOME_BYTES},
    log::{
        Offset,
        records::{RequestClaim, RequestOutcome, RequestRelease, record::Body},
    },
    service::Repeat,
};

/// Maximum time for a claim to be appended and applied to the ledger.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum wait for the outcome of a request that already runs under a claim.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which the instance with a claim is checked while its outcome is awaited.
const CLAIMANT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of attempts to claim a request while other claims for the same
/// idempotency key are accepted and released.
const MAX_CLAIM_ATTEMPTS: u32 = 8;

/// Content type recorded in place of an answer larger than
/// [`MAX_OUTCOME_BYTES`].
const OMITTED_CONTENT_TYPE: &str = "application/x-lavenderwind-omitted";

/// Result of the check of a request's idempotency key.
pub(super) enum Admission {
    /// The request may run. Contains the claim under which the request runs, if it
    /// needs one.
    Run(Option<Claim>),
    /// The request has already run. Contains the recorded answer.
    Replay(Reply),
}

/// Exclusive right to run the request with an idempotency key.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    account: Arc<str>,
    idempotency_key: Arc<str>,
    offset: Offset,
}

/// Claims a non-repeatable request, or returns its recorded answer.
///
/// A request without an idempotency key needs no claim. If the log is unavailable,
/// a request also runs without a claim, provided that the target ensures a single
/// execution ([`Repeat::OnceByTarget`]).
///
/// # Errors
///
/// [`Error::KeyReused`], [`Error::InProgress`], [`Error::LogUnavailable`],
/// [`Error::OutcomeNotRecorded`], and [`Error::TargetFailed`] if the outcome is
/// unknown.
pub(super) async fn admit(context: &EntryContext, call: &Call) -> Result<Admission> {
    let Some(key) = &call.idempotency_key else {
        return Ok(Admission::Run(None));
    };
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        if let Some(entry) = find_claim(context, call, key) {
            match resolve_claim(context, call, key, entry).await? {
                Some(reply) => return Ok(Admission::Replay(reply)),
                None => continue,
            }
        }
        match append_claim(context, call, key).await {
            Ok(Some(claim)) => return Ok(Admission::Run(Some(claim))),
            Ok(None) => {}
            Err(Error::LogUnavailable) if call.route_entry.route.repeat == Repeat::OnceByTarget => {
                return Ok(Admission::Run(None));
            }
            Err(error) => return Err(error),
        }
    }
    Err(Error::InProgress)
}

impl Claim {
    /// Whether the ledger still contains this claim for the idempotency key.
    pub(super) fn is_current(&self, context: &EntryContext) -> bool {
        context.ledger().read(|ledger| {
            ledger
                .claim(&self.account, &self.idempotency_key)
                .is_some_and(|entry| entry.offset == self.offset)
        })
    }

    /// Records the outcome of the request. Releases the claim if the request did
    /// not run on any target.
    pub(super) fn record_outcome(self, context: &EntryContext, result: &Result<Reply>) {
        let body = match result {
            Ok(reply) => Body::RequestOutcome(self.finished_record(reply)),
            Err(error) if error.outcome() == Outcome::NotRun => return self.release(context),
            Err(_) => Body::RequestOutcome(self.unknown_record()),
        };
        context.append_later(body);
    }

    /// Releases the claim, so that the request may be claimed again.
    ///
    /// Must be called only if no target ran any part of the request.
    pub(super) fn release(self, context: &EntryContext) {
        context.append_later(Body::RequestRelease(RequestRelease {
            account: self.account.to_string(),
            idempotency_key: self.idempotency_key.to_string(),
            claim_offset: self.offset.0,
        }));
    }

    fn unknown_record(self) -> RequestOutcome {
        RequestOutcome {
            account: self.account.to_string(),
            idempotency_key: self.idempotency_key.to_string(),
            claim_offset: self.offset.0,
            unknown: true,
            ..RequestOutcome::default()
        }
    }

    fn finished_record(self, reply: &Reply) -> RequestOutcome {
        let mut outcome = self.unknown_record();
        outcome.unknown = false;
        outcome.status = u32::from(reply.status.as_u16());
        if reply.body.len() > MAX_OUTCOME_BYTES {
            outcome.content_type = OMITTED_CONTENT_TYPE.to_owned();
            return outcome;
        }
        outcome.content_type = reply.content_type().to_owned();
        outcome.body = reply.body.to_vec();
        outcome
    }
}

fn find_claim(context: &EntryContext, call: &Call, key: &str) -> Option<ClaimEntry> {
    let account = &call.account.full_name;
    context
        .ledger()
        .read(|ledger| ledger.claim(account, key).cloned())
}

/// Returns the answer recorded for an existing claim, or `None` if the claim was
/// released.
///
/// Waits for the outcome only while the claiming instance is live. The outcome of a
/// request whose claiming instance has ended may never be recorded.
async fn resolve_claim(
    context: &EntryContext,
    call: &Call,
    key: &str,
    entry: ClaimEntry,
) -> Result<Option<Reply>> {
    if *entry.body_digest != call.request_digest {
        return Err(Error::KeyReused);
    }
    let offset = entry.offset;
    let wait = OUTCOME_TIMEOUT.min(call.remaining());
    let state = tokio::select! {
        biased;
        state = wait_for_outcome(context, call, key, offset) => state,
        () = wait_for_end(context, &entry) => return Err(unknown_outcome()),
        () = sleep(wait) => return Err(Error::InProgress),
    };
    match state {
        Some(ClaimState::Finished {
            status,
            content_type,
            body,
        }) => {
            if &*content_type == OMITTED_CONTENT_TYPE {
                return Err(Error::OutcomeNotRecorded { status });
            }
            Ok(Some(Reply::replayed(status, &content_type, body)?))
        }
        Some(ClaimState::Unknown) => Err(unknown_outcome()),
        Some(ClaimState::Running) | None => Ok(None),
    }
}

/// Waits until a claim's outcome is recorded or the claim is released.
///
/// Returns `None` if the claim was released.
async fn wait_for_outcome(
    context: &EntryContext,
    call: &Call,
    key: &str,
    offset: Offset,
) -> Option<ClaimState> {
    let account = &call.account.full_name;
    let outcome = context.ledger().wait_for(|ledger| {
        let entry = ledger.claim(account, key);
        match entry.filter(|entry| entry.offset == offset) {
            Some(entry) if entry.state == ClaimState::Running => None,
            Some(entry) => Some(Some(entry.state.clone())),
            None => Some(None),
        }
    });
    outcome.await
}

/// Waits until the instance with a claim is no longer live.
async fn wait_for_end(context: &EntryContext, entry: &ClaimEntry) {
    while (context.peers().is_live)(&entry.instance, entry.incarnation) {
        sleep(CLAIMANT_CHECK_INTERVAL).await;
    }
}

/// Appends a claim. Returns `None` if the ledger did not accept the claim, because
/// an earlier claim exists.
async fn append_claim(
    context: &EntryContext,
    call: &Call,
    key: &Arc<str>,
) -> Result<Option<Claim>> {
    let claim = RequestClaim {
        account: call.account.full_name.to_string(),
        idempotency_key: key.to_string(),
        body_digest: call.request_digest.to_vec(),
    };
    let account = Arc::clone(&call.account.full_name);
    let idempotency_key = Arc::clone(key);
    let make_claim = move |offset| Claim {
        account,
        idempotency_key,
        offset,
    };
    let wait = CLAIM_TIMEOUT.min(call.remaining());
    let applied = context
        .append_claim(Body::RequestClaim(claim), make_claim)
        .ok_or(Error::LogUnavailable)?;
    match timeout(wait, applied).await {
        Ok(Ok(Ok(claim))) => Ok(claim),
        _ => Err(Error::LogUnavailable),
    }
}

fn unknown_outcome() -> Error {
    Error::TargetFailed {
        reason: Arc::from("its answer was lost, and the request may have run"),
        outcome: Outcome::Unknown,
    }
}

/// Runs a non-repeatable request at most once.
///
/// The request continues after the caller disconnects or the deadline passes, so
/// that the outcome of the request is recorded.
///
/// # Errors
///
/// As [`admit`] and `run`, and [`Error::DeadlineExceeded`].
pub(super) async fn run_once<F>(context: &EntryContext, call: &Arc<Call>, run: F) -> Result<Reply>
where
    F: Future<Output = Result<Reply>> + Send + 'static,
{
    let claim = match admit(context, call).await {
        Ok(Admission::Run(claim)) => claim,
        Ok(Admission::Replay(reply)) => return Ok(reply),
        Err(error) => {
            context.record_result(call, result_of_error(&error));
            return Err(error);
        }
    };
    let task_context = context.clone();
    let task = context.tasks().spawn(async move {
        let Some(claim) = claim else {
            return run.await;
        };
        if !claim.is_current(&task_context) {
            return Err(Error::LogUnavailable);
        }
        let result = run.await;
        claim.record_outcome(&task_context, &result);
        result
    });
    match timeout(call.remaining(), task).await {
        Ok(answered) => answered.unwrap_or(Err(Error::Internal {
            outcome: Outcome::Unknown,
        })),
        Err(_) => Err(Error::DeadlineExceeded {
            outcome: Outcome::Unknown,
        }),
    }
}
