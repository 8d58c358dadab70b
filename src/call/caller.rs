//! The caller of a request, and how far the request has come.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use displaydoc::Display;
use tokio::time::{Instant, sleep};

use crate::sync;

/// What is being done for a request.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum Step {
    /// reading
    #[default]
    Reading,
    /// admission
    Admission,
    /// placement
    Placement,
    /// prefill
    Prefill,
    /// decode
    Decode,
    /// plain
    Plain,
    /// relay
    Relay,
    /// resumption
    Resumption,
}

/// Whether a caller still waits for its answer, as far as its connection tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// It waits.
    Present,
    /// It has closed its sending side, and may have left.
    Unknown,
    /// It has left.
    Left,
}

/// The current step of a request.
#[derive(Clone, Debug)]
pub struct Progress {
    /// What is being done.
    pub step: Step,
    /// Target that the request was last sent to.
    pub target: Option<Arc<str>>,
    /// Number of targets that the request was sent to, in all steps.
    pub sends: u32,
    /// Begin of the step.
    started_at: Instant,
}

impl Progress {
    /// Returns the time since the begin of the step.
    #[must_use]
    pub fn step_time(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the identifier of the last target, or `-` if there is none.
    #[must_use]
    pub fn target_id(&self) -> &str {
        self.target.as_deref().unwrap_or("-")
    }
}

/// Interval at which a caller is looked at again while it may have left.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// The caller of one request. Clones refer to the same caller.
#[derive(Clone)]
pub struct Caller {
    progress: Arc<Mutex<Progress>>,
    look: Arc<dyn Fn() -> Presence + Send + Sync>,
}

impl Default for Caller {
    /// Returns a caller that never leaves.
    fn default() -> Self {
        Self::new(|| Presence::Present)
    }
}

impl Caller {
    /// Returns the caller of a request; `look` looks at its connection.
    pub fn new<F>(look: F) -> Self
    where
        F: Fn() -> Presence + Send + Sync + 'static,
    {
        let progress = Progress {
            step: Step::default(),
            target: None,
            sends: 0,
            started_at: Instant::now(),
        };
        Self {
            progress: Arc::new(Mutex::new(progress)),
            look: Arc::new(look),
        }
    }

    /// Waits until it is known whether the caller is there, and returns whether it is.
    pub async fn is_present(&self) -> bool {
        loop {
            match (self.look)() {
                Presence::Present => return true,
                Presence::Left => return false,
                Presence::Unknown => sleep(LOOK_INTERVAL).await,
            }
        }
    }

    /// Records that the request enters a step.
    pub fn enter(&self, step: Step) {
        let mut progress = self.lock();
        progress.step = step;
        progress.started_at = Instant::now();
    }

    /// Records that the request is sent to a target.
    pub fn record_send(&self, target: &Arc<str>) {
        let mut progress = self.lock();
        progress.target = Some(target.clone());
        progress.sends += 1;
    }

    /// Returns how far the request has come.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        sync::lock(&self.progress)
    }
}

impl fmt::Debug for Caller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Caller")
            .field("progress", &*self.lock())
            .finish()
    }
}
