//! Outstanding placements of all instances.

use std::{net::SocketAddr, sync::Arc};

use indexmap::IndexMap;

use crate::call::PromptPart;

/// Time after its deadline for which a placement is kept if nothing is heard of it, in
/// milliseconds. Datagrams that report its end may be lost.
const EXPIRY_MARGIN_MS: u64 = 1_000;

/// Maximum number of placements that are kept. Above it, another one is dropped for each.
const MAX_PLACEMENTS: usize = 65_536;

/// Identifies a placement.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PlacementKey {
    /// Address of the instance that received the request.
    pub instance: SocketAddr,
    /// Number that this instance gave the placement.
    pub number: u64,
}

/// A prompt that an engine was chosen for and whose answer is not complete.
#[derive(Clone, Debug)]
pub struct OutstandingPlacement {
    /// Engine that prefills the prompt.
    pub engine: Arc<str>,
    /// Engine that decodes the answer; `None` if it is `engine` or not chosen yet.
    pub decode_engine: Option<Arc<str>>,
    /// Whether `engine` also decodes the answer.
    pub is_local_prefill: bool,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt that `engine` has to prefill.
    pub uncached_tokens: u32,
    /// Tokens that were queued for prefill on `engine` at the placement.
    pub tokens_ahead: f64,
    /// Requests in flight on `engine` at the placement.
    pub requests_ahead: f64,
    /// Time left until the deadline of the request, in milliseconds.
    pub left_ms: u64,
}

/// Work of outstanding placements on one engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Backlog {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens that are not prefilled yet.
    pub queued_tokens: u64,
}

/// A placement whose prompt was just prefilled.
#[derive(Clone, Debug)]
pub struct PrefilledPlacement {
    /// Engine that has prefilled the prompt.
    pub engine: Arc<str>,
    /// Engine that decodes the answer, if it is another one and known.
    pub decode_engine: Option<Arc<str>>,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// Whether the engine also decodes the answer.
    pub is_local_prefill: bool,
    /// Tokens that the engine prefilled since the placement, as far as is known.
    pub tokens: f64,
    /// Requests that were in flight on the engine at the placement.
    pub requests_ahead: f64,
}

#[derive(Debug)]
struct Entry {
    placement: OutstandingPlacement,
    is_prefilled: bool,
    expires_at_ms: u64,
}

/// Outstanding placements of all instances, and the backlog of each engine.
///
/// ```
/// use lavenderwind::policy::dispatch::{Ledger, OutstandingPlacement, PlacementKey};
///
/// let key = PlacementKey { instance: "127.0.0.1:7000".parse().unwrap(), number: 1 };
/// let mut ledger = Ledger::default();
/// let placement = OutstandingPlacement {
///     engine: "e1".into(),
///     decode_engine: None,
///     is_local_prefill: true,
///     parts: Vec::new(),
///     uncached_tokens: 500,
///     tokens_ahead: 0.0,
///     requests_ahead: 0.0,
///     left_ms: 2_000,
/// };
/// ledger.insert(key, placement, 0);
/// assert_eq!(ledger.backlog("e1").queued_tokens, 500);
/// ledger.record_prefilled(key);
/// assert_eq!(ledger.backlog("e1").queued_tokens, 0);
/// assert_eq!(ledger.backlog("e1").requests, 1);
/// ledger.remove(key);
/// assert_eq!(ledger.backlog("e1").requests, 0);
/// ```
#[derive(Debug, Default)]
pub struct Ledger {
    entries: IndexMap<PlacementKey, Entry>,
    engines: IndexMap<Arc<str>, Backlog>,
    next_expiry_ms: u64,
}

impl Ledger {
    /// Adds a placement, in place of an earlier one with the same key.
    pub fn insert(&mut self, key: PlacementKey, placement: OutstandingPlacement, now_ms: u64) {
        self.remove(key);
        if self.entries.len() >= MAX_PLACEMENTS
            && let Some((&other, _)) = self.entries.first()
        {
            self.remove(other);
        }
        let entry = Entry {
            expires_at_ms: now_ms
                .saturating_add(placement.left_ms)
                .saturating_add(EXPIRY_MARGIN_MS),
            is_prefilled: false,
            placement,
        };
        self.count(&entry, true);
        self.entries.insert(key, entry);
    }

    /// Records that the prompt of a placement is prefilled; `None` if the placement is not
    /// known or was prefilled before.
    pub fn record_prefilled(&mut self, key: PlacementKey) -> Option<PrefilledPlacement> {
        let mut entry = self.entries.swap_remove(&key)?;
        let was_prefilled = entry.is_prefilled;
        self.count(&entry, false);
        entry.is_prefilled = true;
        self.count(&entry, true);
        let placement = &entry.placement;
        let prefilled = PrefilledPlacement {
            engine: placement.engine.clone(),
            decode_engine: placement.decode_engine.clone(),
            parts: placement.parts.clone(),
            is_local_prefill: placement.is_local_prefill,
            tokens: placement.tokens_ahead + f64::from(placement.uncached_tokens),
            requests_ahead: placement.requests_ahead,
        };
        self.entries.insert(key, entry);
        (!was_prefilled).then_some(prefilled)
    }

    /// Removes a placement that has ended.
    pub fn remove(&mut self, key: PlacementKey) {
        if let Some(entry) = self.entries.swap_remove(&key) {
            self.count(&entry, false);
        }
    }

    /// Returns the backlog of an engine.
    #[must_use]
    pub fn backlog(&self, engine: &str) -> Backlog {
        self.engines.get(engine).copied().unwrap_or_default()
    }

    /// Returns the number of outstanding placements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no outstanding placements.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes the placements whose deadline has passed, at most once a
    /// second, and the engines for which `keep` returns false.
    pub fn expire<F>(&mut self, now_ms: u64, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        if now_ms < self.next_expiry_ms {
            return;
        }
        self.next_expiry_ms = now_ms + EXPIRY_MARGIN_MS;
        let mut ended = Vec::new();
        for (key, entry) in &self.entries {
            if entry.expires_at_ms <= now_ms || !keep(&entry.placement.engine) {
                ended.push(*key);
            }
        }
        for key in ended {
            self.remove(key);
        }
        self.engines
            .retain(|_, backlog| *backlog != Backlog::default());
    }

    /// Adds an entry to the backlogs of its engines, or subtracts it.
    fn count(&mut self, entry: &Entry, adds: bool) {
        let placement = &entry.placement;
        let decodes_elsewhere = !placement.is_local_prefill;
        if !(entry.is_prefilled && decodes_elsewhere) {
            let tokens = match entry.is_prefilled {
                true => 0,
                false => u64::from(placement.uncached_tokens),
            };
            self.change(&placement.engine, tokens, adds);
        }
        if decodes_elsewhere && let Some(engine) = &placement.decode_engine {
            self.change(engine, 0, adds);
        }
    }

    fn change(&mut self, engine: &Arc<str>, tokens: u64, adds: bool) {
        let backlog = self.engines.entry(engine.clone()).or_default();
        match adds {
            true => {
                backlog.requests += 1;
                backlog.queued_tokens += tokens;
            }
            false => {
                backlog.requests = backlog.requests.saturating_sub(1);
                backlog.queued_tokens = backlog.queued_tokens.saturating_sub(tokens);
            }
        }
    }
}
