//! Requests to route, choices and errors.

use std::sync::Arc;

use displaydoc::Display;

use crate::{policy::load::RequestDemand, target::protocol::BLOCK_TOKENS};

/// A request to route.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    pub(super) kind: &'a str,
    pub(super) model: &'a str,
    pub(super) version: &'a str,
    pub(super) adapter: &'a str,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    pub(super) prefix_blocks: &'a [u64],
    pub(super) home_key: u64,
    pub(super) excluded: &'a [Arc<str>],
    /// Time left until the first token is due.
    pub(super) max_first_token_ms: f64,
    /// Longest acceptable time between two tokens.
    pub(super) max_between_tokens_ms: f64,
}

impl<'a> RouteRequest<'a> {
    /// Creates a request to any target of a kind, without a model and without
    /// deadlines.
    #[must_use]
    pub fn new(kind: &'a str) -> Self {
        Self {
            kind,
            model: "",
            version: "",
            adapter: "",
            prompt_tokens: 0,
            output_tokens: 0,
            prefix_blocks: &[],
            home_key: 0,
            excluded: &[],
            max_first_token_ms: f64::INFINITY,
            max_between_tokens_ms: f64::INFINITY,
        }
    }

    /// Sets the model and the version of its weights.
    #[must_use]
    pub fn model(mut self, model: &'a str, version: &'a str) -> Self {
        self.model = model;
        self.version = version;
        self
    }

    /// Sets the adapter; empty for none.
    #[must_use]
    pub fn adapter(mut self, adapter: &'a str) -> Self {
        self.adapter = adapter;
        self
    }

    /// Sets the number of prompt tokens and the expected number of output tokens.
    #[must_use]
    pub fn tokens(mut self, prompt_tokens: u32, output_tokens: u32) -> Self {
        self.prompt_tokens = prompt_tokens;
        self.output_tokens = output_tokens;
        self
    }

    /// Sets the chained hashes of the prompt's KV cache blocks: the hash of a block
    /// also covers all blocks before it.
    #[must_use]
    pub fn prefix_blocks(mut self, blocks: &'a [u64]) -> Self {
        self.prefix_blocks = blocks;
        self
    }

    /// Sets the key from which rendezvous hashing selects the request's home; 0 for no
    /// home.
    #[must_use]
    pub fn home_key(mut self, key: u64) -> Self {
        self.home_key = key;
        self
    }

    /// Sets the time left until the first token is due and the longest acceptable time
    /// between two tokens, both in milliseconds. Targets predicted to exceed either
    /// are not chosen.
    #[must_use]
    pub fn deadlines(mut self, first_token_ms: u64, between_tokens_ms: u64) -> Self {
        self.max_first_token_ms = first_token_ms as f64;
        self.max_between_tokens_ms = between_tokens_ms as f64;
        self
    }

    /// Sets the targets that must not be chosen, such as those already tried.
    #[must_use]
    pub fn excluded(mut self, targets: &'a [Arc<str>]) -> Self {
        self.excluded = targets;
        self
    }

    /// Returns the number of KV cache blocks for the prompt and the answer.
    pub(super) fn blocks(&self) -> u32 {
        (self.prompt_tokens + self.output_tokens).div_ceil(BLOCK_TOKENS)
    }
}

/// Error of a request for which no target was chosen.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RouteError {
    /// no target holds the model, version and adapter
    ModelNotLoaded,
    /// every target that could serve the request is leaving, suspect or changing
    Unavailable,
    /// every target that could serve the request is out of room or too late
    NoRoom,
}

impl std::error::Error for RouteError {}

/// A target to send a request to.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Target that decodes the request, and also prefills it if `prefill` is
    /// `None`.
    pub target: Arc<str>,
    /// Resources of `target` that the request needs.
    pub demand: RequestDemand,
    /// Separate target that runs the prefill.
    pub prefill: Option<PrefillChoice>,
    /// Number of prompt tokens that the target that runs the prefill is expected to
    /// have cached.
    pub cached_tokens: u32,
    /// Predicted time to first token, in milliseconds.
    pub first_token_ms: f64,
}

/// A target that runs only the prefill of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillChoice {
    /// Target that runs the prefill.
    pub target: Arc<str>,
    /// Resources of `target` that the prefill needs.
    pub demand: RequestDemand,
}
