//! Delta encoding of target loads and served tokens in heartbeats.
//!
//! On each connection, every name of a target or account is defined once and is then
//! referred to by an index. A heartbeat contains only the loads that have changed, and the
//! amounts that were added. Amounts that may arrive in parts are packed if the receiver's
//! `Hello` says that it decodes this form. All others have a message each.

use std::sync::Arc;

use displaydoc::Display;
use indexmap::{IndexMap, IndexSet};
use prost::Message;

use super::{
    byte_budget::ByteBudget,
    frames::{Heartbeat, Hello, LoadChange, NameDefinition, ServedTokens},
    packed_amounts::{MAX_PACKED_AMOUNT, PackedAmount, PackedAmounts, unpack},
    pending_amounts::{PendingAmount, PendingAmounts},
};

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

/// An amount in a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedAmount {
    /// Name under which the amount was reported.
    pub name: Arc<str>,
    /// Amount added since the previous report.
    pub amount: u64,
    /// Whether the amount may be forwarded in parts: it was in the packed form, in which only
    /// divisible amounts are sent.
    pub is_divisible: bool,
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

/// Form in which amounts are sent over one connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AmountForm {
    /// One `ServedTokens` message for each amount, which all versions decode.
    #[default]
    Separate,
    /// `packed_amounts`, with about two bytes for each amount, if it is divisible. For
    /// receivers whose `Hello` has `accepts_packed_amounts`.
    Packed,
}

impl AmountForm {
    /// Returns the form for a receiver that has sent this `Hello`.
    pub fn accepted_by(hello: &Hello) -> Self {
        if hello.accepts_packed_amounts {
            return Self::Packed;
        }
        Self::Separate
    }
}

/// Encodes changes for the sending side of one connection.
#[derive(Debug, Default)]
pub struct DeltaEncoder {
    /// Names defined on this connection, in the order of their indices.
    names: IndexSet<Arc<str>>,
    /// Loads as last sent, by target.
    sent_loads: IndexMap<Arc<str>, TargetLoad>,
    /// Amounts that are not reported yet, by name.
    pending_amounts: PendingAmounts,
    /// Bytes by which earlier heartbeats exceeded their limit, to be saved by later
    /// heartbeats.
    excess_bytes: i64,
    amount_form: AmountForm,
}

impl DeltaEncoder {
    /// Creates an encoder that sends amounts in this form.
    pub fn new(amount_form: AmountForm) -> Self {
        Self {
            amount_form,
            ..Self::default()
        }
    }

    /// Adds to the amount of a name, to be reported as a whole in a later heartbeat.
    pub fn add_amount(&mut self, name: &Arc<str>, amount: u64) {
        self.pending_amounts.add(name, amount, false);
    }

    /// Adds to the amount of a name, to be reported in later heartbeats. It may arrive in
    /// parts.
    pub fn add_divisible_amount(&mut self, name: &Arc<str>, amount: u64) {
        self.pending_amounts.add(name, amount, true);
    }

    /// Adds an amount that was received over another connection.
    pub fn forward_amount(&mut self, received: &ReceivedAmount) {
        let ReceivedAmount {
            name,
            amount,
            is_divisible,
        } = received;
        self.pending_amounts.add(name, *amount, *is_divisible);
    }

    /// Adds changed loads and amounts to a heartbeat, each with the largest first,
    /// up to `max_bytes`.
    ///
    /// Changes that do not fit are sent in later heartbeats, as is what packing cuts off
    /// amounts. Loads use at most half of the bytes while amounts are waiting to be
    /// reported.
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
        let load_budget_bytes = load_budget.left();
        self.encode_loads(loads, &mut load_budget, heartbeat);
        let used_load_bytes = load_budget_bytes - load_budget.left();
        let mut amount_budget = ByteBudget::new(max_bytes - self.excess_bytes - used_load_bytes);
        self.encode_amounts(&mut amount_budget, heartbeat);
        self.excess_bytes = (-amount_budget.left()).max(0);
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
        let mut packed = PackedAmounts::default();
        // What packing cuts off is added once each name has an amount in the heartbeat.
        while !self.pending_amounts.is_empty() {
            if !self.encode_each_amount(&mut packed, budget, heartbeat) {
                break;
            }
        }
        heartbeat.packed_amounts = packed.into_elements();
    }

    /// Adds one amount for each name with a pending amount. Returns whether all fit.
    fn encode_each_amount(
        &mut self,
        packed: &mut PackedAmounts,
        budget: &mut ByteBudget,
        heartbeat: &mut Heartbeat,
    ) -> bool {
        for (pending, name) in self.pending_amounts.largest() {
            let Some(index) = self.add_name(&name, budget, heartbeat) else {
                return false;
            };
            if self.is_sent_packed(&pending) {
                let entry = PackedAmount::new(index, pending.amount);
                if !budget.try_consume(packed.added_bytes(entry)) {
                    return false;
                }
                packed.insert(entry);
                self.pending_amounts.subtract(&name, entry.amount());
                continue;
            }
            let served = ServedTokens {
                account: index,
                tokens: pending.amount,
            };
            if !budget.try_consume(served.encoded_len() + FIELD_HEADER_BYTES) {
                return false;
            }
            heartbeat.served.push(served);
            self.pending_amounts.subtract(&name, pending.amount);
        }
        true
    }

    fn is_sent_packed(&self, pending: &PendingAmount) -> bool {
        self.amount_form == AmountForm::Packed
            && pending.is_divisible
            && pending.amount <= MAX_PACKED_AMOUNT
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
    pub fn apply(&mut self, heartbeat: &Heartbeat) -> Result<Vec<ReceivedAmount>, Error> {
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
        let count = heartbeat.served.len() + heartbeat.packed_amounts.len();
        let mut amounts = Vec::with_capacity(count);
        for entry in &heartbeat.served {
            amounts.push(ReceivedAmount {
                name: self.name(entry.account)?,
                amount: entry.tokens,
                is_divisible: false,
            });
        }
        for entry in unpack(&heartbeat.packed_amounts) {
            amounts.push(ReceivedAmount {
                name: self.name(entry.index())?,
                amount: entry.amount(),
                is_divisible: true,
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
