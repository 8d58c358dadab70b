//! Usage sink: idempotent by window, remembers every report.

use serde::{Deserialize, Serialize};

use crate::infra::protocol::UsageReport;

/// What became of a report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UsageReportResult {
    /// The window's first report.
    Accepted,
    /// The same figures as before.
    Repeated,
    /// Other figures than before.
    Conflict,
    /// The fencing number is old.
    OldEpoch,
}

/// A report as the sink received it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReceivedUsage {
    /// The report.
    pub report: UsageReport,
    /// What became of it.
    #[serde(rename = "verdict")]
    pub result: UsageReportResult,
}

/// The usage sink.
#[derive(Debug, Default)]
pub(crate) struct UsageSink {
    received: Vec<ReceivedUsage>,
    newest_epoch: u64,
}

impl UsageSink {
    /// Takes a report.
    pub(crate) fn report(&mut self, report: UsageReport, check_epoch: bool) -> UsageReportResult {
        let result = self.classify(&report, check_epoch);
        self.newest_epoch = self.newest_epoch.max(report.epoch);
        self.received.push(ReceivedUsage { report, result });
        result
    }

    /// Returns every report received, in order.
    pub(crate) fn received(&self) -> &[ReceivedUsage] {
        &self.received
    }

    fn classify(&self, report: &UsageReport, check_epoch: bool) -> UsageReportResult {
        if check_epoch && report.epoch < self.newest_epoch {
            return UsageReportResult::OldEpoch;
        }
        for known in &self.received {
            if known.result != UsageReportResult::Accepted || known.report.window != report.window {
                continue;
            }
            if known.report.figures == report.figures {
                return UsageReportResult::Repeated;
            }
            return UsageReportResult::Conflict;
        }
        UsageReportResult::Accepted
    }
}
