//! Holders of the duties, and the open intents.
//!
//! A duty is a task that one instance, its holder, performs at a time. An intent
//! announces an order to a target and is open until the outcome of the order is
//! recorded.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{
    Error, Rejection, Result,
    state::{DutyState, IntentState},
};
use crate::log::{
    Offset,
    records::{
        Duty, DutyClaim, DutyRenewal, DutyResignation, OrderIntent, OrderResolved, Record,
        order_intent::Order,
    },
};

/// The last holder of a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyEntry {
    /// Name of the holder.
    pub holder: Arc<str>,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Fencing token: the offset of the holder's claim.
    pub epoch: u64,
    /// Offset of the last renewal; offset of the claim if there was none yet.
    pub last_renewal: u64,
    /// Whether the holder has resigned from the duty.
    pub resigned: bool,
}

impl DutyEntry {
    /// Whether this incarnation of the instance claimed the duty and has not
    /// resigned.
    pub fn held_by(&self, instance: &str, incarnation: u64) -> bool {
        !self.resigned && self.incarnation == incarnation && &*self.holder == instance
    }
}

/// An announced order whose outcome has not been recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct IntentEntry {
    /// Offset of the intent record that opened this entry; also the identifier of
    /// the order.
    pub offset: Offset,
    /// Name of the target that the order is for.
    pub target: Arc<str>,
    /// Duty under which the order was announced.
    pub duty: Duty,
    /// Fencing token under which the order was announced or last adopted.
    pub epoch: u64,
    /// Instance that announced or last adopted the order.
    pub holder: Arc<str>,
    /// Incarnation of `holder`.
    pub incarnation: u64,
    /// The order.
    pub order: Order,
    /// Whether `holder` has resigned from the duty and therefore no longer sends the
    /// order.
    pub resigned: bool,
    /// Whether a later holder of the duty announced the same order under its own
    /// epoch.
    pub adopted: bool,
}

impl IntentEntry {
    /// Transfers the intent to a holder that announces the same order under a
    /// later epoch.
    fn adopt(
        &mut self,
        duty: Duty,
        record: &Record,
        intent: &OrderIntent,
    ) -> std::result::Result<(), Rejection> {
        let same_order = self.duty == duty && intent.order.as_ref() == Some(&self.order);
        if !same_order || intent.epoch <= self.epoch {
            return Err(Rejection::IntentOpen);
        }
        self.epoch = intent.epoch;
        self.holder = record.writer.as_str().into();
        self.incarnation = record.incarnation;
        self.resigned = false;
        self.adopted = true;
        Ok(())
    }
}

/// Holders by duty, and open intents by target.
#[derive(Clone, Debug, Default)]
pub(super) struct Duties {
    holders: IndexMap<Duty, DutyEntry>,
    intents: IndexMap<Arc<str>, IntentEntry>,
}

impl Duties {
    pub(super) fn holder(&self, duty: Duty) -> Option<&DutyEntry> {
        self.holders.get(&duty)
    }

    pub(super) fn intent(&self, target: &str) -> Option<&IntentEntry> {
        self.intents.get(target)
    }

    pub(super) fn intents(&self) -> impl Iterator<Item = &IntentEntry> {
        self.intents.values()
    }

    /// Checks that the writer of a record holds `duty` under `epoch`.
    pub(super) fn authorize(
        &self,
        duty: Duty,
        epoch: u64,
        record: &Record,
    ) -> std::result::Result<(), Rejection> {
        let entry = self.holders.get(&duty).ok_or(Rejection::NotHolder)?;
        if entry.epoch != epoch || !entry.held_by(&record.writer, record.incarnation) {
            return Err(Rejection::NotHolder);
        }
        Ok(())
    }

    pub(super) fn claim(
        &mut self,
        offset: Offset,
        record: &Record,
        claim: &DutyClaim,
    ) -> std::result::Result<(), Rejection> {
        let duty = parse_duty(claim.duty)?;
        let current = self.holders.get(&duty);
        let epoch = current.map_or(0, |entry| entry.epoch);
        let last_renewal = current.map_or(0, |entry| entry.last_renewal);
        if claim.after_epoch != epoch || claim.after_renewal != last_renewal {
            return Err(Rejection::StaleClaim {
                epoch,
                last_renewal,
            });
        }
        let entry = DutyEntry {
            holder: record.writer.as_str().into(),
            incarnation: record.incarnation,
            epoch: offset.0,
            last_renewal: offset.0,
            resigned: false,
        };
        self.holders.insert(duty, entry);
        Ok(())
    }

    pub(super) fn renew(
        &mut self,
        offset: Offset,
        record: &Record,
        renewal: &DutyRenewal,
    ) -> std::result::Result<(), Rejection> {
        let duty = parse_duty(renewal.duty)?;
        self.authorize(duty, renewal.epoch, record)?;
        if let Some(entry) = self.holders.get_mut(&duty) {
            entry.last_renewal = offset.0;
        }
        Ok(())
    }

