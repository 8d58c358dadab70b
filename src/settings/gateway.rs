//! Settings of an instance that forwards on the users' platform.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use serde::Deserialize;

use super::{Checker, Logging, Result, parse_yaml, read_text};

/// Settings of an instance that forwards callers' requests to targets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the instance, unique among its peers.
    pub name: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address at which the balancer asks for readiness.
    pub readiness_address: SocketAddr,
    /// Address for datagrams between instances.
    pub peer_address: SocketAddr,
    /// Address of the metrics.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the platform's interface for usage reports and orders.
    pub cloud_address: SocketAddr,
    /// Duties that one instance at a time has.
    #[serde(default)]
    pub duties: Duties,
    /// Times.
    #[serde(default)]
    pub timing: GatewayTiming,
    /// Budget of sends beyond the first of each request.
    #[serde(default)]
    pub retries: RetryLimits,
    /// Bounds of the instance.
    #[serde(default)]
    pub limits: InstanceLimits,
    /// Log output.
    #[serde(default)]
    pub logging: Logging,
}

/// Duties that one instance at a time has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Duties {
    /// Reports usage.
    pub usage: bool,
    /// Orders targets.
    pub ordering: bool,
    /// Changes roles of engines.
    pub roles: bool,
}

/// Times, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayTiming {
    /// Length of the lease under which duties are held.
    pub lease_ms: u64,
    /// Length of a usage window.
    pub usage_window_ms: u64,
    /// Time after a usage window's end at which its report is due.
    pub usage_due_ms: u64,
    /// Longest graceful stop.
    pub stop_ms: u64,
    /// Time for which an instance may go without reading the configuration.
    pub freshness_ms: u64,
    /// Time for which a target that left the store while that was out may
    /// come back.
    pub return_ms: u64,
    /// Time after which a target that is about to leave gets no requests.
    pub drain_ms: u64,
    /// Time after a disturbance within which everything newer must be known.
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
            drain_ms: 2_000,
            settle_ms: 3_000,
        }
    }
}

/// Budget of sends beyond the first of each request, over all instances.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryLimits {
    /// Extra sends a request.
    pub ratio: f64,
    /// Time over which they are counted, in milliseconds.
    pub window_ms: u64,
    /// Extra sends in each window beyond the ratio.
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

/// Bounds of the instance.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceLimits {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Descriptors.
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

/// Settings that may change while an instance runs.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Times.
    pub timing: GatewayTiming,
    /// Budget of sends beyond the first of each request.
    pub retries: RetryLimits,
    /// Bounds of the instance.
    pub limits: InstanceLimits,
}

impl GatewaySettings {
    /// Returns the settings that may change while an instance runs.
    #[must_use]
    pub fn tuning(&self) -> Tuning {
        Tuning {
            timing: self.timing,
            retries: self.retries,
            limits: self.limits,
        }
    }

    /// Reads and checks the settings in a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not valid YAML of this shape, or
    /// holds values that contradict each other.
    pub fn load(path: &Path) -> Result<Self> {
        Self::parse(&read_text(path)?, path)
    }

    /// Parses and checks settings; `path` is named in errors.
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
            ("drain_ms", self.timing.drain_ms),
            ("settle_ms", self.timing.settle_ms),
            ("window_ms", self.retries.window_ms),
            ("memory_mb", self.limits.memory_mb),
            ("max_descriptors", self.limits.max_descriptors),
        ];
        for (field, value) in positive {
            checker.require(field, value > 0, "must be over 0")?;
        }
        let is_ratio_valid = (0.0..=10.0).contains(&self.retries.ratio);
        checker.require("ratio", is_ratio_valid, "must be from 0 to 10")?;
        let is_slack_valid = self.retries.slack >= 0.0 && self.retries.slack.is_finite();
        checker.require("slack", is_slack_valid, "must be 0 or more")
    }
}

impl GatewayTiming {
    /// Returns the longest graceful stop.
    #[must_use]
    pub fn stop(&self) -> Duration {
        Duration::from_millis(self.stop_ms)
    }

    /// Returns the time for which the configuration may go unread.
    #[must_use]
    pub fn freshness(&self) -> Duration {
        Duration::from_millis(self.freshness_ms)
    }
}
