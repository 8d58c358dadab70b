//! `service`: publishes and shows service documents.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use comfy_table::{Table, presets::UTF8_BORDERS_ONLY};

use super::{
    Error, Result,
    operator::{self, Operator},
    read_file, required_string, value_option,
};
use crate::service::Document;

pub(super) fn command() -> Command {
    Command::new("service")
        .about("Publish and show service documents")
        .subcommand_required(true)
        .subcommand(publish_command())
        .subcommand(operator::with_platform_option(
            Command::new("list").about("List services and their current revisions"),
        ))
        .subcommand(operator::with_platform_option(
            Command::new("show")
                .about("Print the accepted document of a service")
                .arg(name_argument()),
        ))
        .subcommand(operator::with_platform_option(
            Command::new("history")
                .about("List accepted and refused revisions with reasons")
                .arg(name_argument()),
        ))
}

fn publish_command() -> Command {
    let command = Command::new("publish")
        .about("Publish a revision of a service document")
        .arg(Arg::new("file").value_name("FILE").required(true))
        .arg(
            value_option(
                "base-revision",
                "N",
                "Revision that the document replaces [default: the current one]",
            )
            .value_parser(clap::value_parser!(u64)),
        )
        .arg(wait_argument());
    operator::with_platform_option(command)
}

/// Builds the `--wait` flag of commands that publish a revision.
pub(super) fn wait_argument() -> Arg {
    Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help("Return when every live instance has applied the revision")
}

fn name_argument() -> Arg {
    Arg::new("name").value_name("SERVICE").required(true)
}

pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(ExitCode::from(super::EXIT_INVALID));
    };
    match name {
        "publish" => publish(matches).await,
        "list" => list(matches).await,
        "show" => show(matches).await,
        _ => history(matches).await,
    }
}

async fn publish(matches: &ArgMatches) -> Result<ExitCode> {
    let path = required_string(matches, "file");
    let text = read_file(path)?;
    let document =
        Document::parse(&text).map_err(|error| Error::Invalid(format!("{path}: {error}")))?;
    let operator = Operator::connect(matches).await?;
    let base_revision = match matches.get_one::<u64>("base-revision") {
        Some(revision) => *revision,
        None => operator.revision(&document.service),
    };
    let offset = operator
        .publish(&document.service, base_revision, text)
        .await?;
    println!(
        "service {} revision {} accepted",
        document.service,
        base_revision + 1
    );
    if !matches.get_flag("wait") {
        return Ok(ExitCode::SUCCESS);
    }
    operator.wait_applied(offset).await
}

async fn list(matches: &ArgMatches) -> Result<ExitCode> {
    let operator = Operator::connect(matches).await?;
    let mut table = Table::new();
    table
        .load_style(UTF8_BORDERS_ONLY)
        .set_header(["service", "team", "revision", "offset"]);
    operator.ledger().read(|ledger| {
        for entry in ledger.services() {
            table.add_row([
                entry.document.service.to_string(),
                entry.document.team.to_string(),
                entry.revision.to_string(),
                entry.offset.to_string(),
            ]);
        }
    });
    println!("{table}");
    Ok(ExitCode::SUCCESS)
}

async fn show(matches: &ArgMatches) -> Result<ExitCode> {
    let name = required_string(matches, "name");
    let operator = Operator::connect(matches).await?;
    let text = operator
        .ledger()
        .read(|ledger| ledger.service(name).map(|e| e.text.clone()));
    let text = text.ok_or_else(|| Error::Invalid(format!("there is no service {name}")))?;
    println!("{}", text.trim_end());
    Ok(ExitCode::SUCCESS)
}

async fn history(matches: &ArgMatches) -> Result<ExitCode> {
    let name = required_string(matches, "name");
    let operator = Operator::connect(matches).await?;
    let mut table = Table::new();
    table
        .load_style(UTF8_BORDERS_ONLY)
        .set_header(["offset", "revises", "writer", "result"]);
    operator.ledger().read(|ledger| {
        for entry in ledger.history(name) {
            let result = match entry.revision {
                Some(revision) => format!("accepted as {revision}"),
                None => format!("refused: {}", entry.refusal),
            };
            table.add_row([
                entry.offset.to_string(),
                entry.base_revision.to_string(),
                entry.writer.to_string(),
                result,
            ]);
        }
    });
    println!("{table}");
    Ok(ExitCode::SUCCESS)
}
