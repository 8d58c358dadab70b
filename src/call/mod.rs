//! A caller's request, as used by routing, attempts and accounting.

mod caller;

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use hyper::{HeaderMap, Method, http::uri::PathAndQuery};
use tokio::time::Instant;

use crate::catalog::{Account, Route};

pub use caller::{Caller, Presence, Progress, Step};

/// A caller's request that was admitted to a route.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request identifier from the caller. If the caller sends a request again, the
    /// second request has another identifier.
    pub id: Arc<str>,
    /// Route that matched the request.
    pub route: Arc<Route>,
    /// Service that was chosen among the services of the route.
    pub service: Arc<str>,
    /// Client account that the caller's key belongs to; `None` if the route needs
    /// no key.
    pub account: Option<Arc<Account>>,
    /// HTTP method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path: PathAndQuery,
    /// End-to-end headers, forwarded to targets unchanged.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Description of the prompt; `None` if no language model generates the answer.
    pub prompt: Option<Prompt>,
    /// Identifier of the last stream event that the caller has received, if the
    /// caller resumes a stream.
    pub resume_after: Option<Arc<str>>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time at which the first byte of the request was processed.
    pub received_at: Instant,
    /// Time by which the answer must be complete: the earlier of the deadlines set
    /// by the caller and by the route.
    pub deadline: Instant,
    /// Fingerprints by which the call is suspected to crash targets, once they are needed.
    pub fingerprints: OnceLock<Vec<u64>>,
    /// The caller that waits for the answer.
    pub caller: Caller,
}

impl Call {
    /// Returns the time left until the deadline.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the name of the client account, or `-` if there is none.
    #[must_use]
    pub fn account_name(&self) -> &str {
        self.account.as_ref().map_or("-", |account| &account.name)
    }
}

/// Description of a prompt, taken from the caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Name of the requested model.
    pub model: Arc<str>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// Consecutive parts of the prompt; the last one is specific to this request
    /// or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns all parts except the last one, in order. Other requests may begin with
    /// the same parts.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the parts whose hash selects the prompt's home. The home is the engine
    /// to which the prompt is preferably sent, because that engine should have the
    /// parts cached.
    ///
    /// If the shared parts have at least half of the tokens, only the shared parts are
    /// hashed, so that prompts with the same shared parts have the same home.
    /// Otherwise all parts are hashed, so that prompts that also have the same last
    /// part, such as those of one session, have the same home. Either way, the larger
    /// group of tokens, shared or not, stays cached at the home, because it takes
    /// longer to prefill than the smaller one.
    #[must_use]
    pub fn cache_affinity_parts(&self) -> &[PromptPart] {
        match self.shared_tokens() >= self.unshared_tokens() {
            true => self.shared_parts(),
            false => &self.parts,
        }
    }

    /// Returns the number of tokens in the parts that other requests may share.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Returns the number of tokens that are specific to this request or its
    /// session.
    #[must_use]
    pub fn unshared_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }
}

/// A part of a prompt. Prompts that begin with the same parts can share the KV
/// cache of the common parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifier of the part's content.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}
