//! Settings of an instance, read from YAML and validated.

mod checker;
mod gateway;
mod intake;
mod policy;

use std::{net::SocketAddr, path::Path, sync::Arc};

use displaydoc::Display;
use indexmap::IndexMap;
use serde::Deserialize;

use self::checker::Checker;
pub use self::gateway::{
    Duties, GatewaySettings, GatewayTiming, InstanceLimits, PlacementSettings, QuotaSettings,
    RetryLimits, Tuning,
};
pub use self::intake::IntakeSettings;
pub use self::policy::{Division, Policy, QueueOrder, RoleControl};

/// Maximum length of a lease, in milliseconds.
const MAX_LEASE_MS: u64 = 60_000;

/// Settings of one entry instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique among its peers.
    pub name: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Listen address for callers.
    pub entry_address: SocketAddr,
    /// Listen address for frames from other instances.
    pub peer_address: SocketAddr,
    /// Listen address for health, metrics and status.
    pub admin_address: SocketAddr,
    /// Peer addresses to connect to before the platform's list of live instances
    /// has been read.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Base URLs of the platform's interfaces.
    pub platform: PlatformSettings,
    /// Intervals and time limits.
    #[serde(default)]
    pub timing: Timing,
    /// Limits on callers, appends and weight fetches.
    #[serde(default)]
    pub limits: Limits,
    /// Limits on callers that do not go on.
    #[serde(default)]
    pub intake: IntakeSettings,
    /// Policies for routing, queueing and engine roles.
    #[serde(default)]
    pub policy: Policy,
    /// Log output.
    #[serde(default)]
    pub logging: Logging,
}

/// Base URLs of the platform's interfaces.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URL of the append-only log.
    pub log_url: Arc<str>,
    /// Base URL of the live list, the platform's list of running instances.
    pub live_url: Arc<str>,
    /// Base URL of the interface through which targets are listed and ordered.
    pub targets_url: Arc<str>,
    /// Base URL of the interface that receives usage reports.
    pub usage_url: Arc<str>,
}

/// Intervals and time limits, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Length of the lease on a duty, a task that one instance performs at a time.
    pub lease_ms: u64,
    /// Interval between lease renewals.
    pub renew_ms: u64,
    /// Maximum drift between the clocks of two instances during one lease.
    pub drift_ms: u64,
    /// Time that an instance waits, after lease and drift have passed without a
    /// renewal, before it claims a duty.
    pub grace_ms: u64,
    /// Maximum time for which an instance accepts requests with an API key without
    /// having confirmed that its configuration is the newest one.
    pub freshness_ms: u64,
    /// Interval between heartbeats to a peer.
    pub heartbeat_ms: u64,
    /// Interval between polls of the live list and of the target list.
    pub poll_ms: u64,
    /// Time for which a record to be appended waits for further records to join its
    /// batch.
    pub linger_ms: u64,
    /// Timeout for one request to the platform.
    pub platform_timeout_ms: u64,
    /// Length of a usage window, the interval for which usage is summed up and
    /// reported to the platform.
    pub usage_window_ms: u64,
    /// Interval between checkpoints of the ledger in the log.
    pub checkpoint_ms: u64,
    /// Time for which the ledger keeps idempotency keys, in order to recognize
    /// repeated requests.
    pub dedup_window_ms: u64,
    /// Maximum duration of a graceful shutdown.
    pub drain_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            renew_ms: 1_000,
            drift_ms: 100,
            grace_ms: 500,
            freshness_ms: 2_500,
            heartbeat_ms: 250,
            poll_ms: 500,
            linger_ms: 2,
            platform_timeout_ms: 1_000,
            usage_window_ms: 10_000,
            checkpoint_ms: 60_000,
            dedup_window_ms: 86_400_000,
            drain_ms: 30_000,
        }
    }
}

/// Limits on callers, appends and weight fetches.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time for receiving a complete request, in milliseconds.
    pub request_read_ms: u64,
    /// Maximum number of requests that wait for admission, over all accounts.
    pub max_queued: u32,
    /// Maximum number of append requests (batches of records) per second, over all
    /// live instances.
    pub log_appends_per_s: u32,
    /// Maximum number of models fetched from the weight store per minute.
    pub weight_fetches_per_min: u32,
    /// Memory limit of the instance, in megabytes.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub max_descriptors: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            request_read_ms: 10_000,
            max_queued: 10_000,
            log_appends_per_s: 300,
            weight_fetches_per_min: 30,
            memory_mb: 512,
            max_descriptors: 4_096,
        }
    }
}

/// Format of the log output.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Plain,
    /// One JSON object per event.
    Json,
}

/// Log output.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logging {
    /// Format of the output.
    pub format: LogFormat,
    /// Filter directives in the syntax of `tracing_subscriber::EnvFilter`. Empty
    /// for `info`.
    pub filter: Arc<str>,
}

