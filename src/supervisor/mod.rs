//! Supervision tree of asynchronous tasks.
//!
//! A supervisor runs named children, each in its own task. A child that returns
//! an error or panics is logged and restarted after a delay that doubles up to
//! a limit; its siblings keep running. Stopping a supervisor also stops its
//! subtrees.

use std::{fmt::Display, future::Future, sync::Arc, time::Duration};

use tokio::time::Instant;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Delay before the first restart of a child.
const INITIAL_RESTART_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a restart.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(5);
/// Run time after which a failed child is restarted with
/// [`INITIAL_RESTART_DELAY`] again.
const DELAY_RESET_AFTER: Duration = Duration::from_secs(30);

/// Runs child tasks, restarts those that fail and stops all of them together.
#[derive(Clone, Debug)]
pub struct Supervisor {
    name: Arc<str>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// How one run of a child ended.
enum Exit {
    Finished,
    Failed(String),
}

impl Supervisor {
    /// Creates the root supervisor of a tree.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Creates a supervisor that is stopped together with this one, or earlier
    /// by its own [`Self::stop`].
    #[must_use]
    pub fn subtree(&self, name: &str) -> Self {
        Self {
            name: format!("{}/{name}", self.name).into(),
            stop: self.stop.child_token(),
            tasks: TaskTracker::new(),
        }
    }

    /// Returns the token that is cancelled when the supervisor is stopped.
    #[must_use]
    pub fn stop_token(&self) -> CancellationToken {
        self.stop.clone()
    }

    /// Runs a child task; `start` is called to create it before each run.
    ///
    /// A child that returns `Ok` has finished and is not restarted.
    pub fn spawn<F, R, E>(&self, name: &str, mut start: F)
    where
        F: FnMut(CancellationToken) -> R + Send + 'static,
        R: Future<Output = Result<(), E>> + Send + 'static,
        E: Display + Send + 'static,
    {
        let path = format!("{}/{name}", self.name);
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            let mut delay = INITIAL_RESTART_DELAY;
            loop {
                let started_at = Instant::now();
                let Exit::Failed(reason) = run_once(start(stop.clone())).await else {
                    return;
                };
                if stop.is_cancelled() {
                    return;
                }
                delay = restart_delay(delay, started_at.elapsed());
                metrics::counter!("supervisor_restarts_total", "part" => path.clone()).increment(1);
                tracing::error!("supervisor: {path} failed; restart in {delay:?}: {reason}");
                let stopped = tokio::time::timeout(delay, stop.cancelled()).await;
                if stopped.is_ok() {
                    return;
                }
                delay *= 2;
            }
        });
    }

    /// Stops the children and waits until they have ended. Returns `false` if
    /// some are still running after `timeout`.
    ///
    /// Children of subtrees are stopped as well, but not waited for.
    pub async fn stop(&self, timeout: Duration) -> bool {
        self.stop.cancel();
        self.tasks.close();
        let ended = tokio::time::timeout(timeout, self.tasks.wait())
            .await
            .is_ok();
        if !ended {
            tracing::error!(
                "supervisor: {} has children still running after {timeout:?}",
                self.name
            );
        }
        ended
    }
}

/// Runs a child to its end in a task of its own, so that a panic ends only the child.
async fn run_once<R, E>(child: R) -> Exit
where
    R: Future<Output = Result<(), E>> + Send + 'static,
    E: Display + Send + 'static,
{
    let outcome = tokio::spawn(async move { child.await.map_err(|error| error.to_string()) });
    match outcome.await {
        Ok(Ok(())) => Exit::Finished,
        Ok(Err(reason)) => Exit::Failed(reason),
        Err(error) => Exit::Failed(error.to_string()),
    }
}

/// Returns the delay before the next restart: `doubled_delay` up to the limit, or the
/// initial delay if the child ran for long enough before it failed.
fn restart_delay(doubled_delay: Duration, run_time: Duration) -> Duration {
    if run_time >= DELAY_RESET_AFTER {
        return INITIAL_RESTART_DELAY;
    }
    doubled_delay.min(MAX_RESTART_DELAY)
}
