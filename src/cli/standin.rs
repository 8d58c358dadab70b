//! `standin`: runs a stand-in, which simulates an external system, as a separate
//! process.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use displaydoc::Display;
use serde::de::DeserializeOwned;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    infra::protocol::{PlatformTarget, TargetState},
    standin::{
        self,
        engine::{Engine, EngineOptions},
        plain::{PlainFaults, PlainService},
        platform::{Platform, PlatformFaults},
    },
};

/// Timeout for registering a target at the platform, in milliseconds.
const REGISTER_TIMEOUT_MS: u64 = 5_000;

/// Result of the subcommand.
pub(super) type Result<T> = std::result::Result<T, Error>;

/// Error of a stand-in process.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Start(standin::Error),
    /// cannot read {path}: {cause}
    Read {
        /// Path of the options file.
        path: String,
        /// Cause from the operating system.
        cause: std::io::Error,
    },
    /// options in {path} are not valid: {cause}
    Options {
        /// Path of the options file.
        path: String,
        /// Cause from the parser, with its position.
        cause: serde_yaml_ng::Error,
    },
    /// cannot register at the platform: {0}
    Register(reqwest::Error),
    /// cannot wait for signals: {0}
    Signal(std::io::Error),
}

impl std::error::Error for Error {}

/// Builds the subcommand.
pub(super) fn command() -> Command {
    let platform = with_common_args(Command::new("platform"))
        .about("Log, live list, target ordering, usage sink and weight store");
    let engine = with_registration_args(with_common_args(Command::new("engine")))
        .about("Engine with continuous batching");
    let plain =
        with_registration_args(with_common_args(Command::new("plain"))).about("Plain HTTP service");
    Command::new("standin")
        .about("Run a stand-in for an external system")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([platform, engine, plain])
}

/// Runs a stand-in until SIGINT or SIGTERM.
///
/// # Errors
///
/// Fails if options cannot be read or the address cannot be bound.
pub(super) async fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("platform", matches)) => run_platform(matches).await,
        Some(("engine", matches)) => run_engine(matches).await,
        Some(("plain", matches)) => run_plain(matches).await,
        _ => Ok(()),
    }
}

fn with_common_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP:PORT")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr))
                .help("Address to listen on"),
        )
        .arg(
            Arg::new("options")
                .long("options")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("YAML file with options and faults"),
        )
}

fn with_registration_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("URL")
                .help("Base URL of the platform stand-in to register at"),
        )
        .arg(
            Arg::new("name")
                .long("name")
                .value_name("NAME")
                .default_value("target")
                .help("Name of the target"),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_name("KIND")
                .default_value("standard")
                .help("Kind of target, as named in service documents"),
        )
        .arg(
            Arg::new("failure-domain")
                .long("failure-domain")
                .value_name("NAME")
                .default_value("domain-a")
                .help("Failure domain"),
        )
        .arg(
            Arg::new("idle")
                .long("idle")
                .action(clap::ArgAction::SetTrue)
                .help("Register the target as idle; it is listed only once an order starts it"),
        )
}

async fn run_platform(matches: &ArgMatches) -> Result<()> {
    let faults: PlatformFaults = read_options(matches)?;
    let platform = Platform::start(listen_address(matches), faults)
        .await
        .map_err(Error::Start)?;
    print_ready(platform.addr());
    wait_for_stop().await
}

async fn run_engine(matches: &ArgMatches) -> Result<()> {
    let mut options: EngineOptions = read_options(matches)?;
    if let Some(name) = matches.get_one::<String>("name") {
        options.name = name.as_str().into();
    }
    let engine = Engine::start(listen_address(matches), options)
        .await
        .map_err(Error::Start)?;
    register(matches, engine.addr()).await?;
    print_ready(engine.addr());
    wait_for_stop().await
}

async fn run_plain(matches: &ArgMatches) -> Result<()> {
    let faults: PlainFaults = read_options(matches)?;
    let service = PlainService::start(listen_address(matches), faults)
        .await
        .map_err(Error::Start)?;
    register(matches, service.addr()).await?;
    print_ready(service.addr());
    wait_for_stop().await
}

fn listen_address(matches: &ArgMatches) -> SocketAddr {
    let address = matches.get_one::<SocketAddr>("listen").copied();
    address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn read_options<T>(matches: &ArgMatches) -> Result<T>
where
    T: DeserializeOwned + Default,
{
    let Some(path) = matches.get_one::<PathBuf>("options") else {
        return Ok(T::default());
    };
    let path_text = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|cause| Error::Read {
        path: path_text.clone(),
        cause,
    })?;
    serde_yaml_ng::from_str(&text).map_err(|cause| Error::Options {
        path: path_text,
        cause,
    })
}

async fn register(matches: &ArgMatches, address: SocketAddr) -> Result<()> {
    let Some(platform) = matches.get_one::<String>("platform") else {
        return Ok(());
    };
    let value = |name: &str| {
        let value = matches.get_one::<String>(name);
        value.map_or("", String::as_str)
    };
    let state = if matches.get_flag("idle") {
        TargetState::Starting
    } else {
        TargetState::Live
    };
    let target = PlatformTarget {
        name: value("name").into(),
        kind: value("kind").into(),
        failure_domain: value("failure-domain").into(),
        address: address.to_string().into(),
        state,
        leaves_in_ms: None,
    };
    let url = format!("{}/targets/{}", platform.trim_end_matches('/'), target.name);
    let request = reqwest::Client::new()
        .put(url)
        .timeout(Duration::from_millis(REGISTER_TIMEOUT_MS))
        .json(&target);
    let response = request.send().await.map_err(Error::Register)?;
    response.error_for_status().map_err(Error::Register)?;
    Ok(())
}

fn print_ready(address: SocketAddr) {
    println!(
        "{}",
        serde_json::json!({ "ready": true, "address": address })
    );
}

async fn wait_for_stop() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    tokio::select! {
        result = tokio::signal::ctrl_c() => result.map_err(Error::Signal),
        _ = terminate.recv() => Ok(()),
    }
}
