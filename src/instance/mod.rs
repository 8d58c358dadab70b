//! An entry instance: runs all components under a supervisor tree.
//!
//! [`Instance::start`] binds the listeners and starts the components.
//! [`Instance::stop`] stops them in order: the listener for callers first, then
//! the duties, then the connections to peers and the platform, and the admin
//! interface last.

mod admin;
mod burn;
mod components;
mod listeners;

pub(crate) use components::{maintain_histograms, metrics_handle};
pub mod status;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use displaydoc::Display;
use tokio_util::sync::CancellationToken;

pub use self::listeners::Addresses;
use self::{
    burn::BurnSampler,
    components::{PlatformComponents, Shared},
    listeners::Listeners,
    status::StatusSources,
};
use crate::{
    Settings, entry::EntryBuilder, infra::LiveClient, ledger::LedgerHandle, peer::PeerHandle,
    supervisor::Supervisor,
};

/// Timeout for stopping a component. For the callers' listener, this time is added to
/// the configured drain time, in which requests in progress may end.
const COMPONENT_STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Reasons why an instance cannot start or a component failed.
#[derive(Debug, Display, derive_more::Error)]
pub enum Error {
    /// cannot listen on {address}: {source}
    Bind {
        /// Configured address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// listener failed: {0}
    Listen(std::io::Error),
    /// HTTP client failed to start: {0}
    Client(reqwest::Error),
    /// metrics recorder failed to start: {0}
    Metrics(metrics_exporter_prometheus::BuildError),
}

/// A running entry instance.
pub struct Instance {
    settings: Arc<Settings>,
    addresses: Addresses,
    callers: Supervisor,
    control: Supervisor,
    platform: Supervisor,
    admin: Supervisor,
    live: LiveClient,
    peers: PeerHandle,
    status: StatusSources,
    /// Cancelled when a component that cannot be restarted has failed.
    failed: CancellationToken,
}

impl Instance {
    /// Binds the listeners and starts all components.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be bound, or the HTTP client or the metrics
    /// recorder cannot be created.
    pub async fn start(settings: Settings) -> Result<Self> {
        let settings = Arc::new(settings);
        let listeners = Listeners::bind(&settings)?;
        let addresses = listeners.addresses;
        let root = Supervisor::new(&settings.name);
        let callers = root.subtree("entry");
        let platform = root.subtree("platform");
        let admin = Supervisor::new(&settings.name);
        let shared = Shared::new(&settings)?;
        let components = PlatformComponents::start(&shared, &listeners, &platform)?;
        let control = root.subtree("control");
        let recorder = components.start_control(&shared, &control);
        let context = EntryBuilder::new(
            Arc::clone(&settings),
            shared.ledger.clone(),
            components.log.appender.clone(),
            components.targets.clone(),
            shared.http.clone(),
        )
        .peers(components.entry_callbacks())
        .usage(move |entry| components::record_usage(&recorder, &entry))
        .build();
        components::start_callers(&callers, listeners.entry, &context);
        let burn = BurnSampler::start(&admin, &context);
        let status = StatusSources {
            settings: Arc::clone(&settings),
            incarnation: shared.incarnation,
            ledger: shared.ledger.clone(),
            tail: components.log.status.clone(),
            targets: components.targets.clone(),
            targets_polled: components.targets_polled.clone(),
            peers: components.peers.clone(),
            stopping: callers.stop_token(),
        };
        components::start_admin(
            &admin,
            listeners.admin,
            &status,
            burn,
            context.intake().clone(),
        )?;
        tracing::info!(
            "instance: {} listens for callers on {}",
            settings.name,
            addresses.entry
        );
        Ok(Self {
            settings,
            addresses,
            callers,
            control,
            platform,
            admin,
            live: shared.live,
            peers: components.peers,
            status,
            failed: shared.failed,
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns whether the instance is ready to serve callers.
    pub fn is_ready(&self) -> bool {
        self.status.collect().not_ready.is_empty()
    }

    /// Returns the ledger to which the instance applies the log.
    pub fn ledger(&self) -> &LedgerHandle {
        &self.status.ledger
    }

    /// Waits until a component that cannot be restarted has failed. The process must then
    /// be replaced.
    pub async fn failed(&self) {
        self.failed.cancelled().await;
    }

    /// Stops all components in order. Returns whether all of them ended within
    /// their timeouts.
    pub async fn stop(self) -> bool {
        tracing::info!("instance: {} is stopping", self.settings.name);
        self.peers.announce_leaving();
        let drain = Duration::from_millis(self.settings.timing.drain_ms);
        let mut ended = self.callers.stop(drain + COMPONENT_STOP_TIMEOUT).await;
        // Resigning the duties and flushing usage need a running log.
        ended &= self.control.stop(COMPONENT_STOP_TIMEOUT).await;
        ended &= self.platform.stop(COMPONENT_STOP_TIMEOUT).await;
        if let Err(error) = self.live.withdraw(&self.settings.name).await {
            tracing::warn!("instance: cannot withdraw from the live list: {error}");
        }
        ended &= self.admin.stop(COMPONENT_STOP_TIMEOUT).await;
        tracing::info!("instance: {} has stopped", self.settings.name);
        ended
    }
}
