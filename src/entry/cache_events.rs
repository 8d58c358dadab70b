//! Polling of KV cache events, by which engines report the blocks that they store
//! and evict.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::{entry::context::EntryContext, target::table::TargetView};

/// Interval between polls of an engine's cache events.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of concurrent polls.
const MAX_CONCURRENT_POLLS: usize = 16;

/// Polls engines for cache events until the future is dropped.
///
/// Only engines that are expected to cache blocks of this instance's requests are
/// polled, so that an idle instance sends no polls.
pub(super) async fn poll_cache_events(context: EntryContext) {
    let mut tick = interval(POLL_PERIOD);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let snapshot = context.targets().snapshot();
        let mut engines = Vec::new();
        for view in snapshot.iter() {
            if context.scheduler().cached_blocks(&view.name) > 0 {
                engines.push(view.clone());
            }
        }
        let polls = stream::iter(engines).map(|view| poll_engine(context.clone(), view));
        polls
            .buffer_unordered(MAX_CONCURRENT_POLLS)
            .collect::<()>()
            .await;
    }
}

/// Polls one engine. A failed poll is ignored: the next poll requests the same
/// events again.
async fn poll_engine(context: EntryContext, view: TargetView) {
    let name = Arc::clone(&view.name);
    let from = context.scheduler().next_cache_event(&name);
    let events = context.engine_client().cache_events(&view.address, from);
    let Ok(Ok(events)) = timeout(POLL_TIMEOUT, events).await else {
        return;
    };
    context.scheduler().observe_cache_events(&name, &events);
}
