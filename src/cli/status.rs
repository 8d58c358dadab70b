//! `status`: shows the live instances with their readiness, applied offset and
//! freshness, the duty holders and the targets.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use comfy_table::{Table, presets::UTF8_BORDERS_ONLY};

use super::{
    Result,
    operator::{self, InstanceReport, Operator},
};
use crate::instance::status::InstanceStatus;

pub(super) fn command() -> Command {
    let command = Command::new("status")
        .about("Show instances, applied offsets, duty holders, targets and freshness")
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        );
    operator::with_platform_option(command)
}

pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let operator = Operator::connect(matches).await?;
    let reports = operator.instances().await?;
    if matches.get_flag("json") {
        let answered: Vec<&InstanceStatus> = reports
            .iter()
            .filter_map(|report| report.status.as_ref().ok())
            .collect();
        println!("{}", serde_json::to_string_pretty(&answered)?);
    } else {
        print_tables(&reports);
    }
    let all_answered = reports.iter().all(|report| report.status.is_ok());
    Ok(if all_answered {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn print_tables(reports: &[InstanceReport]) {
    println!("{}", instance_table(reports));
    let newest = reports
        .iter()
        .filter_map(|report| report.status.as_ref().ok())
        .max_by_key(|status| status.applied_offset);
    let Some(status) = newest else {
        return;
    };
    println!("{}", duty_table(status));
    println!("{}", target_table(status));
}

fn new_table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_BORDERS_ONLY).set_header(header);
    table
}

fn instance_table(reports: &[InstanceReport]) -> Table {
    let mut table = new_table([
        "instance",
        "failure domain",
        "applied",
        "log",
        "fresh",
        "readiness",
    ]);
    for report in reports {
        let instance = &report.instance;
        let Ok(status) = &report.status else {
            let domain = instance.failure_domain.to_string();
            table.add_row([&*instance.name, &domain, "-", "-", "-", "no answer"]);
            continue;
        };
        table.add_row([
            status.name.to_string(),
            status.failure_domain.to_string(),
            status.applied_offset.to_string(),
            yes_no(status.log_live).to_owned(),
            yes_no(status.fresh).to_owned(),
            readiness(status),
        ]);
    }
    table
}

fn readiness(status: &InstanceStatus) -> String {
    if status.not_ready.is_empty() {
        return "ready".to_owned();
    }
    let reasons: Vec<String> = status.not_ready.iter().map(ToString::to_string).collect();
    reasons.join("; ")
}

fn duty_table(status: &InstanceStatus) -> Table {
    let mut table = new_table(["duty", "holder", "epoch", "state"]);
    for duty in &status.duties {
        let state = if duty.resigned { "resigned" } else { "held" };
        table.add_row([&*duty.duty, &*duty.holder, &duty.epoch.to_string(), state]);
    }
    table
}

fn target_table(status: &InstanceStatus) -> Table {
    let mut table = new_table([
        "target",
        "kind",
        "failure domain",
        "state",
        "running",
        "waiting",
        "blocks",
    ]);
    for target in &status.targets {
        table.add_row([
            target.name.to_string(),
            target.kind.to_string(),
            target.failure_domain.to_string(),
            target.state.to_string(),
            target.running.to_string(),
            target.waiting.to_string(),
            format!("{}/{}", target.used_blocks, target.total_blocks),
        ]);
    }
    table
}

const fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