/// Result of loading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Why settings could not be loaded.
#[derive(Debug, Display, derive_more::Error)]
pub enum Error {
    /// {path}: cannot read: {source}
    Read {
        /// Path of the settings file.
        path: String,
        /// I/O error.
        source: std::io::Error,
    },
    /// {path}: {source}
    Parse {
        /// Path of the settings file.
        path: String,
        /// Error of the YAML parser, with field, line and column.
        source: serde_yaml_ng::Error,
    },
    /// {path}:{line}: {field}: {reason}
    Invalid {
        /// Path of the settings file.
        path: String,
        /// Line of the field, from 1.
        line: usize,
        /// Name of the field.
        field: &'static str,
        /// Why the value is invalid.
        reason: String,
    },
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not valid YAML with the fields of
    /// [`Settings`], or contains values that are out of range or contradict each
    /// other.
    pub fn load(path: &Path) -> Result<Self> {
        Self::parse(&read_text(path)?, path)
    }

    /// Parses and validates settings. `path` is used only in error messages.
    ///
    /// # Errors
    ///
    /// Fails as [`Settings::load`] does.
    pub fn parse(text: &str, path: &Path) -> Result<Self> {
        let settings: Self = parse_yaml(text, path)?;
        let checker = Checker::new(text, path);
        settings.check(&checker)?;
        Ok(settings)
    }

    fn check(&self, checker: &Checker<'_>) -> Result<()> {
        checker.require("name", !self.name.is_empty(), "must not be empty")?;
        checker.require(
            "failure_domain",
            !self.failure_domain.is_empty(),
            "must not be empty",
        )?;
        self.check_addresses(checker)?;
        self.check_urls(checker)?;
        self.timing.check(checker)?;
        self.limits.check(checker)?;
        self.intake.check(checker)
    }

    fn check_addresses(&self, checker: &Checker<'_>) -> Result<()> {
        let mut seen = IndexMap::new();
        let addresses = [
            ("entry_address", self.entry_address),
            ("peer_address", self.peer_address),
            ("admin_address", self.admin_address),
        ];
        for (field, address) in addresses {
            if address.port() == 0 {
                continue;
            }
            let Some(other) = seen.insert(address, field) else {
                continue;
            };
            return Err(checker.error(field, format!("{address} is already used by {other}")));
        }
        Ok(())
    }

    fn check_urls(&self, checker: &Checker<'_>) -> Result<()> {
        let urls = [
            ("log_url", &self.platform.log_url),
            ("live_url", &self.platform.live_url),
            ("targets_url", &self.platform.targets_url),
            ("usage_url", &self.platform.usage_url),
        ];
        for (field, url) in urls {
            let parsed = reqwest::Url::parse(url)
                .map_err(|error| checker.error(field, format!("not a URL: {error}")))?;
            checker.require(field, parsed.scheme() == "http", "must start with http://")?;
        }
        Ok(())
    }
}

fn read_text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.display().to_string(),
        source,
    })
}

fn parse_yaml<T>(text: &str, path: &Path) -> Result<T>
where
    T: serde::de::DeserializeOwned,
{
    serde_yaml_ng::from_str(text).map_err(|source| Error::Parse {
        path: path.display().to_string(),
        source,
    })
}

impl Timing {
    fn check(&self, checker: &Checker<'_>) -> Result<()> {
        let is_lease_in_range = (100..=MAX_LEASE_MS).contains(&self.lease_ms);
        checker.require("lease_ms", is_lease_in_range, "must be from 100 to 60000")?;
        let is_renewal_in_time = self.renew_ms > 0 && self.renew_ms * 2 <= self.lease_ms;
        checker.require(
            "renew_ms",
            is_renewal_in_time,
            "must be at most half of lease_ms",
        )?;
        checker.require(
            "drift_ms",
            self.drift_ms < self.lease_ms,
            "must be under lease_ms",
        )?;
        let positive = [
            ("freshness_ms", self.freshness_ms),
            ("heartbeat_ms", self.heartbeat_ms),
            ("poll_ms", self.poll_ms),
            ("platform_timeout_ms", self.platform_timeout_ms),
            ("usage_window_ms", self.usage_window_ms),
            ("checkpoint_ms", self.checkpoint_ms),
            ("dedup_window_ms", self.dedup_window_ms),
            ("drain_ms", self.drain_ms),
        ];
        for (field, value) in positive {
            checker.require(field, value > 0, "must be over 0")?;
        }
        Ok(())
    }
}

impl Limits {
    fn check(&self, checker: &Checker<'_>) -> Result<()> {
        checker.require("max_body_bytes", self.max_body_bytes > 0, "must be over 0")?;
        checker.require(
            "request_read_ms",
            self.request_read_ms > 0,
            "must be over 0",
        )?;
        checker.require("max_queued", self.max_queued > 0, "must be over 0")?;
        checker.require(
            "log_appends_per_s",
            self.log_appends_per_s > 0,
            "must be over 0",
        )?;
        checker.require("memory_mb", self.memory_mb > 0, "must be over 0")?;
        checker.require(
            "max_descriptors",
            self.max_descriptors > 0,
            "must be over 0",
        )
    }
}
