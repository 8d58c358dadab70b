//! The types of a service document.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One service, as its team publishes it in YAML.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the service.
    pub service: Arc<str>,
    /// Team that owns the document.
    pub team: Arc<str>,
    /// Routes by which callers reach the service.
    pub routes: Vec<Route>,
    /// Models that the service needs; empty for a plain service.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Client accounts that may use the service.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Kinds of target that the service runs on.
    pub target_kinds: Vec<TargetKind>,
    /// Bounds on the number and cost of targets.
    #[serde(default)]
    pub spending: Spending,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Anyone; requests run for the account named `open`.
    Open,
    /// Holders of a key of one of the service's accounts.
    Keyed,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The request may be retried and hedged.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The request runs at most once, and the target deduplicates it by its
    /// idempotency key, so that it may be sent while the log is down.
    OnceByTarget,
}

/// One path of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, such as `/v1/chat/completions` or `/orders`.
    pub path: Arc<str>,
    /// Methods that the route takes; empty for all.
    #[serde(default)]
    pub methods: Vec<Arc<str>>,
    /// Who may use the route.
    pub access: Access,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Kind of target that serves the route.
    pub target_kind: Arc<str>,
    /// Time to the first token or response byte, in milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
    /// Time between two tokens, in milliseconds.
    #[serde(default = "default_between_tokens_ms")]
    pub between_tokens_ms: u64,
    /// Time for the whole answer, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Largest request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
}

/// A model, with the version and adapters that the service needs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers give.
    pub name: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Adapters that callers may name as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
}

/// A client account with its share, limits and keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account, unique within the service.
    pub name: Arc<str>,
    /// Share of the service relative to the other accounts.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Requests a second over all instances; 0 for no limit.
    #[serde(default)]
    pub max_requests_per_s: u32,
    /// Tokens a second over all instances; 0 for no limit.
    #[serde(default)]
    pub max_tokens_per_s: u32,
    /// Requests in progress over all instances; 0 for no limit.
    #[serde(default)]
    pub max_concurrent: u32,
    /// Keys of the account.
    #[serde(default)]
    pub keys: Vec<Key>,
}

/// A key, known only by its digest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Identifier, unique within the service; shown in place of the secret.
    pub id: Arc<str>,
    /// SHA-256 of the secret, in lower-case hexadecimal.
    pub sha256: Arc<str>,
    /// Whether the key is revoked; a revoked key never becomes valid again.
    #[serde(default)]
    pub revoked: bool,
}

/// What the targets of a kind run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KindRole {
    /// A language-model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// A kind of target, as the platform offers it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetKind {
    /// Name of the kind at the platform.
    pub name: Arc<str>,
    /// What its targets run.
    pub role: KindRole,
    /// Whether its targets refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the platform may reclaim its targets on short notice.
    #[serde(default)]
    pub reclaimable: bool,
    /// Cost of one target, in thousandths of the currency unit an hour.
    #[serde(default)]
    pub cost_milli_per_hour: u64,
}

/// Bounds on the targets that a service may order.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Spending {
    /// Whether the system orders targets; otherwise it uses those it finds.
    #[serde(default)]
    pub managed: bool,
    /// Fewest targets over all failure domains.
    #[serde(default)]
    pub min_targets: u32,
    /// Most targets over all failure domains; 0 for no bound.
    #[serde(default)]
    pub max_targets: u32,
    /// Most cost, in thousandths of the currency unit an hour; 0 for no bound.
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
