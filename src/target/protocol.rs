//! Request and response bodies of the engines' HTTP interface.
//!
//! - `POST /generate` takes a [`GenerateRequest`] and responds with server-sent
//!   events, each with a [`GenerateEvent`] as its data. A stream that ends
//!   without a `Done` or `Failed` event is truncated.
//! - `DELETE /generate/{request_id}/{attempt}` cancels an attempt.
//! - `GET /state` returns an [`EngineState`].
//! - `GET /cache-events?from=` returns a [`CacheEventList`].
//! - `POST /orders` takes an [`EngineOrderRequest`]; status 409 means that the
//!   fencing token is outdated.
//! - `POST /kv/export` and `POST /kv/import` take and return a [`KvTransfer`].
//!
//! Requests to plain services are forwarded as callers send them, with
//! `x-request-id` and `idempotency-key` headers and without credentials.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Number of tokens in one block of KV cache.
pub const BLOCK_TOKENS: u32 = 16;

/// Body of `POST /generate`: one attempt to generate a response.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GenerateRequest {
    /// Identifier of the request, the same for every attempt.
    pub request_id: Arc<str>,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Name of the model.
    pub model: Arc<str>,
    /// Name of the adapter (a small set of weights that modifies the model); empty
    /// for none.
    #[serde(default)]
    pub adapter: Arc<str>,
    /// Prompt text, with the chat template applied.
    pub prompt: Arc<str>,
    /// Text that earlier attempts generated and the caller has already received;
    /// generation continues after it.
    #[serde(default)]
    pub resume_text: String,
    /// Number of tokens in `resume_text`.
    #[serde(default)]
    pub resume_tokens: u32,
    /// Maximum number of tokens to generate, including those in `resume_text`.
    pub max_tokens: u32,
    /// Scheduling priority; higher values are served first.
    #[serde(default)]
    pub priority: i32,
    /// Hashes of the prompt's blocks, as a hint for the prefix cache.
    #[serde(default)]
    pub prefix_blocks: Vec<u64>,
    /// Whether to run only prefill and keep the KV cache for export.
    #[serde(default)]
    pub prefill_only: bool,
    /// Sampling parameters.
    #[serde(default)]
    pub sampling: Sampling,
}

/// Sampling parameters. The engine uses its own defaults for those that are `None`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sampling {
    /// Sampling temperature, from 0 to 2.
    pub temperature: Option<f64>,
    /// Cumulative probability of the tokens to sample from (nucleus sampling).
    pub top_p: Option<f64>,
    /// Penalty on tokens that have already occurred, from -2 to 2.
    pub presence_penalty: Option<f64>,
    /// Penalty on tokens in proportion to how often they have occurred, from -2
    /// to 2.
    pub frequency_penalty: Option<f64>,
    /// Seed of the sampler.
    pub seed: Option<i64>,
}

/// Why generation ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model generated an end-of-sequence token.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// An event of the stream that `POST /generate` returns.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum GenerateEvent {
    /// The engine accepted the request.
    Accepted {
        /// Identifier of the request that the stream belongs to.
        request_id: Arc<str>,
        /// Number of the attempt that the stream belongs to.
        attempt: u32,
        /// Boot identifier of the engine, which changes with every start.
        boot: Arc<str>,
    },
    /// One generated token.
    Token {
        /// Index of the token in the response, from 0; the tokens of
        /// `resume_text` are counted.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The response is complete.
    Done {
        /// Identifier of the request that the stream belongs to.
        request_id: Arc<str>,
        /// Number of the attempt that the stream belongs to.
        attempt: u32,
        /// Why generation ended.
        finish_reason: FinishReason,
        /// Number of tokens in the prompt.
        prompt_tokens: u32,
        /// Number of prompt tokens found in the prefix cache.
        cached_tokens: u32,
        /// Number of tokens generated, including those of `resume_text`.
        output_tokens: u32,
    },
    /// The engine could not complete the response.
    Failed {
        /// Cause of the failure, for logs.
        reason: Arc<str>,
        /// Whether the engine rejected the request before executing any of it.
        not_run: bool,
    },
}

/// Phases of inference that an engine runs: prefill, which processes the prompt,
/// and decode, which generates the tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Runs prefill and decode.
    #[default]
    Mixed,
    /// Runs prefill only.
    Prefill,
    /// Runs decode only.
    Decode,
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Adapters of this model that are loaded.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
}

/// State and load of an engine.
///
/// The load figures are already [`report_age_ms`](Self::report_age_ms) old when
/// the engine sends them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    /// Boot identifier, which changes with every start of the engine.
    pub boot: Arc<str>,
    /// Age of the load figures, in milliseconds.
    pub report_age_ms: u64,
    /// Current role.
    pub role: EngineRole,
    /// Whether a role change or the loading of a model is in progress.
    pub changing: bool,
    /// Loaded models.
    pub models: Vec<LoadedModel>,
    /// Number of requests in decode.
    pub running: u32,
    /// Number of requests that wait for prefill.
    pub waiting: u32,
    /// Number of prompt tokens that wait for prefill.
    pub waiting_prefill_tokens: u64,
    /// Number of KV cache blocks in use.
    pub used_blocks: u32,
    /// Total number of KV cache blocks.
    pub total_blocks: u32,
    /// Prefill speed, in tokens per second.
    pub prefill_tokens_per_s: u32,
    /// Decode speed of one stream, in tokens per second.
    pub decode_tokens_per_s: u32,
    /// Highest fencing token that the engine has received; 0 if it does not
    /// check fencing tokens.
    pub epoch: u64,
    /// Identifier of the last accepted order; 0 if there was none since boot.
    pub last_order_id: u64,
}

/// Kind of a prefix cache change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheAction {
    /// The block was added to the cache.
    Stored,
    /// The block was evicted from the cache.
    Evicted,
}

/// A change of one block in an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// Hash of the block and all preceding blocks.
    pub block: u64,
    /// Kind of the change.
    pub action: CacheAction,
}

/// Response to `GET /cache-events`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEventList {
    /// Boot identifier of the engine.
    pub boot: Arc<str>,
    /// Events in ascending order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}

/// Action that an order requests of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum EngineAction {
    /// Loads a model or one of its adapters.
    LoadModel {
        /// Name of the model.
        model: Arc<str>,
        /// Version of the weights.
        version: Arc<str>,
        /// Name of the adapter; empty to load only the model.
        adapter: Arc<str>,
    },
    /// Unloads a model.
    UnloadModel {
        /// Name of the model.
        model: Arc<str>,
    },
    /// Changes the role of the engine.
    SetRole {
        /// New role.
        role: EngineRole,
    },
}

/// Body of `POST /orders`: an order to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrderRequest {
    /// Identifier of the order: the log offset of the order's intent, a record that
    /// is written before the order is sent.
    pub order_id: u64,
    /// Fencing token of the sender. An engine that checks fencing tokens refuses the
    /// order if the engine has received a higher token, because the sender then no
    /// longer holds the duty.
    pub epoch: u64,
    /// Action to perform.
    pub action: EngineAction,
}

/// A transfer of KV cache from one engine to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KvTransfer {
    /// Identifier of the request whose KV cache is transferred.
    pub request_id: Arc<str>,
    /// Hashes of the blocks.
    pub blocks: Vec<u64>,
    /// Address of the exporting engine, `IP:PORT`; only set for an import.
    #[serde(default)]
    pub source_address: Arc<str>,
}
