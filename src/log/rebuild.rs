//! Gathers the chunks of a checkpoint.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::{Offset, records::CheckpointChunk};

/// A whole checkpoint, as gathered from its chunks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Checkpoint {
    /// Offset that the checkpoint stands for.
    pub mark_offset: Offset,
    /// Digest of the ledger at that offset.
    pub digest: Bytes,
    /// Encoded ledger.
    pub data: Bytes,
}

/// Identifies the chunks that belong together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ChunkSetKey {
    mark_offset: u64,
    epoch: u64,
    count: u32,
    digest: Vec<u8>,
}

/// Chunks of checkpoints, in any order and with repetitions.
///
/// Only the newest whole checkpoint is kept, and the parts of newer ones.
#[derive(Debug, Default)]
pub struct CheckpointGatherer {
    parts: BTreeMap<ChunkSetKey, BTreeMap<u32, Vec<u8>>>,
    newest: Option<Checkpoint>,
}

impl CheckpointGatherer {
    /// Makes a gatherer without chunks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a chunk; repetitions and chunks of older checkpoints are dropped.
    pub fn add(&mut self, chunk: CheckpointChunk) {
        let outdated = self
            .newest
            .as_ref()
            .is_some_and(|newest| chunk.mark_offset <= newest.mark_offset.0);
        if outdated || chunk.index >= chunk.count {
            return;
        }
        let key = ChunkSetKey {
            mark_offset: chunk.mark_offset,
            epoch: chunk.epoch,
            count: chunk.count,
            digest: chunk.digest,
        };
        let parts = self.parts.entry(key.clone()).or_default();
        parts.entry(chunk.index).or_insert(chunk.data);
        if parts.len() < key.count as usize {
            return;
        }
        let Some(parts) = self.parts.remove(&key) else {
            return;
        };
        self.parts
            .retain(|other, _| other.mark_offset > key.mark_offset);
        self.newest = Some(Checkpoint {
            mark_offset: Offset(key.mark_offset),
            digest: key.digest.into(),
            data: parts.into_values().flatten().collect::<Vec<u8>>().into(),
        });
    }

    /// Takes the newest whole checkpoint whose following records are all
    /// retained, given the oldest retained offset.
    pub fn take(&mut self, oldest_offset: Offset) -> Option<Checkpoint> {
        self.newest
            .take_if(|newest| newest.mark_offset.0 + 1 >= oldest_offset.0)
    }
}
