//! `key`: issues and revokes keys by revising a service document.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use sha2::{Digest, Sha256};

use super::{
    Error, Result,
    operator::{self, Operator},
    required_string, service, value_option,
};
use crate::service::{Account, Document, Key};

/// Random bytes in a secret.
const SECRET_BYTES: usize = 32;

/// Retries of a key command after conflicts with concurrent revisions.
const MAX_CONFLICT_RETRIES: u32 = 5;

pub(super) fn command() -> Command {
    Command::new("key")
        .about("Issue and revoke keys of client accounts")
        .subcommand_required(true)
        .subcommand(issue_command())
        .subcommand(revoke_command())
}

fn issue_command() -> Command {
    let command = Command::new("issue")
        .about("Issue a key; the secret is printed once and is not stored")
        .arg(value_option("service", "NAME", "Service").required(true))
        .arg(value_option("account", "NAME", "Client account").required(true))
        .arg(value_option("id", "ID", "Identifier of the key").required(true))
        .arg(service::wait_argument());
    operator::with_platform_option(command)
}

fn revoke_command() -> Command {
    let command = Command::new("revoke")
        .about("Revoke a key permanently")
        .arg(value_option("service", "NAME", "Service").required(true))
        .arg(value_option("id", "ID", "Identifier of the key").required(true))
        .arg(service::wait_argument());
    operator::with_platform_option(command)
}

pub(super) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    match matches.subcommand() {
        Some(("issue", matches)) => issue(matches).await,
        Some(("revoke", matches)) => revoke(matches).await,
        _ => Ok(ExitCode::from(super::EXIT_INVALID)),
    }
}

async fn issue(matches: &ArgMatches) -> Result<ExitCode> {
    let secret = format!("lw-{}", hex::encode(rand::random::<[u8; SECRET_BYTES]>()));
    let key = Key {
        id: required_string(matches, "id").into(),
        sha256: hex::encode(Sha256::digest(&secret)).into(),
        revoked: false,
    };
    let account_name = required_string(matches, "account").to_owned();
    let edit = move |document: &mut Document| {
        let account = find_account(document, &account_name)?;
        account.keys.push(key.clone());
        Ok(())
    };
    let code = revise(matches, edit).await?;
    println!("{secret}");
    Ok(code)
}

async fn revoke(matches: &ArgMatches) -> Result<ExitCode> {
    let id = required_string(matches, "id").to_owned();
    let edit = move |document: &mut Document| {
        let key = find_key(document, &id)?;
        key.revoked = true;
        Ok(())
    };
    revise(matches, edit).await
}

/// Publishes the current document as changed by `edit`. After a conflict with a
/// concurrent revision, `edit` is retried on the newer document.
async fn revise<F>(matches: &ArgMatches, edit: F) -> Result<ExitCode>
where
    F: Fn(&mut Document) -> Result<()>,
{
    let name = required_string(matches, "service");
    let operator = Operator::connect(matches).await?;
    let mut conflicts = 0;
    let offset = loop {
        let mut document = operator.document(name)?;
        edit(&mut document)?;
        let text = serde_yaml_ng::to_string(&document)
            .map_err(|error| Error::Invalid(error.to_string()))?;
        let revision = operator.revision(name);
        match operator.publish(name, revision, text).await {
            Ok(offset) => break offset,
            Err(_) if operator.revision(name) != revision && conflicts < MAX_CONFLICT_RETRIES => {
                conflicts += 1
            }
            Err(error) => return Err(error),
        }
    };
    eprintln!(
        "service {name} revision {} accepted",
        operator.revision(name)
    );
    if !matches.get_flag("wait") {
        return Ok(ExitCode::SUCCESS);
    }
    operator.wait_applied(offset).await
}

fn find_account<'a>(document: &'a mut Document, name: &str) -> Result<&'a mut Account> {
    let service = document.service.clone();
    let found = document
        .accounts
        .iter_mut()
        .find(|account| &*account.name == name);
    found.ok_or_else(|| Error::Invalid(format!("service {service} has no account {name}")))
}

fn find_key<'a>(document: &'a mut Document, id: &str) -> Result<&'a mut Key> {
    let service = document.service.clone();
    let mut keys = document
        .accounts
        .iter_mut()
        .flat_map(|account| account.keys.iter_mut());
    let found = keys.find(|key| &*key.id == id);
    found.ok_or_else(|| Error::Invalid(format!("service {service} has no key {id}")))
}
