//! `gateway`: runs a gateway instance on the users' platform.

use std::{path::Path, process::ExitCode};

use clap::{ArgMatches, Command};

use super::{Result, required_string, serve::stop_signal, start_stdout_logging, value_option};
use crate::{
    gateway::{self, Listeners},
    settings::GatewaySettings,
};

/// Environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "LAVENDERWIND_NODE_FILE";

pub(super) fn command() -> Command {
    Command::new("gateway")
        .about("Run a gateway instance on the users' platform until SIGTERM or SIGINT")
        .arg(
            value_option("settings", "FILE", "Settings of the instance")
                .env(SETTINGS_VARIABLE)
                .required(true),
        )
}

pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let path = Path::new(required_string(matches, "settings"));
    let settings = GatewaySettings::load(path)?;
    let _flush = start_stdout_logging(&settings.logging);
    let signal = async {
        if let Err(error) = stop_signal().await {
            tracing::error!("gateway: cannot wait for signals: {error}");
        }
    };
    let listeners = Listeners::bind(&settings).await?;
    gateway::run(settings, path.to_owned(), listeners, signal).await?;
    Ok(ExitCode::SUCCESS)
}
