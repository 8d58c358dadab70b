//! Detects engine crashes and records the requests that were in flight.
//!
//! A request that was in flight at a crash is a suspect, as it may have caused the
//! crash. Crashes are recorded on this instance and in the log.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use crate::{
    entry::{call::Call, context::EntryContext},
    infra::protocol::TargetState,
    log::records::{CrashSuspect, record::Body},
    target::table::TargetView,
};

/// Timeout of the state query that shows whether an engine was restarted.
const STATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum wait until a crash record is applied to the ledger. After this time,
/// the request is quarantined or retried regardless.
const CRASH_RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a request was in flight when a target crashed, as recorded by this or
/// another instance.
pub(super) fn is_suspect(context: &EntryContext, call: &Call) -> bool {
    context.suspect_requests().is_suspect(call) || recorded_crashes(context, call) > 0
}

/// Whether a target is being drained or is no longer listed.
pub(super) fn is_leaving(context: &EntryContext, name: &str) -> bool {
    let snapshot = context.targets().snapshot();
    let view = snapshot.iter().find(|view| &*view.name == name);
    view.is_none_or(|view| view.state == TargetState::Leaving)
}

/// Whether an engine crashed, which means that it refuses connections or has been
/// restarted since the boot with the identifier `boot`.
///
/// An engine that does not answer within [`STATE_TIMEOUT`] does not count as
/// crashed.
pub(super) async fn has_crashed(
    context: &EntryContext,
    engine: &TargetView,
    boot: Option<&str>,
) -> bool {
    let state = context.engine_client().state(&engine.address);
    match timeout(STATE_TIMEOUT, state).await {
        Ok(Ok(state)) => boot.is_some_and(|boot| *boot != *state.boot),
        Ok(Err(error)) => !error.may_have_been_sent() && !error.timed_out(),
        Err(_) => false,
    }
}

/// Records that a request was in flight when a target crashed.
///
/// Returns whether the request must be quarantined. In this case, the peers have
/// been notified of the quarantine.
pub(super) async fn record_crash(
    context: &EntryContext,
    call: &Call,
    target: &Arc<str>,
    boot: &str,
) -> bool {
    context.targets().mark_crashed(target);
    tracing::warn!(
        request = &*call.id,
        "entry: target {target} crashed with the request in flight"
    );
    let recorded = recorded_crashes(context, call);
    let account = &call.account.full_name;
    let appending = context.append_later(Body::CrashSuspect(CrashSuspect {
        account: account.to_string(),
        body_digest: call.request_digest.to_vec(),
        target: target.to_string(),
        target_boot: boot.to_owned(),
    }));
    if recorded > 0 {
        // This crash may cause the request to be quarantined. The crash record
        // should therefore be applied before the request is answered or retried.
        let _ = timeout(CRASH_RECORD_TIMEOUT, appending).await;
    }
    let quarantined = context.suspect_requests().record_crash(call, boot);
    if quarantined {
        (context.peers().notify_quarantine)(account, &call.request_digest).await;
    }
    quarantined
}

/// Number of crashes recorded in the ledger for a request.
fn recorded_crashes(context: &EntryContext, call: &Call) -> usize {
    let account = &call.account.full_name;
    context
        .ledger()
        .read(|ledger| ledger.crash_count(account, &call.request_digest))
}
