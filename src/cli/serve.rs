//! `serve`: runs an entry instance.

use std::{path::Path, process::ExitCode};

use clap::{ArgMatches, Command};

use super::{Result, required_string, start_logging, value_option};
use crate::{
    Settings,
    instance::{Addresses, Instance},
};

pub(super) fn command() -> Command {
    Command::new("serve")
        .about("Run an entry instance until SIGTERM or SIGINT")
        .arg(value_option("settings", "FILE", "Settings of the instance").required(true))
}

pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let settings = Settings::load(Path::new(required_string(matches, "settings")))?;
    start_logging(&settings.logging);
    let instance = Instance::start(settings).await?;
    println!("{}", ready_line(instance.addresses()));
    let healthy = tokio::select! {
        signalled = stop_signal() => signalled.map(|()| true)?,
        () = instance.failed() => false,
    };
    let stopped_in_time = instance.stop().await;
    Ok(if stopped_in_time && healthy {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Builds the JSON line that reports the bound addresses to a parent process.
fn ready_line(addresses: Addresses) -> serde_json::Value {
    serde_json::json!({
        "ready": true,
        "entry": addresses.entry,
        "peer": addresses.peer,
        "admin": addresses.admin,
    })
}

/// Waits for SIGTERM or SIGINT.
pub(super) async fn stop_signal() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};

    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    Ok(())
}
