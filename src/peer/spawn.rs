use std::time::Duration;

use tokio::{net::TcpListener, sync::watch, task::JoinSet};
use tokio_util::sync::CancellationToken;

use super::{PeerHandle, dial, live_list, shared::Shared, upkeep};
use crate::{
    Settings,
    infra::{
        LiveClient,
        protocol::{LiveInstance, LiveState},
    },
    ledger::LedgerHandle,
    log::Log,
};

/// What the peer tasks need of the other parts.
#[derive(Debug)]
pub struct PeerInputs<'a> {
    /// Settings of this instance.
    pub settings: &'a Settings,
    /// The log of this instance.
    pub log: &'a Log,
    /// Ledger of this instance.
    pub ledger: LedgerHandle,
    /// Takes the number of live instances, this one included.
    pub live_instances: watch::Sender<usize>,
    /// Client of the live list.
    pub live_client: LiveClient,
    /// Takes connections of peers.
    pub listener: TcpListener,
    /// Address of the admin interface that the live list shows.
    pub admin_address: std::net::SocketAddr,
}

/// The running peer tasks.
#[derive(Debug)]
pub struct Peers {
    /// What the other parts use.
    pub handle: PeerHandle,
    /// Tasks; they end as the stop signal is given.
    pub tasks: JoinSet<()>,
}

/// Starts the tasks that talk to peers and to the live list.
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
    let shared = Shared::new(settings, inputs.log, inputs.ledger, inputs.live_instances);
    let poll = Duration::from_millis(settings.timing.poll_ms);
    let client = inputs.live_client;
    let seed_peers = settings.seed_peers.clone();
    let mut tasks = JoinSet::new();
    tasks.spawn(dial::accept(shared.clone(), inputs.listener, stop.clone()));
    tasks.spawn(dial::connect(shared.clone(), seed_peers, stop.clone()));
    tasks.spawn(upkeep::run(shared.clone(), stop.clone()));
    tasks.spawn(live_list::follow(
        shared.clone(),
        client.clone(),
        poll,
        stop.clone(),
    ));
    tasks.spawn(live_list::announce(
        shared.clone(),
        client,
        entry,
        poll,
        stop.clone(),
    ));
    Ok(Peers {
        handle: PeerHandle::new(shared),
        tasks,
    })
}
