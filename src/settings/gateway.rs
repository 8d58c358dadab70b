//! Settings of a gateway instance, which runs on the users' platform.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use serde::Deserialize;

use super::{Checker, IntakeSettings, Logging, Result, parse_yaml, read_text};

/// Settings of a gateway instance, which forwards callers' requests to targets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the instance, unique among its peers.
    pub name: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub readiness_address: SocketAddr,
    /// Listen address for datagrams from other instances.
    pub peer_address: SocketAddr,
    /// Listen address for metrics.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the platform's interface for usage reports and orders.
    pub cloud_address: SocketAddr,
    /// Enabled duties.
    #[serde(default)]
    pub duties: Duties,
    /// Intervals and time limits.
    #[serde(default)]
    pub timing: GatewayTiming,
    /// Retry budget: limits on sends beyond the first of each request.
    #[serde(default)]
    pub retries: RetryLimits,
    /// Resource limits of the instance.
    #[serde(default)]
    pub limits: InstanceLimits,
    /// Limits on callers that do not go on.
    #[serde(default)]
    pub intake: IntakeSettings,
    /// Placement of prompts on engines.
    #[serde(default)]
    pub placement: PlacementSettings,
    /// Bounds of the quotas of client accounts.
    #[serde(default)]
    pub quotas: QuotaSettings,
    /// Log output.
    #[serde(default)]
    pub logging: Logging,
}

/// Enabled duties, tasks that only the instance that holds the lease performs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Duties {
    /// Whether usage is reported.
    pub usage: bool,
    /// Whether targets are ordered.
    pub ordering: bool,
    /// Whether roles of engines are changed.
    pub roles: bool,
}

/// Intervals and time limits, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayTiming {
    /// Length of the lease under which duties are held.
    pub lease_ms: u64,
    /// Length of a usage window.
    pub usage_window_ms: u64,
    /// Time after the end of a usage window by which its report is due.
    pub usage_due_ms: u64,
    /// Maximum duration of a graceful shutdown.
    pub stop_ms: u64,
    /// Maximum time without a read of the configuration. After a longer time the
    /// configuration counts as stale.
    pub freshness_ms: u64,
    /// Time after a store outage for which targets whose entries lapsed during the
    /// outage are kept, since their entries may reappear.
    pub return_ms: u64,
    /// Interval at which targets write their entries. The platform removes an entry after
    /// three of them without a write.
    pub target_heartbeat_ms: u64,
    /// Time from the notice that a target is leaving until no more requests are sent
    /// to the target.
    pub drain_ms: u64,
    /// Time after an outage within which the instance must have received all newer
    /// configuration.
    pub settle_ms: u64,
}

impl Default for GatewayTiming {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            usage_window_ms: 5_000,
            usage_due_ms: 10_000,
            stop_ms: 7_000,
            freshness_ms: 6_500,
            return_ms: 1_700,
            target_heartbeat_ms: 1_200,
            drain_ms: 2_000,
            settle_ms: 3_000,
        }
    }
}

/// Retry budget: limits on sends beyond the first of each request, over all
/// instances.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryLimits {
    /// Number of extra sends that each request adds to the budget.
    pub ratio: f64,
    /// Length of the sliding window in which sends are counted, in milliseconds.
    pub window_ms: u64,
    /// Number of extra sends allowed in each window in addition to those that
    /// `ratio` allows.
    pub slack: f64,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            window_ms: 10_000,
            slack: 10.0,
        }
    }
}

/// Resource limits of the instance.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceLimits {
    /// Memory limit, in megabytes.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub max_descriptors: u64,
}

impl Default for InstanceLimits {
    fn default() -> Self {
        Self {
            memory_mb: 256,
            max_descriptors: 1_024,
        }
    }
}

/// Placement of prompts on engines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// Whether one instance at a time places the prompts of all instances, refuses those
    /// that cannot be served in time, and learns how fast each engine is.
    pub shared: bool,
}

/// Bounds of the quotas of client accounts, over all instances.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaSettings {
    /// Length of the sliding window in which an account's usage is bounded, in seconds.
    pub quota_window_s: u64,
    /// Fraction by which the usage of a window may exceed rate and burst.
    pub overage: f64,
    /// Tokens by which the usage of a window may exceed that.
    pub slack_tokens: u64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            quota_window_s: 8,
            overage: 0.1,
            slack_tokens: 190_000,
        }
    }
}

/// Settings that may change while an instance runs.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Intervals and time limits.
    pub timing: GatewayTiming,
    /// Retry budget: limits on sends beyond the first of each request.
    pub retries: RetryLimits,
    /// Resource limits of the instance.
    pub limits: InstanceLimits,
    /// Limits on callers that do not go on.
    pub intake: IntakeSettings,
}

impl GatewaySettings {
    /// Returns the settings that may change while an instance runs.
    #[must_use]
    pub fn tuning(&self) -> Tuning {
        Tuning {
            timing: self.timing,
            retries: self.retries,
            limits: self.limits,
            intake: self.intake,
        }
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not valid YAML with the fields of
    /// [`GatewaySettings`], or contains values that are out of range.
    pub fn load(path: &Path) -> Result<Self> {
        Self::parse(&read_text(path)?, path)
    }

    /// Parses and validates settings; errors contain `path`.
    ///
    /// # Errors
    ///
    /// Fails as [`GatewaySettings::load`] does.
    pub fn parse(text: &str, path: &Path) -> Result<Self> {
        let settings: Self = parse_yaml(text, path)?;
        settings.check(&Checker::new(text, path))?;
        Ok(settings)
    }

    fn check(&self, checker: &Checker<'_>) -> Result<()> {
        checker.require("name", !self.name.is_empty(), "must not be empty")?;
        let has_domain = !self.failure_domain.is_empty();
        checker.require("failure_domain", has_domain, "must not be empty")?;
        let positive = [
            ("lease_ms", self.timing.lease_ms),
            ("usage_window_ms", self.timing.usage_window_ms),
            ("usage_due_ms", self.timing.usage_due_ms),
            ("stop_ms", self.timing.stop_ms),
            ("freshness_ms", self.timing.freshness_ms),
            ("target_heartbeat_ms", self.timing.target_heartbeat_ms),
            ("drain_ms", self.timing.drain_ms),
            ("settle_ms", self.timing.settle_ms),
            ("window_ms", self.retries.window_ms),
            ("memory_mb", self.limits.memory_mb),
            ("max_descriptors", self.limits.max_descriptors),
        ];
        for (field, value) in positive {
            checker.require(field, value > 0, "must be over 0")?;
        }
        let is_window_valid = (1..=60).contains(&self.quotas.quota_window_s);
        checker.require("quota_window_s", is_window_valid, "must be from 1 to 60")?;
        let is_overage_valid = (0.0..=10.0).contains(&self.quotas.overage);
        checker.require("overage", is_overage_valid, "must be from 0 to 10")?;
        let is_ratio_valid = (0.0..=10.0).contains(&self.retries.ratio);
        checker.require("ratio", is_ratio_valid, "must be from 0 to 10")?;
        let is_slack_valid = self.retries.slack >= 0.0 && self.retries.slack.is_finite();
        checker.require("slack", is_slack_valid, "must be 0 or more")?;
        self.intake.check(checker)
    }
}

impl GatewayTiming {
    /// Returns the maximum duration of a graceful shutdown.
    #[must_use]
    pub fn stop(&self) -> Duration {
        Duration::from_millis(self.stop_ms)
    }

    /// Returns the maximum time without a read of the configuration.
    #[must_use]
    pub fn freshness(&self) -> Duration {
        Duration::from_millis(self.freshness_ms)
    }
}
