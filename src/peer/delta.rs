//! Delta encoding of target loads and served tokens in heartbeats.
//!
//! On each connection, every name of a target or account is defined once and is then
//! referred to by an index. A heartbeat contains only the loads that have changed.

use std::sync::Arc;

use displaydoc::Display;
use indexmap::{IndexMap, IndexSet};
use prost::Message;

use super::frames::{Heartbeat, LoadChange, NameDefinition, ServedTokens};

/// Maximum number of names defined on one connection.
pub const MAX_NAMES: usize = 1 << 16;

/// Size of the tag and length of a repeated protobuf field, in bytes.
const FIELD_HEADER_BYTES: usize = 2;

/// Load in flight on a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Number of requests in flight.
    pub requests: u32,
    /// Tokens of these requests that are not processed yet.
    pub tokens: u64,
    /// KV-cache blocks that these requests occupy.
    pub blocks: u64,
}

impl TargetLoad {
    /// Adds another load, saturating at the maximum.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.blocks = self.blocks.saturating_add(other.blocks);
    }

    /// Subtracts another load, saturating at zero.
    pub fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.blocks = self.blocks.saturating_sub(other.blocks);
    }

    /// Returns the size of the change between two loads, by which changes are ordered.
    fn distance(&self, other: &Self) -> u64 {
        let requests = u64::from(self.requests.abs_diff(other.requests));
        let tokens = self.tokens.abs_diff(other.tokens);
        let blocks = self.blocks.abs_diff(other.blocks);
        requests.saturating_add(tokens).saturating_add(blocks)
    }
}

/// An amount that peers reported under a name: tokens served for a client account,
/// or work of a service's engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAmount {
    /// Name given to [`PeerHandle::report_amount`](super::PeerHandle::report_amount),
    /// such as `SERVICE/ACCOUNT`.
    pub name: Arc<str>,
    /// Amount added since the previous report, in the unit of the reporting instances.
    pub amount: u64,
}

/// Reasons why the changes in a heartbeat cannot be applied.
#[derive(Debug, Display, derive_more::Error)]
pub enum Error {
    /// name {index} was not defined on this connection
    UnknownName {
        /// Index that the heartbeat refers to.
        index: u32,
    },
    /// more than {max_names} names were defined on this connection
    TooManyNames {
        /// Limit of names.
        max_names: usize,
    },
}

/// Encodes changes for the sending side of one connection.
#[derive(Debug, Default)]
pub struct DeltaEncoder {
    /// Names defined on this connection, in the order of their indices.
    names: IndexSet<Arc<str>>,
    /// Loads as last sent, by target.
    sent_loads: IndexMap<Arc<str>, TargetLoad>,
    /// Amounts that are not reported yet, by name.
    pending_amounts: IndexMap<Arc<str>, u64>,
    /// Bytes by which earlier heartbeats exceeded their limit, to be saved by later
    /// heartbeats.
    excess_bytes: i64,
}

/// Number of bytes that may still be added to a heartbeat.
///
/// The first item may exceed the budget, as otherwise a name longer than the budget
/// would never be sent. Later heartbeats are smaller by the excess.
struct ByteBudget {
    bytes: i64,
    unused: bool,
}

impl ByteBudget {
    fn new(bytes: i64) -> Self {
        Self {
            bytes,
            unused: bytes > 0,
        }
    }

    fn try_consume(&mut self, bytes: usize) -> bool {
        let remaining = self.bytes - bytes as i64;
        if remaining < 0 && !self.unused {
            return false;
        }
        self.unused = false;
        self.bytes = remaining;
        true
    }
}

impl DeltaEncoder {
    /// Adds to the amount of a name, to be reported in a later heartbeat.
    pub fn add_amount(&mut self, name: &Arc<str>, amount: u64) {
        if let Some(pending) = self.pending_amounts.get_mut(name) {
            *pending += amount;
            return;
        }
        self.pending_amounts.insert(name.clone(), amount);
    }

    /// Adds changed loads and amounts to a heartbeat, each with the largest first,
    /// up to `max_bytes`.
    ///
    /// Changes that do not fit are sent in later heartbeats. Loads use at most
    /// half of the bytes while amounts are waiting to be reported.
    pub fn encode(
        &mut self,
        loads: &IndexMap<Arc<str>, TargetLoad>,
        max_bytes: usize,
        heartbeat: &mut Heartbeat,
    ) {
        let max_bytes = max_bytes as i64;
        let load_bytes = if self.pending_amounts.is_empty() {
            max_bytes
        } else {
            max_bytes / 2
        };
        let mut load_budget = ByteBudget::new(load_bytes.min(max_bytes - self.excess_bytes));
        let load_budget_bytes = load_budget.bytes;
        self.encode_loads(loads, &mut load_budget, heartbeat);
        let used_load_bytes = load_budget_bytes - load_budget.bytes;
        let mut amount_budget = ByteBudget::new(max_bytes - self.excess_bytes - used_load_bytes);
        self.encode_amounts(&mut amount_budget, heartbeat);
        self.excess_bytes = (-amount_budget.bytes).max(0);
    }

    /// Returns whether the limit of names is reached. Further names can only be defined
    /// on a new connection.
    pub fn is_full(&self) -> bool {
        self.names.len() >= MAX_NAMES
    }

