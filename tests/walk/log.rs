//! The simulated log, to which records are delivered with a delay.

use lavenderwind::{
    ledger::{ApplyResult, Ledger},
    log::{
        Offset,
        records::{Record, record::Body},
    },
};

use super::Counts;

/// A record that was sent and has not reached the log.
struct InFlightRecord {
    arrives_ms: u64,
    record: Record,
}

/// The log and the records in flight to it.
#[derive(Default)]
pub(crate) struct Log {
    records: Vec<Record>,
    /// Ledger with all records of the log applied.
    pub(crate) ledger: Ledger,
    in_flight: Vec<InFlightRecord>,
}

impl Log {
    /// Sends a record that reaches the log at `arrives_ms`.
    pub(crate) fn send(&mut self, arrives_ms: u64, record: Record) {
        self.in_flight.push(InFlightRecord { arrives_ms, record });
    }

    /// Appends the records that have arrived by `now_ms`.
    pub(crate) fn deliver(&mut self, now_ms: u64, counts: &mut Counts) {
        self.in_flight
            .sort_by_key(|in_flight_record| in_flight_record.arrives_ms);
        while let Some(in_flight_record) = self.in_flight.first() {
            if in_flight_record.arrives_ms > now_ms {
                return;
            }
            let in_flight_record = self.in_flight.remove(0);
            self.append(in_flight_record.record, counts);
        }
    }

    fn append(&mut self, record: Record, counts: &mut Counts) {
        self.records.push(record);
        let offset = Offset(self.records.len() as u64);
        let record = &self.records[self.records.len() - 1];
        let apply_result = self.ledger.apply(offset, record);
        match (&record.body, apply_result) {
            (_, ApplyResult::Duplicate) => counts.duplicates += 1,
            (Some(Body::DutyClaim(_)), ApplyResult::Accepted) => counts.takeovers += 1,
            (Some(Body::DutyClaim(_)), ApplyResult::Rejected(_)) => counts.refused_claims += 1,
            (Some(Body::DutyResignation(_)), ApplyResult::Accepted) => counts.resignations += 1,
            _ => {}
        }
    }

    /// Returns the record at an offset, counted from 1.
    pub(crate) fn get(&self, offset: Offset) -> Option<&Record> {
        let index = usize::try_from(offset.0).ok()?.checked_sub(1)?;
        self.records.get(index)
    }
}
