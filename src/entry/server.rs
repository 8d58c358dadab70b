//! HTTP server for callers, with graceful shutdown.

use std::{io, time::Duration};

use salvo::{Router, Server};
use tokio::{
    net::TcpListener,
    time::{Instant, MissedTickBehavior, timeout_at},
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

use crate::entry::{
    acceptor::EntryAcceptor, body::MAX_HEADER_BYTES, cache_events::poll_cache_events,
    context::EntryContext, exchange::exchange_with_peers, handler::EntryHandler,
};
use crate::intake::{self, Listener};

/// Interval at which the scheduler tries to dispatch queued requests.
const SCHEDULER_PERIOD: Duration = Duration::from_millis(10);

/// Interval at which loads and served tokens are exchanged with the peers.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(100);

/// Minimum time that background tasks get to append their records after the last
/// request has ended.
const MIN_TASK_DRAIN: Duration = Duration::from_secs(1);

/// Serves callers until `stop` is cancelled, then drains requests in flight for
/// up to the setting `drain_ms`.
///
/// # Errors
///
/// Returns the I/O error with which the listener failed.
pub async fn serve(
    context: EntryContext,
    listener: TcpListener,
    stop: CancellationToken,
) -> io::Result<()> {
    let settings = context.settings();
    let drain_timeout = Duration::from_millis(settings.timing.drain_ms);
    let header_timeout = Duration::from_millis(settings.limits.request_read_ms);
    let handler = EntryHandler {
        context: context.clone(),
    };
    let router = Router::with_path("{**path}").goal(handler);
    let intake = context.intake().clone();
    let max_fields = intake.limits().max_header_fields;
    let service = intake::service(router, Listener::Callers, intake.clone());
    let (acceptor, close_handle) = EntryAcceptor::new(listener, header_timeout, intake.clone())?;
    let mut server = Server::new(acceptor);
    server
        .http1_mut()
        .max_headers(max_fields)
        // Whether the caller has left is decided by its socket.
        .half_close(true)
        .max_buf_size(4 * MAX_HEADER_BYTES);
    let handle = server.handle();
    let serving = server.try_serve(service);
    tokio::pin!(serving);
    let _cache_events = AbortOnDropHandle::new(tokio::spawn(poll_cache_events(context.clone())));
    let _intake = AbortOnDropHandle::new(tokio::spawn(intake.watch(|| false)));
    let mut tick = tokio::time::interval(SCHEDULER_PERIOD);
    tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut exchange_tick = tokio::time::interval(EXCHANGE_PERIOD);
    exchange_tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            result = &mut serving => return result,
            () = close_handle.closed() => break,
            () = stop.cancelled(), if !context.is_stopping() => {
                tracing::info!("entry: stopping; draining requests in flight");
                context.begin_stop();
                close_handle.close();
            }
            _ = tick.tick() => context.scheduler().tick(),
            _ = exchange_tick.tick() => exchange_with_peers(&context),
        }
    }
    let drain_deadline = Instant::now() + drain_timeout;
    handle.stop_graceful(drain_timeout);
    let draining = async {
        loop {
            tokio::select! {
                result = &mut serving => return result,
                _ = tick.tick() => context.scheduler().tick(),
                _ = exchange_tick.tick() => exchange_with_peers(&context),
            }
        }
    };
    let result = draining.await;
    context.tasks().close();
    let tasks_deadline = drain_deadline.max(Instant::now() + MIN_TASK_DRAIN);
    if timeout_at(tasks_deadline, context.tasks().wait())
        .await
        .is_err()
    {
        tracing::warn!("entry: stopped before all background tasks finished");
    }
    result
}
