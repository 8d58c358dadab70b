//! Measures how late the tasks of an instance run.

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Interval between two measurements.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay of a task from which a line is logged.
const LOGGED_LAG: Duration = Duration::from_millis(100);

/// Measures the delay of a periodic task until the future is dropped. Whatever else waits for
/// its turn, such as the close of a connection, is noticed as late.
pub(super) async fn watch() {
    loop {
        let due_at = Instant::now() + CHECK_INTERVAL;
        sleep(CHECK_INTERVAL).await;
        let lag = due_at.elapsed();
        metrics::histogram!("gateway_task_lag_ms").record(lag.as_secs_f64() * 1_000.0);
        if lag >= LOGGED_LAG {
            let lag_ms = lag.as_millis() as u64;
            tracing::info!(lag_ms, "gateway: tasks ran late");
        }
    }
}
