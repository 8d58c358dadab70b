//! Log access for operator commands: applies the log's records to a ledger,
//! publishes revisions of service documents and waits until the instances have
//! applied them.

use std::{process::ExitCode, time::Duration};

use clap::{ArgMatches, Command};
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;

use super::{Error, Result, required_string, value_option};
use crate::{
    infra::{LiveClient, protocol::LiveInstance},
    instance::status::InstanceStatus,
    ledger::{ApplyResult, Ledger, LedgerHandle},
    log::{
        self, Log, LogOptions, Offset,
        records::{ServiceRevision, record::Body},
    },
    service::Document,
};

/// Timeout of a request to the platform or an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for reading the log to its end, and for appending a record.
const LOG_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for every live instance to apply a revision: the bound within which
/// a configuration takes effect on all instances.
const APPLY_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval between status requests while waiting for the instances.
const APPLY_POLL: Duration = Duration::from_millis(50);

/// Adds the option for the platform's URL to a command.
pub(super) fn with_platform_option(command: Command) -> Command {
    command.arg(
        value_option(
            "platform",
            "URL",
            "Base URL of the platform's log and live list",
        )
        .env("LAVENDERWIND_PLATFORM")
        .required(true),
    )
}

/// Status of a live instance.
pub(super) struct InstanceReport {
    /// Entry in the platform's live list.
    pub(super) instance: LiveInstance,
    /// Status reported by the instance, or the error of the request.
    pub(super) status: std::result::Result<InstanceStatus, reqwest::Error>,
}

/// Ledger computed from the log, with clients for the log and the instances.
pub(super) struct Operator {
    log: Log,
    ledger: LedgerHandle,
    live: LiveClient,
    http: reqwest::Client,
}

impl Operator {
    /// Connects to the platform named by the arguments and applies all retained
    /// records of its log to the ledger.
    pub(super) async fn connect(matches: &ArgMatches) -> Result<Self> {
        Self::open(required_string(matches, "platform")).await
    }

    /// Connects to the platform at a base URL and applies all retained records of
    /// its log to the ledger.
    pub(super) async fn open(url: &str) -> Result<Self> {
        let http = reqwest::Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .build()
            .map_err(|error| Error::Invalid(error.to_string()))?;
        let options = LogOptions::for_operator(url, rand::random(), REQUEST_TIMEOUT);
        let ledger = LedgerHandle::new(Ledger::new());
        let (_, live_instances) = watch::channel(1);
        let log = log::spawn(
            &options,
            ledger.clone(),
            live_instances,
            &CancellationToken::new(),
        );
        let live = LiveClient::new(http.clone(), url, REQUEST_TIMEOUT);
        let operator = Self {
            log,
            ledger,
            live,
            http,
        };
        operator.catch_up().await?;
        Ok(operator)
    }

    /// Returns the ledger computed from the log.
    pub(super) fn ledger(&self) -> &LedgerHandle {
        &self.ledger
    }

    /// Waits until the log has been read and applied to its end.
    async fn catch_up(&self) -> Result<()> {
        let mut status = self.log.status.clone();
        let reached_end = status.wait_for(|status| status.live && status.caught_up);
        match tokio::time::timeout(LOG_TIMEOUT, reached_end).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(Error::Refused(
                "the platform's log could not be read to its end".into(),
            )),
        }
    }

    /// Returns the current revision of a service's document; 0 if there is none.
    pub(super) fn revision(&self, service: &str) -> u64 {
        self.ledger()
            .read(|ledger| ledger.service(service).map_or(0, |entry| entry.revision))
    }

    /// Returns the accepted document of a service.
    pub(super) fn document(&self, service: &str) -> Result<Document> {
        let found = self
            .ledger()
            .read(|ledger| ledger.service(service).map(|e| e.document.clone()));
        found.ok_or_else(|| Error::Invalid(format!("there is no service {service}")))
    }

    /// Publishes a service document as the revision after `base_revision`; returns
    /// the offset of its record once it is accepted.
    pub(super) async fn publish(
        &self,
        service: &str,
        base_revision: u64,
        document: String,
    ) -> Result<Offset> {
        let body = Body::ServiceRevision(ServiceRevision {
            service: service.to_owned(),
            base_revision,
            document,
        });
        let append = self.log.appender.append(body);
        let Ok(receipt) = tokio::time::timeout(LOG_TIMEOUT, append).await else {
            return Err(Error::Refused(format!(
                "service {service}: the log did not answer within {LOG_TIMEOUT:?}; run \
                 `service history {service}` to see whether the revision was accepted"
            )));
        };
        let receipt = receipt?;
        match receipt.apply_result {
            ApplyResult::Rejected(reason) => Err(Error::Refused(format!(
                "service {service} refused: {reason}"
            ))),
            _ => Ok(receipt.offset),
        }
    }

    /// Requests the status of every live instance.
    pub(super) async fn instances(&self) -> Result<Vec<InstanceReport>> {
        let mut reports = Vec::new();
        for instance in self.live.list().await? {
            let status = self.status(&instance).await;
            reports.push(InstanceReport { instance, status });
        }
        Ok(reports)
    }

    /// Waits until every live instance has applied the log up to an offset.
    /// After [`APPLY_TIMEOUT`], prints the instances that have not.
    pub(super) async fn wait_applied(&self, offset: Offset) -> Result<ExitCode> {
        let deadline = Instant::now() + APPLY_TIMEOUT;
        loop {
            let reports = self.instances().await?;
            let lagging = lagging_lines(&reports, offset);
            if reports.is_empty() {
                println!("no instance is on the platform's live list");
                return Ok(ExitCode::FAILURE);
            }
            if lagging.is_empty() {
                println!("applied by {} live instances", reports.len());
                return Ok(ExitCode::SUCCESS);
            }
            if Instant::now() >= deadline {
                for line in lagging {
                    println!("{line}");
                }
                return Ok(ExitCode::FAILURE);
            }
            tokio::time::sleep(APPLY_POLL).await;
        }
    }

    async fn status(
        &self,
        instance: &LiveInstance,
    ) -> std::result::Result<InstanceStatus, reqwest::Error> {
        let url = format!("http://{}/status", instance.admin_address);
        self.http
            .get(url)
            .send()
            .await?
            .error_for_status()?
            .json()
            .await
    }
}

/// Describes the instances that have not applied the log up to an offset.
fn lagging_lines(reports: &[InstanceReport], offset: Offset) -> Vec<String> {
    let mut lines = Vec::new();
    for report in reports {
        let name = &report.instance.name;
        match &report.status {
            Ok(status) if status.applied_offset >= offset.0 => (),
            Ok(status) => {
                lines.push(format!(
                    "not applied by {name}: at offset {}",
                    status.applied_offset
                ));
            }
            Err(error) => lines.push(format!("not applied by {name}: no answer: {error}")),
        }
    }
    lines
}
