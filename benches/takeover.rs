//! Time from killing or pausing the process of a duty's holder until another
//! instance holds the duty.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::cluster::{Cluster, ClusterOptions};

/// Number of takeovers measured per case.
const RUNS: usize = 5;

/// Interval between queries for the current holder.
const POLL: Duration = Duration::from_millis(5);

struct Case {
    lease_ms: u64,
    /// Whether the holder is paused instead of killed.
    paused: bool,
}

/// Returns the index of the instance that holds the fleet duty, as known to the
/// instance `observer`.
async fn holder(cluster: &Cluster, observer: usize) -> Option<usize> {
    let status = cluster.status(&cluster.instances[observer]).await;
    let duties = status["duties"].as_array()?;
    let duty = duties.iter().find(|duty| duty["duty"] == "fleet")?;
    let name = duty["holder"].as_str()?;
    name.trim_start_matches("entry-").parse().ok()
}

/// Waits until the instance `observer` knows a holder other than `former`, and
/// returns the holder's index.
async fn wait_holder(cluster: &Cluster, observer: usize, former: Option<usize>) -> usize {
    loop {
        let now = holder(cluster, observer).await;
        if let Some(now) = now.filter(|now| Some(*now) != former) {
            return now;
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Starts a cluster, stops the holder as `case` says and returns the time until
/// another instance holds the duty, in milliseconds.
async fn takeover_ms(case: &Case, run: usize) -> u64 {
    let timing = format!(
        "  lease_ms: {}\n  renew_ms: {}\n",
        case.lease_ms,
        case.lease_ms / 3
    );
    let options = ClusterOptions {
        timing,
        engines: 1,
        plain_services: 1,
        ..ClusterOptions::default()
    };
    let name = format!("takeover-{}-{}-{run}", case.lease_ms, case.paused);
    let mut cluster = Cluster::start(&name, options).await;
    let former = wait_holder(&cluster, 0, None).await;
    // The delay grows by half a renewal interval per run, so that the holder fails
    // at different points of the interval.
    tokio::time::sleep(Duration::from_millis(
        case.lease_ms / 3 * (run as u64 + 1) / 2,
    ))
    .await;
    let started_at = Instant::now();
    if case.paused {
        cluster.instances[former].pause().await;
    } else {
        cluster.instances[former].kill().await;
    }
    let observer = (former + 1) % cluster.instances.len();
    wait_holder(&cluster, observer, Some(former)).await;
    let elapsed = started_at.elapsed();
    if case.paused {
        cluster.instances[former].resume().await;
    }
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

#[tokio::main]
async fn main() {
    for lease_ms in [1_000, 3_000] {
        for paused in [false, true] {
            let case = Case { lease_ms, paused };
            let mut times = Vec::new();
            for run in 0..RUNS {
                times.push(takeover_ms(&case, run).await);
            }
            times.sort_unstable();
            let cause = if paused { "pause" } else { "kill" };
            println!(
                "lease {lease_ms} ms, {cause}: {} to {} ms, median {} ms of {RUNS}",
                times[0],
                times[RUNS - 1],
                times[RUNS / 2]
            );
        }
    }
}
