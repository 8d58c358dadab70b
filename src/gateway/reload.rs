//! Reloads the settings file while the instance runs.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use crate::{gateway::state::State, settings::GatewaySettings};

/// Interval between two checks whether the file has changed without a SIGHUP.
const POLL_PERIOD: Duration = Duration::from_secs(2);

/// Reloads the settings on SIGHUP and when the content of the file has changed.
///
/// Returns only if the signal handler cannot be installed.
pub(super) async fn watch(state: Arc<State>, path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            tracing::error!("gateway: cannot wait for SIGHUP: {error}");
            return;
        }
    };
    let mut last_text = tokio::fs::read_to_string(&path).await.ok();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(POLL_PERIOD) => false,
        };
        let text = match tokio::fs::read_to_string(&path).await {
            Ok(text) => text,
            Err(error) => {
                tracing::warn!("gateway: cannot read settings file for reload: {error}");
                continue;
            }
        };
        if !signalled && last_text.as_ref() == Some(&text) {
            continue;
        }
        reload(&state, &text, &path);
        last_text = Some(text);
    }
}

/// Applies the settings that can change while the instance runs, and logs a warning
/// if an address or the name has changed. Invalid settings are logged and ignored.
fn reload(state: &State, text: &str, path: &Path) {
    let settings = match GatewaySettings::parse(text, path) {
        Ok(settings) => settings,
        Err(error) => {
            tracing::error!(
                "gateway: changed settings are invalid; keeping the previous ones: {error}"
            );
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
        tracing::warn!("gateway: changed addresses or name take effect only after a restart");
    }
    state.set_tuning(settings.tuning());
    tracing::info!("gateway: settings reloaded");
}
