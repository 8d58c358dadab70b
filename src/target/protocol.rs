//! Bodies of the engines' HTTP interface.
//!
//! `POST /generate` takes a [`GenerateRequest`] and answers server-sent events
//! whose data is a [`GenerateEvent`]; a stream without a `Done` event is cut.
//! `DELETE /generate/{request_id}/{attempt}` cancels. `GET /state` answers an
//! [`EngineState`]. `GET /cache-events?from=` answers a [`CacheEventList`].
//! `POST /orders` takes an [`EngineOrderRequest`]; 409 means that the fencing
//! number is old. `POST /kv/export` and `POST /kv/import` take a
//! [`KvTransfer`]. Plain services are called as callers call them, with
//! `x-request-id` and `idempotency-key` headers and no authorization.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Tokens in one block of KV cache.
pub const BLOCK_TOKENS: u32 = 16;

/// One attempt to generate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GenerateRequest {
    /// Identifier of the request; the same for each attempt.
    pub request_id: Arc<str>,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Model.
    pub model: Arc<str>,
    /// Adapter; empty for none.
    #[serde(default)]
    pub adapter: Arc<str>,
    /// Prompt text, with the chat template applied.
    pub prompt: Arc<str>,
    /// Text that earlier attempts generated and the caller has.
    #[serde(default)]
    pub resume_text: String,
    /// Number of tokens in `resume_text`.
    #[serde(default)]
    pub resume_tokens: u32,
    /// Most tokens to generate, including the resumed ones.
    pub max_tokens: u32,
    /// Priority; a higher number goes first.
    #[serde(default)]
    pub priority: i32,
    /// Hashes of the prompt's blocks, as a cache hint.
    #[serde(default)]
    pub prefix_blocks: Vec<u64>,
    /// Runs prefill only and keeps the KV cache for export.
    #[serde(default)]
    pub prefill_only: bool,
    /// How tokens are drawn.
    #[serde(default)]
    pub sampling: Sampling,
}

/// How tokens are drawn; what is `None` is left to the engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sampling {
    /// Temperature, from 0 to 2.
    pub temperature: Option<f64>,
    /// Probability mass of the tokens to draw from.
    pub top_p: Option<f64>,
    /// Penalty on tokens that occurred, from -2 to 2.
    pub presence_penalty: Option<f64>,
    /// Penalty on tokens by how often they occurred, from -2 to 2.
    pub frequency_penalty: Option<f64>,
    /// Seed of the random numbers.
    pub seed: Option<i64>,
}

/// Why a stream ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// One event of a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum GenerateEvent {
    /// The request was taken.
    Accepted {
        /// Request that the stream answers.
        request_id: Arc<str>,
        /// Attempt that the stream answers.
        attempt: u32,
        /// Boot identifier of the engine.
        boot: Arc<str>,
    },
    /// One token.
    Token {
        /// Index of the token in the answer, from 0; resumed tokens count.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// Request that the stream answers.
        request_id: Arc<str>,
        /// Attempt that the stream answers.
        attempt: u32,
        /// Why the stream ended.
        finish_reason: FinishReason,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
        /// Tokens generated, including the resumed ones.
        output_tokens: u32,
    },
    /// The engine could not finish.
    Failed {
        /// Reason for logs.
        reason: Arc<str>,
        /// Whether the engine refused the request without running any of it.
        not_run: bool,
    },
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Runs prefill and decode.
    #[default]
    Mixed,
    /// Runs prefill.
    Prefill,
    /// Runs decode.
    Decode,
}

/// A model that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadedModel {
    /// Model.
    pub model: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Adapters loaded beside it.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
}

/// An engine's state and load, reported with a lag.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    /// Boot identifier, new with each start.
    pub boot: Arc<str>,
    /// Age of the load figures, in milliseconds.
    pub report_age_ms: u64,
    /// Role.
    pub role: EngineRole,
    /// Whether a role change or a load is in progress.
    pub changing: bool,
    /// Models held.
    pub models: Vec<LoadedModel>,
    /// Requests that decode.
    pub running: u32,
    /// Requests that wait for prefill.
    pub waiting: u32,
    /// Prompt tokens that wait for prefill.
    pub waiting_prefill_tokens: u64,
    /// Blocks of KV cache in use.
    pub used_blocks: u32,
    /// Blocks of KV cache in all.
    pub total_blocks: u32,
    /// Prefill speed, in tokens a second.
    pub prefill_tokens_per_s: u32,
    /// Decode speed of one stream, in tokens a second.
    pub decode_tokens_per_s: u32,
    /// Highest fencing number seen; 0 if the engine does not check it.
    pub epoch: u64,
    /// Identifier of the last order taken; 0 for none since boot.
    pub last_order_id: u64,
}

/// What happened to a cached block.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheAction {
    /// The block was cached.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// Hash of the block, chained over the prefix.
    pub block: u64,
    /// What happened.
    pub action: CacheAction,
}

/// Answer to `GET /cache-events`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEventList {
    /// Boot identifier of the engine.
    pub boot: Arc<str>,
    /// Events in order of their sequence.
    pub events: Vec<CacheEvent>,
}

/// What an order asks of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum EngineAction {
    /// Loads a model or one of its adapters.
    LoadModel {
        /// Model.
        model: Arc<str>,
        /// Version of the weights.
        version: Arc<str>,
        /// Adapter; empty for none.
        adapter: Arc<str>,
    },
    /// Drops a model.
    UnloadModel {
        /// Model.
        model: Arc<str>,
    },
    /// Changes the role.
    SetRole {
        /// New role.
        role: EngineRole,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrderRequest {
    /// Identifier of the order: the offset of its intent.
    pub order_id: u64,
    /// Fencing number of the duty that orders.
    pub epoch: u64,
    /// What the engine is to do.
    pub action: EngineAction,
}

/// A move of KV cache from one engine to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KvTransfer {
    /// Request whose cache moves.
    pub request_id: Arc<str>,
    /// Hashes of the blocks.
    pub blocks: Vec<u64>,
    /// Address of the engine that exports, `IP:PORT`; set for an import.
    #[serde(default)]
    pub source_address: Arc<str>,
}
