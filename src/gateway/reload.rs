//! Takes changes of the settings file while the instance runs.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use super::state::State;
use crate::settings::GatewaySettings;

/// Time between two looks at the file, which may change without a signal.
const POLL_PERIOD: Duration = Duration::from_secs(2);

/// Takes the settings again at SIGHUP and when the file has changed, for ever.
pub(super) async fn watch(state: Arc<State>, path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            tracing::error!("gateway: cannot wait for SIGHUP: {error}");
            return;
        }
    };
    let mut known = tokio::fs::read_to_string(&path).await.ok();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(POLL_PERIOD) => false,
        };
        let read = match tokio::fs::read_to_string(&path).await {
            Ok(text) => text,
            Err(error) => {
                tracing::warn!("gateway: settings cannot be read again: {error}");
                continue;
            }
        };
        if !signalled && known.as_ref() == Some(&read) {
            continue;
        }
        reload(&state, &read, &path);
        known = Some(read);
    }
}

fn reload(state: &State, text: &str, path: &Path) {
    let settings = match GatewaySettings::parse(text, path) {
        Ok(settings) => settings,
        Err(error) => {
            tracing::error!("gateway: changed settings refused, the old ones hold: {error}");
            return;
        }
    };
    let old = &state.settings;
    let needs_restart = settings.caller_address != old.caller_address
        || settings.readiness_address != old.readiness_address
        || settings.peer_address != old.peer_address
        || settings.store_address != old.store_address
        || settings.cloud_address != old.cloud_address
        || settings.name != old.name;
    if needs_restart {
        tracing::warn!("gateway: changed addresses or names take effect at the next start");
    }
    state.set_tuning(settings.tuning());
    tracing::info!("gateway: settings reloaded");
}
