//! Command-line interface, with one module for each subcommand.

mod check;
mod demo;
mod destination;
mod explain;
mod gateway;
mod key;
mod load;
mod operator;
mod report;
mod serve;
mod service;
mod standin;
mod status;

use std::{io::IsTerminal, process::ExitCode, time::Duration};

use clap::{Arg, ArgMatches, Command};
use displaydoc::Display;
use tokio::runtime::Runtime;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::settings::{LogFormat, Logging};

/// Exit code for bad arguments, settings or documents.
const EXIT_INVALID: u8 = 2;

/// Log lines buffered for standard output; further lines are dropped.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Interval between checks for dropped log lines.
const DROP_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Default log filter: events of this crate from `info`, all others from
/// `warn`.
const DEFAULT_FILTER: &str = "warn,lavenderwind=info";

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a command.
#[derive(Debug, Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// {0}
    Settings(crate::settings::Error),
    /// {0}
    Service(crate::service::Error),
    /// {0}
    Standin(standin::Error),
    /// {0}
    Instance(crate::instance::Error),
    /// {0}
    Gateway(crate::gateway::Error),
    /// {0}
    Load(load::Error),
    /// log: {0}
    Log(crate::log::Error),
    /// platform: {0}
    Platform(crate::infra::Error),
    /// {path}: {source}
    #[from(ignore)]
    File {
        /// Path of the file.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// admin interface {address}: {source}
    #[from(ignore)]
    Admin {
        /// Address of the interface.
        address: String,
        /// Cause.
        source: reqwest::Error,
    },
    /// {0}
    #[from(ignore)]
    Refused(#[error(not(source))] String),
    /// {0}
    #[from(ignore)]
    Invalid(#[error(not(source))] String),
    /// {0}
    Io(std::io::Error),
    /// {0}
    Json(serde_json::Error),
}

impl Error {
    fn exit_code(&self) -> ExitCode {
        match self {
            Self::Settings(_) | Self::Service(_) | Self::File { .. } | Self::Invalid(_) => {
                ExitCode::from(EXIT_INVALID)
            }
            _ => ExitCode::FAILURE,
        }
    }
}

/// Builds the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("lavenderwind")
        .about("Serves language models and plain services from a limited fleet of targets")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve::command())
        .subcommand(gateway::command())
        .subcommand(check::command())
        .subcommand(service::command())
        .subcommand(key::command())
        .subcommand(status::command())
        .subcommand(explain::command())
        .subcommand(destination::command())
        .subcommand(report::command())
        .subcommand(load::command())
        .subcommand(standin::command())
        .subcommand(demo::command())
}

/// Parses the arguments of the process and runs the command.
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = runtime(&matches)
        .map_err(Error::from)
        .and_then(|runtime| runtime.block_on(dispatch(&matches)));
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("lavenderwind: {error}");
            error.exit_code()
        }
    }
}

/// Builds the runtime of a command. A gateway runs on a single thread, since
/// its instances are given only a fraction of a core.
fn runtime(matches: &ArgMatches) -> std::io::Result<Runtime> {
    let mut builder = match matches.subcommand_name() {
        Some("gateway") => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    builder.enable_all().build()
}

async fn dispatch(matches: &ArgMatches) -> Result<ExitCode> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(ExitCode::from(EXIT_INVALID));
    };
    match name {
        "serve" => serve::run(matches).await,
        "gateway" => gateway::run(matches).await,
        "check" => check::run(matches),
        "service" => service::run(matches).await,
        "key" => key::run(matches).await,
        "status" => status::run(matches).await,
        "explain" => explain::run(matches),
        destination::NAME => destination::run(matches).await,
        "report" => report::run(matches).await,
        "load" => {
            start_logging(&Logging::default());
            load::run(matches).await?;
            Ok(ExitCode::SUCCESS)
        }
        "standin" => {
            start_logging(&Logging::default());
            standin::run(matches).await?;
            Ok(ExitCode::SUCCESS)
        }
        _ => demo::run(matches).await,
    }
}

/// Sends logs to standard error in the configured format.
fn start_logging(logging: &Logging) {
    let builder = tracing_subscriber::fmt()
        .with_env_filter(env_filter(logging))
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    // Fails if a subscriber is already set, as in tests, and keeps that one.
    let _ = match logging.format {
        LogFormat::Plain => builder.with_target(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

/// Sends logs to standard output through a bounded buffer. Lines are dropped
/// and counted while the buffer is full because the output is not read.
/// Dropping the guard flushes the buffer.
fn start_stdout_logging(logging: &Logging) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    tokio::spawn(count_dropped_lines(writer.error_counter()));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(env_filter(logging))
        .with_ansi(false)
        .with_target(false)
        .with_writer(writer);
    // Fails if a subscriber is already set, as in tests, and keeps that one.
    let _ = match logging.format {
        LogFormat::Plain => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    guard
}

/// Periodically counts dropped log lines in the metrics and logs their number;
/// the log line appears once the output is read again. Never returns.
async fn count_dropped_lines(counter: ErrorCounter) {
    let mut counted = 0;
    loop {
        tokio::time::sleep(DROP_CHECK_PERIOD).await;
        let dropped = counter.dropped_lines();
        if dropped == counted {
            continue;
        }
        let lines = dropped - counted;
        counted = dropped;
        metrics::counter!("log_lines_dropped_total").increment(lines as u64);
        tracing::warn!(lines, total = dropped, "log: lines were dropped");
    }
}

/// Builds the configured log filter, or the default one if none is configured or
/// it is invalid.
fn env_filter(logging: &Logging) -> EnvFilter {
    let filter = if logging.filter.is_empty() {
        DEFAULT_FILTER
    } else {
        &logging.filter
    };
    EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER))
}

/// Returns the value of a required string argument.
fn required_string<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

/// Builds an option that takes a value.
fn value_option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

/// Reads a file given on the command line.
fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })
}
