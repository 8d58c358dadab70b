//! `where`: asks a running gateway instance where a request would go, without sending it.

use std::{process::ExitCode, time::Duration};

use clap::{Arg, ArgMatches, Command};

use super::{Error, Result, required_string, value_option};
use crate::platform::AskedRequest;

/// Name of the command.
pub(super) const NAME: &str = "where";

/// Environment variable that contains the API key.
const KEY_VARIABLE: &str = "LAVENDERWIND_KEY";

/// Timeout of the question.
const TIMEOUT: Duration = Duration::from_secs(5);

pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Tell where a gateway instance would send a request now, and why")
        .arg(
            Arg::new("address")
                .value_name("ADDRESS")
                .help("Metrics address of the instance")
                .required(true),
        )
        .arg(value_option("host", "HOST", "Host of the request").required(true))
        .arg(value_option("path", "PATH", "Path of the request").required(true))
        .arg(value_option("key", "KEY", "API key, if the route needs one").env(KEY_VARIABLE))
        .arg(value_option("model", "NAME", "Model of a prompt"))
        .arg(value_option(
            "token-count",
            "COUNTS",
            "Tokens of a prompt and its answer",
        ))
        .arg(value_option("prompt-prefix", "PARTS", "Parts of a prompt"))
}

/// Prints the answer; the exit code is a failure if the request would be refused.
pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let address = required_string(matches, "address");
    let admin_error = |source| Error::Admin {
        address: address.to_owned(),
        source,
    };
    let client = reqwest::Client::builder().timeout(TIMEOUT).no_proxy();
    let client = client.build().map_err(admin_error)?;
    let option = |name| matches.get_one::<String>(name).map(String::as_str);
    let asked = AskedRequest {
        key: option("key"),
        model: option("model"),
        token_count: option("token-count"),
        prompt_parts: option("prompt-prefix"),
    };
    let request = client
        .get(format!("http://{address}/destination"))
        .query(&[
            ("host", required_string(matches, "host")),
            ("path", required_string(matches, "path")),
        ])
        .headers(asked.headers());
    let response = request.send().await.map_err(admin_error)?;
    let would_send = response.status().is_success();
    print!("{}", response.text().await.map_err(admin_error)?);
    match would_send {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}
