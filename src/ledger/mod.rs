//! The ledger: a pure fold over the records of the log.
// Placeholder until the `agreement` branch is merged; it replaces this file.
#![allow(missing_docs)]
use std::sync::{Arc, Mutex};

use indexmap::IndexMap;

use crate::log::{Offset, records::Record};

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    Accepted,
    Duplicate,
    Rejected(Rejection),
}
#[derive(Clone, Copy, Debug, Eq, PartialEq, displaydoc::Display)]
pub enum Rejection {
    /// no body
    NoBody,
}
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    applied: Offset,
    sequences: IndexMap<(String, u64), u64>,
}
impl Ledger {
    pub fn new() -> Self {
        Self::default()
    }
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        self.applied = offset;
        let key = (record.writer.clone(), record.incarnation);
        let last = self.sequences.entry(key).or_insert(0);
        if record.sequence <= *last {
            return Verdict::Duplicate;
        }
        *last = record.sequence;
        if record.body.is_none() {
            return Verdict::Rejected(Rejection::NoBody);
        }
        Verdict::Accepted
    }
    pub fn applied(&self) -> Offset {
        self.applied
    }
    pub fn encode(&self) -> Vec<u8> {
        self.applied.0.to_be_bytes().to_vec()
    }
    pub fn decode(data: &[u8]) -> Result<Self, std::array::TryFromSliceError> {
        Ok(Self {
            applied: Offset(u64::from_be_bytes(data.try_into()?)),
            sequences: IndexMap::new(),
        })
    }
    pub fn digest(&self) -> [u8; 32] {
        use sha2::Digest;
        sha2::Sha256::digest(self.encode()).into()
    }
}
#[derive(Clone, Debug)]
pub struct LedgerHandle {
    ledger: Arc<Mutex<Ledger>>,
}
impl LedgerHandle {
    pub fn new(ledger: Ledger) -> Self {
        Self {
            ledger: Arc::new(Mutex::new(ledger)),
        }
    }
    pub fn apply(&self, offset: Offset, record: &Record) -> Verdict {
        self.ledger.lock().unwrap().apply(offset, record)
    }
    pub fn replace(&self, ledger: Ledger) {
        *self.ledger.lock().unwrap() = ledger;
    }
    pub fn applied(&self) -> Offset {
        self.ledger.lock().unwrap().applied()
    }
}
