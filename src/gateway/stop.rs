//! Graceful stop of an instance.

use std::{io, time::Duration};

use tokio::{
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::gateway::state::{State, StopPhase};

/// Time for which new connections of callers are still accepted after the instance
/// has become unready, so that the load balancer notices first.
const UNREADY_BEFORE_CLOSE: Duration = Duration::from_millis(2_500);

/// Margin between the end of a graceful stop and the time at which the platform
/// kills the instance.
pub(super) const STOP_MARGIN: Duration = Duration::from_millis(800);

/// Time at the end of a graceful stop for the final answers to requests in progress.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(300);

/// Makes the instance unready, closes the listener for callers after
/// [`UNREADY_BEFORE_CLOSE`], and waits for the requests in progress. Those that are still
/// in progress [`FINAL_ANSWER_TIME`] and [`STOP_MARGIN`] before the end of the configured
/// stop time get their final answers then.
pub(super) async fn stop_gracefully(
    state: &State,
    close: &CancellationToken,
    mut serving: JoinHandle<io::Result<()>>,
) {
    let stop_time = state.tuning().timing.stop();
    let end_at = Instant::now() + stop_time.saturating_sub(STOP_MARGIN + FINAL_ANSWER_TIME);
    tracing::info!("gateway: stopping; waiting for requests in progress");
    state.begin_stop();
    sleep(UNREADY_BEFORE_CLOSE).await;
    state.enter_stop_phase(StopPhase::Closing);
    close.cancel();
    let left = end_at.saturating_duration_since(Instant::now());
    if timeout(left, &mut serving).await.is_ok() {
        return;
    }
    tracing::warn!("gateway: requests still in progress at the end of the graceful stop");
    state.enter_stop_phase(StopPhase::Ended);
    if timeout(FINAL_ANSWER_TIME, serving).await.is_err() {
        tracing::warn!("gateway: connections still open after the graceful stop");
    }
}
