//! Opens and accepts connections.
//!
//! Two instances are linked if the topology connects them. Of two linked instances,
//! the instance whose name sorts first opens the connection.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::{AbortHandle, JoinSet},
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{Error, Result, connection, shared::Shared};
use crate::log::backoff::Backoff;

/// Timeout for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Initial delay of the reconnect backoff, and the delay after a failed `accept`.
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(50);

/// Upper bound of the reconnect backoff. A connection that stays open longer
/// than this resets the backoff.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(2);

/// Interval between computations of the addresses to dial, and between checks whether
/// the replacement of a connection has closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Limit of concurrent inbound connections.
const MAX_INBOUND_CONNECTIONS: usize = 512;

/// Accepts connections from peers until `stop` is cancelled.
pub(super) async fn accept(shared: Arc<Shared>, listener: TcpListener, stop: CancellationToken) {
    let mut connections = JoinSet::new();
    let connection_slots = Arc::new(Semaphore::new(MAX_INBOUND_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            Some(_) = connections.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!("peer: cannot accept a connection: {error}");
                sleep(MIN_REDIAL_DELAY).await;
                continue;
            }
        };
        let Ok(slot) = connection_slots.clone().try_acquire_owned() else {
            tracing::warn!(
                "peer: inbound connection refused: limit of {MAX_INBOUND_CONNECTIONS} reached"
            );
            continue;
        };
        let shared = shared.clone();
        connections.spawn(async move {
            let _slot = slot;
            log_closed(connection::run(shared, stream).await);
        });
    }
}

/// Keeps connections to linked peers open until `stop` is cancelled.
pub(super) async fn connect(
    shared: Arc<Shared>,
    seed_peers: Vec<SocketAddr>,
    stop: CancellationToken,
) {
    let mut dial_tasks = JoinSet::new();
    let mut dials: IndexMap<Arc<str>, AbortHandle> = IndexMap::new();
    loop {
        let addresses = dial_addresses(&shared, &seed_peers);
        dials.retain(|address, dial| {
            let keep = addresses.contains(address) && !dial.is_finished();
            if !keep {
                dial.abort();
            }
            keep
        });
        for address in addresses {
            if dials.contains_key(&address) {
                continue;
            }
            let dial = dial_tasks.spawn(dial(shared.clone(), address.clone()));
            dials.insert(address, dial);
        }
        while dial_tasks.try_join_next().is_some() {}
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(CHECK_INTERVAL) => (),
        }
    }
}

/// Returns the addresses that this instance dials: the seed peers until the live list
/// has been read, and after that the linked peers whose names sort after the name of
/// this instance. Peers that do not respond are dialed as well, since they may consider
/// themselves linked to this instance when they respond again.
fn dial_addresses(shared: &Shared, seed_peers: &[SocketAddr]) -> Vec<Arc<str>> {
    let state = shared.state();
    if !state.membership.has_live_list() {
        return seed_peers
            .iter()
            .map(|address| address.to_string().into())
            .collect();
    }
    let mut addresses = Vec::new();
    let unlinked = state.reachability.unreachable();
    let unlinked = unlinked.filter(|name| !state.link_kinds.contains_key(*name));
    for name in state.link_kinds.keys().chain(unlinked) {
        let peer = state.membership.get(name);
        let Some(address) = peer.and_then(|peer| peer.peer_address.clone()) else {
            continue;
        };
        if state.own.name < *name {
            addresses.push(address);
        }
    }
    addresses
}

async fn dial(shared: Arc<Shared>, address: Arc<str>) {
    let mut backoff = Backoff::new(MIN_REDIAL_DELAY, MAX_REDIAL_DELAY);
    loop {
        match open_stream(&address).await {
            Ok(stream) => {
                let opened_at = Instant::now();
                let outcome = connection::run(shared.clone(), stream).await;
                wait_while_replaced(&shared, &outcome).await;
                log_closed(outcome);
                if opened_at.elapsed() > MAX_REDIAL_DELAY {
                    backoff.reset();
                }
            }
            Err(error) => tracing::debug!("peer: cannot connect to {address}: {error}"),
        }
        sleep(backoff.next_delay()).await;
    }
}

/// Waits until the replacement of a connection closes, if `outcome` says that the
/// connection was replaced.
///
/// Without this wait, two instances that dial each other would replace each other's
/// connections indefinitely.
async fn wait_while_replaced(shared: &Shared, outcome: &Result<()>) {
    let Err(Error::Replaced { name }) = outcome else {
        return;
    };
    while shared.state().links.contains_key(name) {
        sleep(CHECK_INTERVAL).await;
    }
}

async fn open_stream(address: &Arc<str>) -> Result<TcpStream> {
    let parsed: SocketAddr = address.parse().map_err(|_| Error::Address {
        address: address.clone(),
    })?;
    let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(parsed)).await;
    Ok(opened.map_err(|_| Error::TimedOut)??)
}

fn log_closed(outcome: Result<()>) {
    let Err(error) = outcome else {
        return;
    };
    metrics::counter!("peer_connections_closed_total").increment(1);
    match error {
        Error::Closed | Error::Replaced { .. } => {
            tracing::debug!("peer: connection ended: {error}")
        }
        error => tracing::info!("peer: connection ended: {error}"),
    }
}
