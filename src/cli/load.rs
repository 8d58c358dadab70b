//! `load`: sends open-loop load to running entries.

use std::{io::IsTerminal, path::PathBuf, sync::Arc, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use displaydoc::Display;
use indexmap::IndexMap;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

use crate::load::{
    LoadAccount, LoadPlan, LoadReport, Phase, PlainCall, PlanError, run as run_load,
};

/// Name of the account of a run without a plan file.
const FLAG_ACCOUNT: &str = "load";

/// Result of the subcommand.
pub(super) type Result<T> = std::result::Result<T, Error>;

/// Error of a load run.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot read {path}: {cause}
    Read {
        /// Path of the plan.
        path: String,
        /// Cause from the operating system.
        cause: std::io::Error,
    },
    /// {0}
    Plan(PlanError),
    /// cannot build the HTTP client: {0}
    Client(reqwest::Error),
    /// {count} answers did not match their requests
    Wrong {
        /// Number of such answers.
        count: u64,
    },
}

impl std::error::Error for Error {}

/// Builds the subcommand.
pub(super) fn command() -> Command {
    Command::new("load")
        .about("Send open-loop load to entries and report goodput and latency")
        .args(plan_args())
        .args(workload_args())
        .args([
            flag(
                "verify",
                "Compare answers with those of the stand-in engine",
            ),
            flag("json", "Print the report as JSON, without a progress bar"),
        ])
}

/// Runs the load and prints its report.
///
/// # Errors
///
/// Fails if the plan is invalid, or if the verification of an answer failed.
pub(super) async fn run(matches: &ArgMatches) -> Result<()> {
    let plan = read_plan(matches)?;
    let json = matches.get_flag("json");
    let bar = progress_bar(&plan, json);
    let report = run_load(plan, |progress| {
        bar.set_position(progress.elapsed.as_millis() as u64);
        bar.set_message(format!(
            "{} sent, {} in flight",
            progress.sent, progress.in_flight
        ));
    })
    .await
    .map_err(Error::Client)?;
    bar.finish_and_clear();
    print_report(&report, json);
    match report.total.counts.wrong {
        0 => Ok(()),
        count => Err(Error::Wrong { count }),
    }
}

fn plan_args() -> Vec<Arg> {
    vec![
        Arg::new("plan")
            .long("plan")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("YAML file with accounts and phases; flags such as --url override it"),
        Arg::new("url")
            .long("url")
            .value_name("URL")
            .action(ArgAction::Append)
            .help("Base URL of an entry; may be given more than once"),
        Arg::new("key")
            .long("key")
            .value_name("SECRET")
            .help("Secret key of the account, if no plan is given"),
        Arg::new("model")
            .long("model")
            .value_name("MODEL")
            .help("Model named in the requests"),
        Arg::new("plain")
            .long("plain")
            .value_name("METHOD:PATH")
            .help("Call a plain service instead of chat, such as POST:/orders"),
        number_option("seed", "SEED", "Seed for arrivals, lengths and texts"),
        number_option("max-requests", "COUNT", "Maximum number of requests"),
    ]
}

fn workload_args() -> Vec<Arg> {
    vec![
        Arg::new("rate")
            .long("rate")
            .value_name("REQUESTS_PER_S")
            .value_parser(value_parser!(f64))
            .help("Mean arrivals per second, if no plan is given"),
        number_option(
            "duration-s",
            "SECONDS",
            "Duration of the run, if no plan is given",
        ),
        number_option(
            "prompt-tokens",
            "COUNT",
            "Mean length of prompts, if no plan is given",
        ),
        number_option(
            "output-tokens",
            "COUNT",
            "Mean length of answers, if no plan is given",
        ),
    ]
}

fn number_option(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value_name)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

fn read_plan(matches: &ArgMatches) -> Result<LoadPlan> {
    let mut plan = match matches.get_one::<PathBuf>("plan") {
        Some(path) => read_plan_file(path)?,
        None => plan_from_flags(matches),
    };
    if let Some(urls) = matches.get_many::<String>("url") {
        plan.urls = urls.map(|url| Arc::from(url.as_str())).collect();
    }
    if let Some(model) = matches.get_one::<String>("model") {
        plan.model = model.as_str().into();
    }
    if let Some(call) = matches.get_one::<String>("plain") {
        plan.plain = Some(plain_call(call));
    }
    if let Some(seed) = matches.get_one::<u64>("seed") {
        plan.seed = *seed;
    }
    if let Some(max_requests) = matches.get_one::<u64>("max-requests") {
        plan.max_requests = *max_requests;
    }
    plan.verify |= matches.get_flag("verify");
    plan.check().map_err(Error::Plan)?;
    Ok(plan)
}

fn read_plan_file(path: &PathBuf) -> Result<LoadPlan> {
    let text = std::fs::read_to_string(path).map_err(|cause| Error::Read {
        path: path.display().to_string(),
        cause,
    })?;
    // Validated after the flags are applied, since they may give the plan's
    // `urls`.
    serde_yaml_ng::from_str(&text).map_err(|cause| Error::Plan(PlanError::Parse(cause)))
}

fn plan_from_flags(matches: &ArgMatches) -> LoadPlan {
    let number_or = |name: &str, default: u64| matches.get_one(name).copied().unwrap_or(default);
    let key = matches.get_one::<String>("key");
    let mut plan = LoadPlan::default();
    plan.accounts.push(LoadAccount {
        name: FLAG_ACCOUNT.into(),
        key: key.map_or("", String::as_str).into(),
        weight: 1.0,
        entries: Vec::new(),
        shared_prefix_tokens: 0,
    });
    plan.phases.push(Phase {
        duration_ms: number_or("duration-s", 10) * 1_000,
        requests_per_s: matches.get_one("rate").copied().unwrap_or(10.0),
        prompt_tokens: number_or("prompt-tokens", 400) as u32,
        output_tokens: number_or("output-tokens", 50) as u32,
        spread: 0.0,
        account_factors: IndexMap::new(),
    });
    plan
}

fn plain_call(text: &str) -> PlainCall {
    let (method, path) = text.split_once(':').unwrap_or(("GET", text));
    PlainCall {
        method: method.into(),
        path: path.into(),
    }
}

fn progress_bar(plan: &LoadPlan, json: bool) -> ProgressBar {
    if json || !std::io::stderr().is_terminal() {
        return ProgressBar::with_draw_target(None, ProgressDrawTarget::hidden());
    }
    let bar = ProgressBar::new(plan.duration_ms());
    let style = ProgressStyle::with_template("{bar:40} {percent}% {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.enable_steady_tick(Duration::from_millis(200));
    bar
}

fn print_report(report: &LoadReport, json: bool) {
    if !json {
        print!("{}", report.to_table());
        return;
    }
    match serde_json::to_string(report) {
        Ok(text) => println!("{text}"),
        Err(error) => tracing::error!("load: cannot encode the report: {error}"),
    }
}
