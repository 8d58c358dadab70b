//! Detects engine crashes and records the requests that were in flight.
//!
//! A request that was in flight at a crash is a suspect, as it may have caused the
//! crash. Crashes are recorded on this instance and in the log.

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{
    entry::{call::Call, context::EntryContext},
    infra::protocol::TargetState,
    log::records::{CrashSuspect, record::Body},
    target::{protocol::EngineState, table::TargetView},
};

/// Maximum time of the state queries that show whether an engine has crashed.
const STATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before the state of an engine is queried again after an inconclusive error.
const STATE_RETRY_DELAY: Duration = Duration::from_millis(10);

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
/// A process that ends may close the connections of its streams before the socket that
/// it listens on. A query that is cut off is therefore repeated. An engine that gives no
/// conclusive answer within [`STATE_TIMEOUT`] does not count as crashed.
pub(super) async fn has_crashed(
    context: &EntryContext,
    engine: &TargetView,
    boot: Option<&str>,
) -> bool {
    let queries = async {
        loop {
            match context.engine_client().state(&engine.address).await {
                Ok(state) => return is_restarted(engine, boot, &state),
                Err(error) if error.timed_out() => return false,
                Err(error) if !error.may_have_been_sent() => return true,
                Err(error) => tracing::debug!(
                    "entry: state of target {} not known after a broken stream: {error}",
                    engine.name
                ),
            }
            sleep(STATE_RETRY_DELAY).await;
        }
    };
    let crashed = timeout(STATE_TIMEOUT, queries).await;
    if crashed.is_err() {
        tracing::warn!(
            "entry: target {} gave no conclusive answer after a broken stream",
            engine.name
        );
    }
    crashed.unwrap_or(false)
}

/// Whether an engine reports another boot than the one in which a stream broke.
fn is_restarted(engine: &TargetView, boot: Option<&str>, state: &EngineState) -> bool {
    let restarted = boot.is_some_and(|boot| *boot != *state.boot);
    tracing::info!(
        "entry: target {} answers after a broken stream, restarted: {restarted}",
        engine.name
    );
    restarted
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
