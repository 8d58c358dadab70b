//! `explain`: traces a request through log lines.

use std::{
    fs::File,
    io::{BufRead, BufReader, Read, stdin},
    process::ExitCode,
};

use clap::{Arg, ArgMatches, Command};

use super::{Error, Result, required_string};
use crate::explain::trace_request;

pub(super) fn command() -> Command {
    Command::new("explain")
        .about("Trace a request through the log lines of all instances")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .help("Identifier of the request")
                .required(true),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .help("Files with log lines; standard input if none is given")
                .num_args(0..),
        )
}

/// Prints the trace of a request; the exit code is a failure if no line names
/// the request.
pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let mut lines = Vec::new();
    match matches.get_many::<String>("files") {
        None => read_lines(stdin().lock(), &mut lines)?,
        Some(paths) => {
            for path in paths {
                let file = File::open(path).map_err(|source| Error::File {
                    path: path.clone(),
                    source,
                })?;
                read_lines(file, &mut lines)?;
            }
        }
    }
    let trace = trace_request(required_string(matches, "id"), lines);
    print!("{trace}");
    match trace.is_empty() {
        true => Ok(ExitCode::FAILURE),
        false => Ok(ExitCode::SUCCESS),
    }
}

fn read_lines<R>(source: R, lines: &mut Vec<String>) -> Result<()>
where
    R: Read,
{
    for line in BufReader::new(source).split(b'\n') {
        lines.push(String::from_utf8_lossy(&line?).into_owned());
    }
    Ok(())
}
