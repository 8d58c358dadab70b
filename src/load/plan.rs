//! Plan of a load run, read from YAML and validated.

use std::sync::Arc;

use displaydoc::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Longest duration of a run, in milliseconds.
const MAX_DURATION_MS: u64 = 24 * 3_600_000;

/// Plan of a load run.
///
/// ```
/// use lavenderwind::load::LoadPlan;
///
/// let plan = LoadPlan::parse(
///     "
/// urls: [http://127.0.0.1:8080]
/// model: adviser
/// accounts:
///   - {name: workshop-1, key: secret}
/// phases:
///   - {duration_ms: 1000, requests_per_s: 20, prompt_tokens: 400, output_tokens: 50}
/// ",
/// )
/// .unwrap();
/// assert_eq!(plan.duration_ms(), 1000);
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Base URLs of the entry instances.
    #[serde(default)]
    pub urls: Vec<Arc<str>>,
    /// Model named in chat requests.
    #[serde(default)]
    pub model: Arc<str>,
    /// Calls of a plain service, sent instead of chat requests.
    #[serde(default)]
    pub plain: Option<PlainCall>,
    /// Seed for arrivals, lengths and texts.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Deadline for the first token or for a plain answer, in milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
    /// Deadline for the time between two consecutive tokens, in milliseconds.
    #[serde(default = "default_between_tokens_ms")]
    pub between_tokens_ms: u64,
    /// Timeout for a complete answer, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Maximum number of requests in flight; further requests are not sent but
    /// counted as held back.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: usize,
    /// Maximum number of requests in total; 0 for no limit.
    #[serde(default)]
    pub max_requests: u64,
    /// Whether answers are compared with those of the stand-in engine.
    #[serde(default)]
    pub verify: bool,
    /// Client accounts.
    pub accounts: Vec<LoadAccount>,
    /// Phases, run one after the other.
    pub phases: Vec<Phase>,
}

/// A client account that sends requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadAccount {
    /// Name in the report.
    pub name: Arc<str>,
    /// Secret key; empty for routes that require none.
    #[serde(default, skip_serializing)]
    pub key: Arc<str>,
    /// Share of the arrivals relative to the other accounts.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Indexes into `urls` of the entries to which the account's requests are
    /// sent; empty for all.
    #[serde(default)]
    pub entries: Vec<usize>,
    /// Number of leading prompt tokens shared by all requests of the account.
    #[serde(default)]
    pub shared_prefix_tokens: u32,
}

/// Part of a run with constant load parameters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Duration, in milliseconds.
    pub duration_ms: u64,
    /// Mean rate of arrivals over all accounts, in requests per second.
    pub requests_per_s: f64,
    /// Mean length of prompts, in tokens.
    pub prompt_tokens: u32,
    /// Mean length of answers, in tokens.
    pub output_tokens: u32,
    /// Largest relative deviation of lengths from their mean, from 0 to 1.
    #[serde(default)]
    pub spread: f64,
    /// Factors, by account name, by which the arrival rates of single accounts are
    /// multiplied; the rates of other accounts do not change.
    #[serde(default)]
    pub account_factors: IndexMap<Arc<str>, f64>,
}

/// Calls of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainCall {
    /// Path of the calls.
    pub path: Arc<str>,
    /// Method; calls other than `GET` carry an idempotency key and a body.
    pub method: Arc<str>,
}

/// Error in a load plan.
#[derive(Debug, Display)]
pub enum PlanError {
    /// cannot parse the load plan: {0}
    Parse(serde_yaml_ng::Error),
    /// {field}: {reason}
    Invalid {
        /// Invalid field.
        field: String,
        /// Requirement on the field.
        reason: &'static str,
    },
}

impl std::error::Error for PlanError {}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            urls: Vec::new(),
            model: "".into(),
            plain: None,
            seed: default_seed(),
            first_token_ms: default_first_token_ms(),
            between_tokens_ms: default_between_tokens_ms(),
            timeout_ms: default_timeout_ms(),
            max_in_flight: default_max_in_flight(),
            max_requests: 0,
            verify: false,
            accounts: Vec::new(),
            phases: Vec::new(),
        }
    }
}

impl LoadPlan {
    /// Parses and validates a plan.
    ///
    /// # Errors
    ///
    /// Fails if the text cannot be parsed or a field is invalid; the error
    /// names the position or the field.
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        let plan: Self = serde_yaml_ng::from_str(text).map_err(PlanError::Parse)?;
        plan.check()?;
        Ok(plan)
    }

    /// Returns the total duration of all phases, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        self.phases.iter().map(|phase| phase.duration_ms).sum()
    }

    /// Validates the plan.
    ///
    /// # Errors
    ///
    /// Fails if a field is invalid; the error names it.
    pub fn check(&self) -> Result<(), PlanError> {
        require(!self.urls.is_empty(), "urls", "must not be empty")?;
        require(!self.accounts.is_empty(), "accounts", "must not be empty")?;
        require(!self.phases.is_empty(), "phases", "must not be empty")?;
        let duration_ms = self.duration_ms();
        let in_range = (1..=MAX_DURATION_MS).contains(&duration_ms);
        require(in_range, "phases", "must last between 1 ms and a day")?;
        let has_model = self.plain.is_some() || !self.model.is_empty();
        require(has_model, "model", "must be set unless `plain` is")?;
        require(self.max_in_flight > 0, "max_in_flight", "must be positive")?;
        for account in &self.accounts {
            self.check_account(account)?;
        }
        for (index, phase) in self.phases.iter().enumerate() {
            self.check_phase(index, phase)?;
        }
        Ok(())
    }

    fn check_account(&self, account: &LoadAccount) -> Result<(), PlanError> {
        let field = |name: &str| format!("accounts.{}.{name}", account.name);
        let weight = account.weight;
        let valid = weight.is_finite() && weight > 0.0;
        require(valid, &field("weight"), "must be finite and positive")?;
        let in_range = account.entries.iter().all(|entry| *entry < self.urls.len());
        require(in_range, &field("entries"), "must be indexes of `urls`")
    }

    fn check_phase(&self, index: usize, phase: &Phase) -> Result<(), PlanError> {
        let field = |name: &str| format!("phases[{index}].{name}");
        let rate = phase.requests_per_s;
        let valid = rate.is_finite() && rate >= 0.0;
        require(
            valid,
            &field("requests_per_s"),
            "must be finite and not negative",
        )?;
        let spread = (0.0..=1.0).contains(&phase.spread);
        require(spread, &field("spread"), "must be between 0 and 1")?;
        let positive = phase.prompt_tokens > 0 && phase.output_tokens > 0;
        require(
            positive,
            &field("prompt_tokens"),
            "must be positive, as must output_tokens",
        )?;
        for (name, factor) in &phase.account_factors {
            let known = self.accounts.iter().any(|account| account.name == *name);
            let field = field("account_factors");
            require(known, &field, "must name accounts of the plan")?;
            let valid = factor.is_finite() && *factor >= 0.0;
            require(valid, &field, "must be finite and not negative")?;
        }
        Ok(())
    }
}

fn require(valid: bool, field: &str, reason: &'static str) -> Result<(), PlanError> {
    if valid {
        return Ok(());
    }
    Err(PlanError::Invalid {
        field: field.to_owned(),
        reason,
    })
}

const fn default_seed() -> u64 {
    1
}

const fn default_first_token_ms() -> u64 {
    570
}

const fn default_between_tokens_ms() -> u64 {
    44
}

const fn default_timeout_ms() -> u64 {
    30_000
}

const fn default_max_in_flight() -> usize {
    10_000
}

const fn default_weight() -> f64 {
    1.0
}
