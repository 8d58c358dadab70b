//! `check`: validates settings or a service document without starting anything.

use std::{path::Path, process::ExitCode};

use clap::{ArgGroup, ArgMatches, Command};

use super::{Result, read_file, value_option};
use crate::{Settings, service::Document, settings::GatewaySettings};

pub(super) fn command() -> Command {
    Command::new("check")
        .about("Validate settings or a service document without starting anything")
        .arg(value_option("settings", "FILE", "Settings of an instance"))
        .arg(value_option("gateway", "FILE", "Settings of a gateway"))
        .arg(value_option("service", "FILE", "Service document"))
        .group(
            ArgGroup::new("file")
                .args(["settings", "gateway", "service"])
                .required(true),
        )
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    if let Some(path) = matches.get_one::<String>("settings") {
        let settings = Settings::load(Path::new(path))?;
        println!("{path}: settings of instance {} are valid", settings.name);
    }
    if let Some(path) = matches.get_one::<String>("gateway") {
        let settings = GatewaySettings::load(Path::new(path))?;
        println!("{path}: settings of gateway {} are valid", settings.name);
    }
    if let Some(path) = matches.get_one::<String>("service") {
        let document = Document::parse(&read_file(path)?)
            .map_err(|error| super::Error::Invalid(format!("{path}: {error}")))?;
        println!("{path}: document of service {} is valid", document.service);
    }
    Ok(ExitCode::SUCCESS)
}
