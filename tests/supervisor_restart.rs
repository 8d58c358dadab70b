//! Tests the restart and the stop of supervised children.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use lavenderwind::supervisor::Supervisor;

/// Timeout for stopping children that end when told to.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

async fn wait_for_runs(runs: &AtomicU32, count: u32) {
    while runs.load(Ordering::SeqCst) < count {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn failed_child_restarted() {
    let supervisor = Supervisor::new("root");
    let runs = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&runs);
    supervisor.spawn("part", move |_stop| {
        let run = counted.fetch_add(1, Ordering::SeqCst);
        async move {
            assert!(run != 1, "panics on its second run");
            Err::<(), _>("broken")
        }
    });
    wait_for_runs(&runs, 4).await;
    assert!(supervisor.stop(STOP_TIMEOUT).await);
}

/// The sibling of a failed child keeps running.
#[tokio::test(start_paused = true)]
async fn sibling_keeps_running() {
    let supervisor = Supervisor::new("root");
    let starts = Arc::new(AtomicU32::new(0));
    let failures = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&starts);
    supervisor.spawn("steady", move |stop| {
        counted.fetch_add(1, Ordering::SeqCst);
        async move {
            stop.cancelled().await;
            Ok::<(), &str>(())
        }
    });
    let counted = Arc::clone(&failures);
    supervisor.spawn("broken", move |_stop| {
        counted.fetch_add(1, Ordering::SeqCst);
        async { Err::<(), _>("broken") }
    });
    wait_for_runs(&failures, 3).await;
    assert!(supervisor.stop(STOP_TIMEOUT).await);
    assert_eq!(starts.load(Ordering::SeqCst), 1);
}

/// `stop` reports a child that still runs after the timeout.
#[tokio::test(start_paused = true)]
async fn running_child_reported() {
    let supervisor = Supervisor::new("root");
    supervisor.spawn("stuck", |_stop| std::future::pending::<Result<(), &str>>());
    assert!(!supervisor.stop(Duration::from_millis(100)).await);
}

#[tokio::test(start_paused = true)]
async fn root_stops_subtree() {
    let root = Supervisor::new("root");
    let subtree = root.subtree("duties");
    subtree.spawn("part", |stop| async move {
        stop.cancelled().await;
        Ok::<(), &str>(())
    });
    assert!(root.stop(STOP_TIMEOUT).await);
    assert!(subtree.stop(STOP_TIMEOUT).await);
}
