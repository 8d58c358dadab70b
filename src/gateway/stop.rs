//! Graceful stop of an instance.

use std::{io, time::Duration};

use tokio::{
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::gateway::state::State;

/// Time for which new connections of callers are still accepted after the instance
/// has become unready, so that the load balancer notices first.
const UNREADY_BEFORE_CLOSE: Duration = Duration::from_millis(2_500);

/// Margin between the end of a graceful stop and the time at which the platform
/// kills the instance.
pub(super) const STOP_MARGIN: Duration = Duration::from_millis(800);

/// Time at the end of a graceful stop for the final answers to requests in progress.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(300);

/// Phase of an instance with respect to its stop.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum StopPhase {
    /// The instance does not stop.
    Running,
    /// Requests are still accepted, but the instance is not ready.
    Draining,
    /// No requests are accepted; those in progress are still answered.
    Closing,
    /// Requests in progress get a final answer at once.
    Ended,
}

impl State {
    /// Returns whether the instance is stopping.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop_phase() > StopPhase::Running
    }

    /// Returns the phase of the instance's stop.
    pub(super) fn stop_phase(&self) -> StopPhase {
        *self.stop_phase.borrow()
    }

    /// Enters a later phase of the instance's stop.
    fn enter_stop_phase(&self, phase: StopPhase) {
        self.stop_phase.send_replace(phase);
    }

    /// Waits until the instance begins to stop.
    pub(super) async fn stop_begun(&self) {
        self.stop_phase_reached(StopPhase::Draining).await;
    }

    /// Waits until requests in progress must get their final answers, because the instance
    /// stops.
    pub(super) async fn stop_ended(&self) {
        self.stop_phase_reached(StopPhase::Ended).await;
    }

    async fn stop_phase_reached(&self, reached: StopPhase) {
        let mut phase = self.stop_phase.subscribe();
        // The channel is open as long as this state exists.
        let _ = phase.wait_for(|phase| *phase >= reached).await;
    }

    /// Marks the instance as stopping, and announces that to its peers.
    fn begin_stop(&self) {
        self.enter_stop_phase(StopPhase::Draining);
        if let Some(peers) = self.peers() {
            peers.announce_leaving();
        }
    }
}

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
