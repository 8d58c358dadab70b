//! Types of a service document.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Description of one service, published in YAML by the team that owns it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the service.
    pub service: Arc<str>,
    /// Team that owns the document.
    pub team: Arc<str>,
    /// Routes through which callers reach the service.
    pub routes: Vec<Route>,
    /// Models that the service needs; empty if the service runs no engines.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Client accounts that may use the service.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Target kinds that the service runs on.
    pub target_kinds: Vec<TargetKind>,
    /// Limits on the number and cost of targets.
    #[serde(default)]
    pub spending: Spending,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Anyone; requests are attributed to the account named `open`.
    Open,
    /// Callers with a key of one of the service's accounts.
    Keyed,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The request may be retried and hedged.
    Idempotent,
    /// The request is executed at most once.
    Once,
    /// The request is executed at most once, and the target deduplicates it by
    /// its idempotency key, so that it may be sent while the log is unavailable.
    OnceByTarget,
}

/// A route of a service: one path prefix and the rules for its requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, such as `/v1/chat/completions` or `/orders`.
    pub path: Arc<str>,
    /// HTTP methods that the route accepts; empty for all.
    #[serde(default)]
    pub methods: Vec<Arc<str>>,
    /// Who may use the route.
    pub access: Access,
    /// Whether requests may be executed more than once.
    pub repeat: Repeat,
    /// Name of the target kind that serves the route.
    pub target_kind: Arc<str>,
    /// Objective for the time to the first token or response byte, in
    /// milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
    /// Objective for the time between two tokens, in milliseconds.
    #[serde(default = "default_between_tokens_ms")]
    pub between_tokens_ms: u64,
    /// Deadline for the complete response, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
}

/// A model, with the version and adapters that the service needs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name by which callers request the model.
    pub name: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Adapters that callers may request as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
}

/// A client account with its weight, limits and keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account, unique within the service.
    pub name: Arc<str>,
    /// Weight in the fair division of the service among its accounts.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum requests per second, over all instances; 0 for no limit.
    #[serde(default)]
    pub max_requests_per_s: u32,
    /// Maximum tokens per second, over all instances; 0 for no limit.
    #[serde(default)]
    pub max_tokens_per_s: u32,
    /// Maximum number of concurrent requests, over all instances; 0 for no limit.
    #[serde(default)]
    pub max_concurrent: u32,
    /// Keys of the account.
    #[serde(default)]
    pub keys: Vec<Key>,
}

/// An API key; the document contains only the digest of its secret.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Identifier, unique within the service; displayed instead of the secret.
    pub id: Arc<str>,
    /// SHA-256 digest of the secret, in lower-case hexadecimal.
    pub sha256: Arc<str>,
    /// Whether the key is revoked; a revoked key never becomes valid again.
    #[serde(default)]
    pub revoked: bool,
}

/// Software that the targets of a kind run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KindRole {
    /// A language-model engine.
    Engine,
    /// A service that runs no language models.
    Plain,
}

/// A kind of target that the platform offers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetKind {
    /// Name by which the platform knows the kind.
    pub name: Arc<str>,
    /// Software that targets of this kind run.
    pub role: KindRole,
    /// Whether targets of this kind refuse orders with an outdated fencing
    /// token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the platform may reclaim targets of this kind at short notice.
    #[serde(default)]
    pub reclaimable: bool,
    /// Cost of one target, in thousandths of the currency unit per hour.
    #[serde(default)]
    pub cost_milli_per_hour: u64,
}

/// Limits on the number and cost of a service's targets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Spending {
    /// Whether the instances order targets; otherwise they only use the targets
    /// on the platform's list.
    #[serde(default)]
    pub managed: bool,
    /// Minimum number of targets, over all failure domains.
    #[serde(default)]
    pub min_targets: u32,
    /// Maximum number of targets, over all failure domains; 0 for no limit.
    #[serde(default)]
    pub max_targets: u32,
    /// Maximum cost of all targets, in thousandths of the currency unit per hour;
    /// 0 for no limit.
    #[serde(default)]
    pub max_cost_milli_per_hour: u64,
}

const fn default_first_token_ms() -> u64 {
    2_000
}

const fn default_between_tokens_ms() -> u64 {
    200
}

const fn default_deadline_ms() -> u64 {
    60_000
}

const fn default_max_body_bytes() -> u64 {
    1 << 20
}

const fn default_weight() -> u32 {
    1
}