    /// Returns the number of names with an amount that is not reported yet.
    pub fn pending_amount_count(&self) -> usize {
        self.pending_amounts.len()
    }

    fn encode_loads(
        &mut self,
        loads: &IndexMap<Arc<str>, TargetLoad>,
        budget: &mut ByteBudget,
        heartbeat: &mut Heartbeat,
    ) {
        for (name, load) in self.changed_loads(loads) {
            let added = self.add_name(&name, budget, heartbeat);
            let Some(target) = added else {
                return;
            };
            let change = LoadChange {
                target,
                requests: load.requests,
                tokens: load.tokens,
                blocks: load.blocks,
            };
            if !budget.try_consume(change.encoded_len() + FIELD_HEADER_BYTES) {
                return;
            }
            heartbeat.loads.push(change);
            if load == TargetLoad::default() {
                self.sent_loads.swap_remove(&name);
                continue;
            }
            self.sent_loads.insert(name, load);
        }
    }

    fn encode_amounts(&mut self, budget: &mut ByteBudget, heartbeat: &mut Heartbeat) {
        let mut pending = Vec::new();
        for (name, &amount) in &self.pending_amounts {
            pending.push((amount, name.clone()));
        }
        pending.sort_unstable_by(|a, b| b.cmp(a));
        for (amount, name) in pending {
            let added = self.add_name(&name, budget, heartbeat);
            let Some(account) = added else {
                return;
            };
            let served = ServedTokens {
                account,
                tokens: amount,
            };
            if !budget.try_consume(served.encoded_len() + FIELD_HEADER_BYTES) {
                return;
            }
            heartbeat.served.push(served);
            self.pending_amounts.swap_remove(&name);
        }
    }

    /// Returns the loads that differ from those last sent, largest change
    /// first.
    fn changed_loads(&self, loads: &IndexMap<Arc<str>, TargetLoad>) -> Vec<(Arc<str>, TargetLoad)> {
        let idle = TargetLoad::default();
        let mut changed = Vec::new();
        for (name, load) in loads {
            let sent = self.sent_loads.get(name).unwrap_or(&idle);
            if load != sent {
                changed.push((load.distance(sent), name.clone(), *load));
            }
        }
        for (name, sent) in &self.sent_loads {
            if !loads.contains_key(name) {
                changed.push((idle.distance(sent), name.clone(), idle));
            }
        }
        changed.sort_unstable_by(|a, b| (b.0, &b.1).cmp(&(a.0, &a.1)));
        changed
            .into_iter()
            .map(|(_, name, load)| (name, load))
            .collect()
    }

    /// Returns the index of a name. If the name has no index yet, adds a definition to
    /// the heartbeat.
    /// Returns `None` if the definition does not fit or the limit of names is
    /// reached.
    fn add_name(
        &mut self,
        name: &Arc<str>,
        budget: &mut ByteBudget,
        heartbeat: &mut Heartbeat,
    ) -> Option<u32> {
        if let Some(index) = self.names.get_index_of(name) {
            return u32::try_from(index).ok();
        }
        if self.is_full() {
            return None;
        }
        let definition = NameDefinition {
            name: name.to_string(),
        };
        if !budget.try_consume(definition.encoded_len() + FIELD_HEADER_BYTES) {
            return None;
        }
        heartbeat.names.push(definition);
        let (index, _) = self.names.insert_full(name.clone());
        u32::try_from(index).ok()
    }
}

/// Decodes changes on the receiving side of one connection.
#[derive(Debug, Default)]
pub struct DeltaDecoder {
    names: Vec<Arc<str>>,
    /// Current loads by target.
    loads: IndexMap<Arc<str>, TargetLoad>,
}

impl DeltaDecoder {
    /// Applies the changes in a heartbeat and returns the reported amounts.
    ///
    /// # Errors
    ///
    /// Fails if the heartbeat refers to an undefined name or defines more than
    /// [`MAX_NAMES`] names.
    pub fn apply(&mut self, heartbeat: &Heartbeat) -> Result<Vec<PeerAmount>, Error> {
        for definition in &heartbeat.names {
            if self.names.len() >= MAX_NAMES {
                return Err(Error::TooManyNames {
                    max_names: MAX_NAMES,
                });
            }
            self.names.push(definition.name.as_str().into());
        }
        for change in &heartbeat.loads {
            let name = self.name(change.target)?;
            let load = TargetLoad {
                requests: change.requests,
                tokens: change.tokens,
                blocks: change.blocks,
            };
            if load == TargetLoad::default() {
                self.loads.swap_remove(&name);
                continue;
            }
            self.loads.insert(name, load);
        }
        let mut amounts = Vec::with_capacity(heartbeat.served.len());
        for entry in &heartbeat.served {
            amounts.push(PeerAmount {
                name: self.name(entry.account)?,
                amount: entry.tokens,
            });
        }
        Ok(amounts)
    }

    /// Returns the current loads reported by the peer.
    pub fn loads(&self) -> &IndexMap<Arc<str>, TargetLoad> {
        &self.loads
    }

    fn name(&self, index: u32) -> Result<Arc<str>, Error> {
        let name = self.names.get(index as usize);
        name.cloned().ok_or(Error::UnknownName { index })
    }
}
