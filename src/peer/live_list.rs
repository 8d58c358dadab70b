//! Registers this instance in the platform's live list and polls the list.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::{shared::Shared, topology::MAX_MESH_INSTANCES};
use crate::infra::{
    LiveClient,
    protocol::{LiveInstance, LiveState},
};

/// Announces this instance to the live list every `poll_interval` until `stop` is
/// cancelled, then withdraws this instance from the list.
pub(super) async fn announce(
    shared: Arc<Shared>,
    client: LiveClient,
    entry: LiveInstance,
    poll_interval: Duration,
    stop: CancellationToken,
) {
    loop {
        let mut entry = entry.clone();
        if shared.state().leaving {
            entry.state = LiveState::Leaving;
        }
        if let Err(error) = client.announce(&entry).await {
            tracing::debug!("peer: cannot announce this instance: {error}");
        }
        tokio::select! {
            () = stop.cancelled() => break,
            () = shared.leaving_announced.notified() => (),
            () = sleep(poll_interval) => (),
        }
    }
    if let Err(error) = client.withdraw(&entry.name).await {
        tracing::debug!("peer: cannot withdraw this instance: {error}");
    }
}

/// Polls the live list until `stop` is cancelled.
pub(super) async fn poll_list(
    shared: Arc<Shared>,
    client: LiveClient,
    poll_interval: Duration,
    stop: CancellationToken,
) {
    loop {
        let mut listed = 0;
        match client.list().await {
            Ok(list) => {
                listed = list.len();
                shared.state().apply_list(&list, Instant::now());
                shared.publish_live_count(Instant::now());
            }
            Err(error) => tracing::debug!("peer: cannot read the live list: {error}"),
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(list_interval(listed, poll_interval)) => (),
        }
    }
}

/// Returns the interval at which the live list is polled if it contains this
/// number of instances.
///
/// The interval is one `poll_interval` for every started [`MAX_MESH_INSTANCES`]
/// instances, and at least one `poll_interval`.
pub fn list_interval(instances: usize, poll_interval: Duration) -> Duration {
    let factor = instances.div_ceil(MAX_MESH_INSTANCES).max(1);
    poll_interval * u32::try_from(factor).unwrap_or(u32::MAX)
}
