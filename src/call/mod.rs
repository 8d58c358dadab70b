//! A caller's request as routing, attempts and accounting see it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method, http::uri::PathAndQuery};
use tokio::time::Instant;

use crate::catalog::{Account, Route};

/// A caller's request that was admitted to a route.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier that the caller gave this attempt of its own.
    pub id: Arc<str>,
    /// Route that the request takes.
    pub route: Arc<Route>,
    /// Service that the route chose for it.
    pub service: Arc<str>,
    /// Client account that holds the caller's key; `None` on open routes.
    pub account: Option<Arc<Account>>,
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path: PathAndQuery,
    /// End-to-end headers that targets get unchanged.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Prompt, if a model generates the answer.
    pub prompt: Option<Prompt>,
    /// Last event of a stream that the caller already has.
    pub resume_after: Option<Arc<str>>,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// When the first byte of the request was handled.
    pub received_at: Instant,
    /// When the caller or the route gives the request up.
    pub answer_by: Instant,
}

impl Call {
    /// Returns the time that is left until the request is given up.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.answer_by.saturating_duration_since(now)
    }

    /// Returns the name of the client account, or `-` on open routes.
    #[must_use]
    pub fn account_name(&self) -> &str {
        self.account.as_ref().map_or("-", |account| &account.name)
    }
}

/// A prompt as its caller describes it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Model that is asked for.
    pub model: Arc<str>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_output_tokens: u32,
    /// Parts in order; the last one belongs to this request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the parts that other requests may share, in order.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the parts that decide where the prompt has its home: those that
    /// would cost most to read again.
    #[must_use]
    pub fn home_parts(&self) -> &[PromptPart] {
        match self.shared_tokens() >= self.own_tokens() {
            true => self.shared_parts(),
            false => &self.parts,
        }
    }

    /// Returns the tokens of the parts that other requests may share.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Returns the tokens that no other request shares.
    #[must_use]
    pub fn own_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }
}

/// A part of a prompt that other prompts may begin with, too.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifier of the content.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}
