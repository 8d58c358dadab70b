//! Detection of duplicate records by the writer's sequence number.

use std::sync::Arc;

use indexmap::IndexMap;

use super::state::WriterState;
use crate::log::{Offset, records::Record};

/// One incarnation of a writer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Writer {
    name: Arc<str>,
    incarnation: u64,
}

/// Sequence number and offset of the last record of a writer that was not a
/// duplicate.
#[derive(Clone, Copy, Debug)]
struct WriterProgress {
    sequence: u64,
    offset: Offset,
}

/// Last sequence number of each writer incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct Writers {
    progress: IndexMap<Writer, WriterProgress>,
}

impl Writers {
    /// Stores the sequence number of a record as the writer's last one. Returns
    /// `false` if the record repeats an earlier one.
    pub(super) fn advance_sequence(&mut self, offset: Offset, record: &Record) -> bool {
        let writer = Writer {
            name: record.writer.as_str().into(),
            incarnation: record.incarnation,
        };
        let progress = self.progress.entry(writer).or_insert(WriterProgress {
            sequence: 0,
            offset,
        });
        if record.sequence <= progress.sequence {
            return false;
        }
        progress.sequence = record.sequence;
        progress.offset = offset;
        true
    }

    pub(super) fn expire(&mut self, up_to: Offset) {
        self.progress.retain(|_, progress| progress.offset > up_to);
    }

    pub(super) fn len(&self) -> usize {
        self.progress.len()
    }

    pub(super) fn encode(&self) -> Vec<WriterState> {
        let mut writers = Vec::with_capacity(self.progress.len());
        for (writer, progress) in &self.progress {
            writers.push(WriterState {
                name: writer.name.to_string(),
                incarnation: writer.incarnation,
                sequence: progress.sequence,
                offset: progress.offset.0,
            });
        }
        writers
    }

    pub(super) fn decode(states: Vec<WriterState>) -> Self {
        let mut progress = IndexMap::with_capacity(states.len());
        for state in states {
            let writer = Writer {
                name: state.name.into(),
                incarnation: state.incarnation,
            };
            let entry = WriterProgress {
                sequence: state.sequence,
                offset: Offset(state.offset),
            };
            progress.insert(writer, entry);
        }
        Self { progress }
    }
}
