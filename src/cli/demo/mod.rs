//! `demo`: runs stand-ins for external systems, and entry instances, in one
//! process.

mod deployment;
mod sample;

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};

use self::deployment::Deployment;
use super::{Result, serve::stop_signal, start_logging};
use crate::settings::Logging;

pub(super) fn command() -> Command {
    Command::new("demo")
        .about("Run stand-ins and instances in one process on free loopback ports")
        .arg(
            Arg::new("once")
                .long("once")
                .action(ArgAction::SetTrue)
                .help("Send sample requests, print the answers and the burn report, and exit"),
        )
}

pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    start_logging(&Logging::default());
    let deployment = Deployment::start().await?;
    if matches.get_flag("once") {
        sample::run(&deployment).await?;
    } else {
        println!("{}", deployment.ready_line());
        stop_signal().await?;
    }
    let stopped_in_time = deployment.stop().await;
    Ok(if stopped_in_time {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
