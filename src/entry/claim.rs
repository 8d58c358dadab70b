//! Claims on the single execution of a non-repeatable request.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use crate::{
    entry::{
        call::Call,
        complete::result_of,
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

/// Longest wait for a claim to be folded.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for the outcome of a request that runs elsewhere.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);

/// Claims that are tried while others are made and released.
const MAX_CLAIM_ATTEMPTS: u32 = 8;

/// Content type that stands for an answer too large to be recorded.
const OMITTED_CONTENT_TYPE: &str = "application/x-lavenderwind-omitted";

/// What a caller may do with an idempotency key.
pub(super) enum Admission {
    /// The request may run, under this claim if any.
    Run(Option<Claim>),
    /// The request has run; this is its recorded answer.
    Replay(Reply),
}

/// The right to run one request once.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    account: Arc<str>,
    idempotency_key: Arc<str>,
    offset: Offset,
}

/// Claims a non-repeatable request, or finds what became of it.
///
/// # Errors
///
/// [`Error::KeyReused`], [`Error::InProgress`], [`Error::LogUnavailable`], and
/// [`Error::TargetFailed`] where the outcome cannot be known.
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
            Err(Error::LogUnavailable) if call.entry.route.repeat == Repeat::OnceByTarget => {
                return Ok(Admission::Run(None));
            }
            Err(error) => return Err(error),
        }
    }
    Err(Error::InProgress)
}

impl Claim {
    /// Whether the ledger still shows this claim as the first.
    pub(super) fn is_current(&self, context: &EntryContext) -> bool {
        context.ledger().read(|ledger| {
            ledger
                .claim(&self.account, &self.idempotency_key)
                .is_some_and(|entry| entry.offset == self.offset)
        })
    }

    /// Records what became of the request.
    pub(super) fn record_outcome(self, context: &EntryContext, result: &Result<Reply>) {
        let body = match result {
            Ok(reply) => Body::RequestOutcome(self.finished(reply)),
            Err(error) if error.outcome() == Outcome::NotRun => return self.release(context),
            Err(_) => Body::RequestOutcome(self.unknown()),
        };
        context.append_later(body);
    }

    /// Gives up the claim: no byte of the request was written to a target.
    pub(super) fn release(self, context: &EntryContext) {
        context.append_later(Body::RequestRelease(RequestRelease {
            account: self.account.to_string(),
            idempotency_key: self.idempotency_key.to_string(),
            claim_offset: self.offset.0,
        }));
    }

    fn unknown(self) -> RequestOutcome {
        RequestOutcome {
            account: self.account.to_string(),
            idempotency_key: self.idempotency_key.to_string(),
            claim_offset: self.offset.0,
            unknown: true,
            ..RequestOutcome::default()
        }
    }

    fn finished(self, reply: &Reply) -> RequestOutcome {
        let mut outcome = self.unknown();
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

/// Returns the recorded answer, or nothing if the claim was released.
async fn resolve_claim(
    context: &EntryContext,
    call: &Call,
    key: &str,
    entry: ClaimEntry,
) -> Result<Option<Reply>> {
    if *entry.body_digest != call.digest {
        return Err(Error::KeyReused);
    }
    let offset = entry.offset;
    let instance = Arc::clone(&entry.instance);
    let incarnation = entry.incarnation;
    let live = (context.peers().is_live)(&instance, incarnation);
    let wait = if live {
        OUTCOME_TIMEOUT.min(call.remaining())
    } else {
        Duration::ZERO
    };
    let outcome = wait_for_outcome(context, call, key, offset);
    let Ok(state) = timeout(wait, outcome).await else {
        return Err(if live {
            Error::InProgress
        } else {
            unknown_outcome()
        });
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
/// Returns nothing if the claim was released.
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

/// Appends a claim; returns nothing if another claim was first.
async fn append_claim(
    context: &EntryContext,
    call: &Call,
    key: &Arc<str>,
) -> Result<Option<Claim>> {
    let claim = RequestClaim {
        account: call.account.full_name.to_string(),
        idempotency_key: key.to_string(),
        body_digest: call.digest.to_vec(),
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
        reason: Arc::from("its answer was lost, and it may have run"),
        outcome: Outcome::Unknown,
    }
}

/// Runs a non-repeatable request at most once.
///
/// It goes on if the caller hangs up or the deadline passes, so that its
/// outcome is recorded.
///
/// # Errors
///
/// As [`admit`], and those of the run.
pub(super) async fn run_once<F>(context: &EntryContext, call: &Arc<Call>, run: F) -> Result<Reply>
where
    F: Future<Output = Result<Reply>> + Send + 'static,
{
    let claim = match admit(context, call).await {
        Ok(Admission::Run(claim)) => claim,
        Ok(Admission::Replay(reply)) => return Ok(reply),
        Err(error) => {
            context.record_result(call, result_of(&error));
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
