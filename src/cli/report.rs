//! `report burn`: error-budget burn by service and client account.

use std::{process::ExitCode, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::{Error, Result, operator, required_string, value_option};
use crate::{
    infra::{LiveClient, protocol::LiveInstance},
    report::{BurnInput, BurnReport, BurnSample},
};

/// Timeout of a request to the platform or an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) fn command() -> Command {
    let burn = Command::new("burn")
        .about("Show how fast each service and client account spends its error budget")
        .args([
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
            value_option(
                "html",
                "FILE",
                "Write one self-contained HTML page with a plot",
            ),
            value_option(
                "objective",
                "PERCENT",
                "Share of requests that must be good",
            )
            .value_parser(value_parser!(f64))
            .default_value("95"),
        ]);
    Command::new("report")
        .about("Show reports on the services")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(operator::with_platform_option(burn))
}

pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let Some(("burn", matches)) = matches.subcommand() else {
        return Ok(ExitCode::FAILURE);
    };
    let objective = objective(matches)?;
    let collected = collect_samples(required_string(matches, "platform")).await?;
    let report = burn_report(collected.samples, objective);
    if let Some(path) = matches.get_one::<String>("html") {
        write_page(&report, path)?;
    }
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", report.to_table());
    }
    for error in &collected.errors {
        eprintln!("lavenderwind: report lacks the samples of an instance: {error}");
    }
    Ok(if collected.errors.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Samples of the instances that answered, and the errors of the others.
struct CollectedSamples {
    samples: Vec<BurnSample>,
    errors: Vec<Error>,
}

fn objective(matches: &ArgMatches) -> Result<f64> {
    let percent = matches.get_one::<f64>("objective").copied().unwrap_or(95.0);
    if percent > 0.0 && percent < 100.0 {
        return Ok(percent / 100.0);
    }
    Err(Error::Invalid(format!(
        "--objective {percent}: must be between 0 and 100 percent"
    )))
}

/// Computes a report from the samples of all live instances that answer.
pub(super) async fn collect_burn(platform_url: &str, objective: f64) -> Result<BurnReport> {
    let collected = collect_samples(platform_url).await?;
    Ok(burn_report(collected.samples, objective))
}

fn burn_report(samples: Vec<BurnSample>, objective: f64) -> BurnReport {
    BurnReport::new(&BurnInput {
        objective,
        ..BurnInput::new(samples)
    })
}

async fn collect_samples(platform_url: &str) -> Result<CollectedSamples> {
    let http = reqwest::Client::builder()
        .timeout(REQUEST_TIMEOUT)
        .build()
        .map_err(|error| Error::Invalid(error.to_string()))?;
    let live = LiveClient::new(http.clone(), platform_url, REQUEST_TIMEOUT);
    let mut collected = CollectedSamples {
        samples: Vec::new(),
        errors: Vec::new(),
    };
    for instance in live.list().await? {
        match read_samples(&http, &instance).await {
            Ok(samples) => collected.samples.extend(samples),
            Err(source) => collected.errors.push(Error::Admin {
                address: instance.admin_address.to_string(),
                source,
            }),
        }
    }
    Ok(collected)
}

async fn read_samples(
    http: &reqwest::Client,
    instance: &LiveInstance,
) -> reqwest::Result<Vec<BurnSample>> {
    let url = format!("http://{}/burn", instance.admin_address);
    let response = http.get(url).send().await?.error_for_status()?;
    response.json().await
}

fn write_page(report: &BurnReport, path: &str) -> Result<()> {
    let page = report
        .to_html()
        .map_err(|error| Error::Invalid(error.to_string()))?;
    std::fs::write(path, page).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })
}
