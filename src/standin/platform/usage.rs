//! Usage sink: accepts one set of figures for each window and keeps all reports.

use serde::{Deserialize, Serialize};

use crate::infra::protocol::UsageReport;

/// Result of a usage report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UsageReportResult {
    /// First report of its window.
    Accepted,
    /// The window was already reported with the same figures.
    Repeated,
    /// The window was already reported with different figures.
    Conflict,
    /// A higher fencing token has been seen.
    OldEpoch,
}

/// A report that the sink received.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReceivedUsage {
    /// The report.
    pub report: UsageReport,
    /// Result of the report.
    #[serde(rename = "verdict")]
    pub result: UsageReportResult,
}

/// All reports received, and the highest fencing token among them.
#[derive(Debug, Default)]
pub(crate) struct UsageSink {
    received: Vec<ReceivedUsage>,
    newest_epoch: u64,
}

impl UsageSink {
    /// Checks and records a report.
    ///
    /// With `check_epoch`, a report with an outdated fencing token is rejected.
    pub(crate) fn report(&mut self, report: UsageReport, check_epoch: bool) -> UsageReportResult {
        let result = self.classify(&report, check_epoch);
        self.newest_epoch = self.newest_epoch.max(report.epoch);
        self.received.push(ReceivedUsage { report, result });
        result
    }

    /// Returns all reports received, in order.
    pub(crate) fn received_reports(&self) -> &[ReceivedUsage] {
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
