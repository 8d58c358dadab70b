//! Crashes of engines, and the requests that were in flight.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use crate::{
    entry::{call::Call, context::EntryContext},
    infra::protocol::TargetState,
    log::records::{CrashSuspect, record::Body},
    target::table::TargetView,
};

/// Longest wait for an engine to tell whether it was restarted.
const STATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for a crash to be recorded before a suspect is retried.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a request was in flight at a crash, on any instance.
pub(super) fn is_suspect(context: &EntryContext, call: &Call) -> bool {
    context.suspects().is_suspect(call) || recorded_crashes(context, call) > 0
}

/// Whether a target was told to leave or is gone.
pub(super) fn is_leaving(context: &EntryContext, name: &str) -> bool {
    let snapshot = context.targets().snapshot();
    let view = snapshot.iter().find(|view| &*view.name == name);
    view.is_none_or(|view| view.state == TargetState::Leaving)
}

/// Whether an engine was restarted since `boot`, or accepts no connections.
pub(super) async fn has_crashed(
    context: &EntryContext,
    engine: &TargetView,
    boot: Option<&str>,
) -> bool {
    let state = context.engine().state(&engine.address);
    match timeout(STATE_TIMEOUT, state).await {
        Ok(Ok(state)) => boot.is_some_and(|boot| *boot != *state.boot),
        Ok(Err(error)) => !error.written() && !error.timed_out(),
        Err(_) => false,
    }
}

/// Records that a request was in flight as a target crashed.
///
/// Returns whether the request is to be quarantined.
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
        body_digest: call.digest.to_vec(),
        target: target.to_string(),
        target_boot: boot.to_owned(),
    }));
    if recorded > 0 {
        // This crash may be the one that quarantines the request.
        let _ = timeout(SUSPECT_TIMEOUT, appending).await;
    }
    let quarantined = context.suspects().record_crash(call, boot);
    if quarantined {
        (context.peers().notify_quarantine)(account, &call.digest).await;
    }
    quarantined
}

fn recorded_crashes(context: &EntryContext, call: &Call) -> usize {
    let account = &call.account.full_name;
    context
        .ledger()
        .read(|ledger| ledger.crashes(account, &call.digest))
}