    pub(super) fn resign(
        &mut self,
        record: &Record,
        resignation: &DutyResignation,
    ) -> std::result::Result<(), Rejection> {
        let duty = parse_duty(resignation.duty)?;
        self.authorize(duty, resignation.epoch, record)?;
        if let Some(entry) = self.holders.get_mut(&duty) {
            entry.resigned = true;
        }
        for intent in self.intents.values_mut() {
            if intent.duty == duty && intent.epoch == resignation.epoch {
                intent.resigned = true;
            }
        }
        Ok(())
    }

    /// Opens an intent. If an intent is already open for the target, the holder of
    /// the duty adopts that intent, provided that it has the same order and an
    /// earlier epoch.
    pub(super) fn open_intent(
        &mut self,
        offset: Offset,
        record: &Record,
        intent: &OrderIntent,
    ) -> std::result::Result<(), Rejection> {
        let duty = parse_duty(intent.duty)?;
        if intent.target.is_empty() {
            return Err(Rejection::Malformed("the intent names no target"));
        }
        let Some(order) = &intent.order else {
            return Err(Rejection::Malformed("the intent has no order"));
        };
        self.authorize(duty, intent.epoch, record)?;
        if let Some(open) = self.intents.get_mut(intent.target.as_str()) {
            return open.adopt(duty, record, intent);
        }
        let target: Arc<str> = intent.target.as_str().into();
        let entry = IntentEntry {
            offset,
            target: target.clone(),
            duty,
            epoch: intent.epoch,
            holder: record.writer.as_str().into(),
            incarnation: record.incarnation,
            order: order.clone(),
            resigned: false,
            adopted: false,
        };
        self.intents.insert(target, entry);
        Ok(())
    }

    /// Closes an intent. Only two instances may close it: the current holder of the
    /// duty, and the instance that announced or last adopted the order, even after
    /// that instance has lost the duty.
    pub(super) fn resolve_intent(
        &mut self,
        record: &Record,
        resolved: &OrderResolved,
    ) -> std::result::Result<(), Rejection> {
        let intent = self.intents.get(resolved.target.as_str());
        let intent = intent.ok_or(Rejection::NoIntent)?;
        if intent.offset.0 != resolved.intent_offset {
            return Err(Rejection::NoIntent);
        }
        let is_announcer =
            *intent.holder == *record.writer && intent.incarnation == record.incarnation;
        let holder = self.holders.get(&intent.duty);
        let is_holder =
            holder.is_some_and(|entry| entry.held_by(&record.writer, record.incarnation));
        if !is_announcer && !is_holder {
            return Err(Rejection::NotHolder);
        }
        self.intents.shift_remove(resolved.target.as_str());
        Ok(())
    }

    pub(super) fn encode_holders(&self) -> Vec<DutyState> {
        let mut duties = Vec::with_capacity(self.holders.len());
        for (duty, entry) in &self.holders {
            duties.push(DutyState {
                duty: i32::from(*duty),
                holder: entry.holder.to_string(),
                incarnation: entry.incarnation,
                epoch: entry.epoch,
                last_renewal: entry.last_renewal,
                resigned: entry.resigned,
            });
        }
        duties
    }

    pub(super) fn encode_intents(&self) -> Vec<IntentState> {
        let mut intents = Vec::with_capacity(self.intents.len());
        for entry in self.intents.values() {
            intents.push(IntentState {
                offset: entry.offset.0,
                holder: entry.holder.to_string(),
                incarnation: entry.incarnation,
                resigned: entry.resigned,
                adopted: entry.adopted,
                intent: Some(OrderIntent {
                    target: entry.target.to_string(),
                    duty: i32::from(entry.duty),
                    epoch: entry.epoch,
                    order: Some(entry.order.clone()),
                }),
            });
        }
        intents
    }

    pub(super) fn decode(duties: Vec<DutyState>, intents: Vec<IntentState>) -> Result<Self> {
        let mut decoded = Self::default();
        for state in duties {
            let duty = decode_duty(state.duty)?;
            let entry = DutyEntry {
                holder: state.holder.into(),
                incarnation: state.incarnation,
                epoch: state.epoch,
                last_renewal: state.last_renewal,
                resigned: state.resigned,
            };
            decoded.holders.insert(duty, entry);
        }
        for state in intents {
            let entry = decode_intent(state)?;
            decoded.intents.insert(entry.target.clone(), entry);
        }
        Ok(decoded)
    }
}

fn parse_duty(number: i32) -> std::result::Result<Duty, Rejection> {
    match Duty::try_from(number) {
        Ok(Duty::Unspecified) | Err(_) => Err(Rejection::Malformed("the duty is unknown")),
        Ok(duty) => Ok(duty),
    }
}

fn decode_duty(number: i32) -> Result<Duty> {
    parse_duty(number).map_err(|_| Error::Field { field: "duty" })
}

fn decode_intent(state: IntentState) -> Result<IntentEntry> {
    let intent = state.intent.ok_or(Error::Field { field: "intent" })?;
    let order = intent.order.ok_or(Error::Field { field: "order" })?;
    Ok(IntentEntry {
        offset: Offset(state.offset),
        target: intent.target.into(),
        duty: decode_duty(intent.duty)?,
        epoch: intent.epoch,
        holder: state.holder.into(),
        incarnation: state.incarnation,
        order,
        resigned: state.resigned,
        adopted: state.adopted,
    })
}
