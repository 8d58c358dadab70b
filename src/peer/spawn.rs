//! Starts the peer tasks of an instance.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpListener, sync::watch, task::JoinSet};
use tokio_util::sync::CancellationToken;

use super::{
    PeerHandle, dial,
    freshness::Quorum,
    live_list,
    shared::{PeerLog, PeerOptions, Shared},
    upkeep,
};
use crate::{
    Settings,
    infra::{
        LiveClient,
        protocol::{LiveInstance, LiveState},
    },
    ledger::LedgerHandle,
    log::Log,
};

/// Inputs of the peer tasks.
#[derive(Debug)]
pub struct PeerInputs<'a> {
    /// Settings of this instance.
    pub settings: &'a Settings,
    /// The log of this instance.
    pub log: &'a Log,
    /// Ledger of this instance.
    pub ledger: LedgerHandle,
    /// Receives the number of live instances, including this one.
    pub live_instances: watch::Sender<usize>,
    /// Client of the live list.
    pub live_client: LiveClient,
    /// Listener for connections from peers.
    pub listener: TcpListener,
    /// Address of the admin interface, published in the live list.
    pub admin_address: std::net::SocketAddr,
}

/// The running peer tasks.
#[derive(Debug)]
pub struct Peers {
    /// Handle for the other components.
    pub handle: PeerHandle,
    /// The peer tasks, which end when the stop token is cancelled.
    pub tasks: JoinSet<()>,
}

/// Spawns the tasks for peer connections and for the live list.
///
/// # Errors
///
/// Fails if the listener has no local address.
pub fn spawn(inputs: PeerInputs<'_>, stop: &CancellationToken) -> std::io::Result<Peers> {
    let settings = inputs.settings;
    let entry = LiveInstance {
        name: settings.name.clone(),
        incarnation: inputs.log.appender.incarnation(),
        failure_domain: settings.failure_domain.clone(),
        peer_address: inputs.listener.local_addr()?.to_string().into(),
        admin_address: inputs.admin_address.to_string().into(),
        state: LiveState::Live,
    };
    let options = PeerOptions {
        name: settings.name.clone(),
        incarnation: inputs.log.appender.incarnation(),
        failure_domain: settings.failure_domain.clone(),
        max_age: Duration::from_millis(settings.timing.freshness_ms),
        min_heartbeat_interval: Duration::from_millis(settings.timing.heartbeat_ms),
        quorum: Quorum::All,
    };
    let ledger = inputs.ledger;
    let log = PeerLog {
        status: inputs.log.status.clone(),
        relayed: inputs.log.relayed.clone(),
        recent: inputs.log.recent.clone(),
        applied: Box::new(move || ledger.applied()),
        appender: Some(inputs.log.appender.clone()),
    };
    let shared = Shared::new(options, log, inputs.live_instances);
    let mut peers = spawn_tasks(
        shared.clone(),
        inputs.listener,
        settings.seed_peers.clone(),
        stop,
    );
    let poll_interval = Duration::from_millis(settings.timing.poll_ms);
    let client = inputs.live_client;
    peers.tasks.spawn(live_list::poll_list(
        shared.clone(),
        client.clone(),
        poll_interval,
        stop.clone(),
    ));
    peers.tasks.spawn(live_list::announce(
        shared.clone(),
        client,
        entry,
        poll_interval,
        stop.clone(),
    ));
    Ok(peers)
}

/// Spawns the tasks for peer connections without polling the live list. The caller
/// provides the list through [`PeerHandle::apply_list`].
pub fn spawn_without_live_list(
    options: PeerOptions,
    log: PeerLog,
    listener: TcpListener,
    live_instances: watch::Sender<usize>,
    stop: &CancellationToken,
) -> Peers {
    let shared = Shared::new(options, log, live_instances);
    spawn_tasks(shared, listener, Vec::new(), stop)
}

fn spawn_tasks(
    shared: Arc<Shared>,
    listener: TcpListener,
    seed_peers: Vec<SocketAddr>,
    stop: &CancellationToken,
) -> Peers {
    let mut tasks = JoinSet::new();
    tasks.spawn(dial::accept(shared.clone(), listener, stop.clone()));
    tasks.spawn(dial::connect(shared.clone(), seed_peers, stop.clone()));
    tasks.spawn(upkeep::run(shared.clone(), stop.clone()));
    Peers {
        handle: PeerHandle::new(shared),
        tasks,
    }
}
