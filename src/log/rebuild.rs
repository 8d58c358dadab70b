//! Rebuilds a ledger from a checkpoint and the retained records of the log.
//!
//! A checkpoint is a copy of the ledger's state, stored in the log in chunks. The chunks
//! follow a record called the mark, and the copy includes all records up to the offset
//! of the mark.

use indexmap::IndexMap;
use sha2::{Digest, Sha256};

use super::{
    Offset,
    records::{CheckpointChunk, Duty, Record, record::Body},
};
use crate::ledger::Ledger;

/// Maximum number of chunks of one checkpoint.
const MAX_CHUNKS: u32 = 1 << 16;

/// Identifies the chunks of one checkpoint.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ChunkSetId {
    mark_offset: u64,
    epoch: u64,
    writer: String,
    digest: Vec<u8>,
    count: u32,
}

/// Data of the chunks by index.
type ChunkSet = IndexMap<u32, Vec<u8>>;

/// Rebuilds a ledger from the retained records of a log.
///
/// Records are pushed one by one, starting at the offset given to
/// [`Rebuilder::new`]. The rebuilder buffers the records until it has all chunks of
/// a checkpoint whose mark leaves no gap to the first pushed record. Then it applies
/// the buffered records after the mark, and all later records, to the ledger of the
/// checkpoint.
#[derive(Debug)]
pub struct Rebuilder {
    /// Offset given to [`Rebuilder::new`].
    start: Offset,
    next_offset: Offset,
    /// `None` until a complete checkpoint was found.
    ledger: Option<Ledger>,
    /// Records pushed before a complete checkpoint was found.
    buffered: Vec<Record>,
    chunk_sets: IndexMap<ChunkSetId, ChunkSet>,
}

impl Rebuilder {
    /// Creates a rebuilder that starts at the offset `start`. No checkpoint is needed
    /// if `start` is 0 or 1, the start of the log.
    pub fn new(start: Offset) -> Self {
        let from_start = start.0 <= 1;
        Self {
            start,
            next_offset: Offset(start.0.max(1)),
            ledger: from_start.then(Ledger::new),
            buffered: Vec::new(),
            chunk_sets: IndexMap::new(),
        }
    }

    /// Returns `true` if the rebuilder has a ledger that misses no record, either from
    /// a checkpoint or from the start of the log.
    pub fn is_complete(&self) -> bool {
        self.ledger.is_some()
    }

    /// Returns the offset of the record to push next.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Adds the record at [`Rebuilder::next_offset`].
    pub fn push(&mut self, record: Record) {
        let offset = self.next_offset;
        self.next_offset = Offset(offset.0 + 1);
        if let Some(ledger) = &mut self.ledger {
            ledger.apply(offset, &record);
            return;
        }
        let complete_set = self.store_chunk(&record);
        self.buffered.push(record);
        if let Some(id) = complete_set {
            self.restore(&id);
        }
    }

    /// Returns the ledger with all pushed records applied, or `None` if no complete
    /// checkpoint was found.
    pub fn finish(self) -> Option<Ledger> {
        self.ledger
    }

    /// Stores the data of a checkpoint chunk. Returns the identifier of the chunk's
    /// set once all chunks of the set are stored.
    fn store_chunk(&mut self, record: &Record) -> Option<ChunkSetId> {
        let Some(Body::CheckpointChunk(chunk)) = &record.body else {
            return None;
        };
        let leaves_no_gap = chunk.mark_offset + 1 >= self.start.0;
        let valid_index = chunk.index < chunk.count && chunk.count <= MAX_CHUNKS;
        if !leaves_no_gap || !valid_index {
            return None;
        }
        let id = ChunkSetId::new(chunk, &record.writer);
        let set = self.chunk_sets.entry(id.clone()).or_default();
        set.insert(chunk.index, chunk.data.clone());
        (set.len() == chunk.count as usize).then_some(id)
    }

    /// Decodes a complete checkpoint and applies the buffered records after its mark.
    fn restore(&mut self, id: &ChunkSetId) {
        let Some(mut ledger) = self.decode(id) else {
            tracing::error!("log: checkpoint at offset {} is invalid", id.mark_offset);
            self.chunk_sets.swap_remove(id);
            return;
        };
        let mut offset = self.start;
        for record in self.buffered.drain(..) {
            if offset > ledger.applied() {
                ledger.apply(offset, &record);
            }
            offset = Offset(offset.0 + 1);
        }
        self.chunk_sets.clear();
        self.ledger = Some(ledger);
    }

    /// Decodes a checkpoint. Returns `None` if the digest is wrong, if the publisher
    /// did not hold the checkpoint duty, or if the checkpoint does not end at its
    /// mark.
    fn decode(&self, id: &ChunkSetId) -> Option<Ledger> {
        let set = self.chunk_sets.get(id)?;
        let mut data = Vec::new();
        for index in 0..id.count {
            data.extend_from_slice(set.get(&index)?);
        }
        if *id.digest != *Sha256::digest(&data) {
            return None;
        }
        let ledger = Ledger::decode(&data).ok()?;
        let duty = ledger.duty(Duty::Checkpoint)?;
        let published_by_holder = duty.epoch == id.epoch && *duty.holder == *id.writer;
        let ends_at_mark = ledger.applied().0 == id.mark_offset;
        (published_by_holder && ends_at_mark).then_some(ledger)
    }
}

impl ChunkSetId {
    fn new(chunk: &CheckpointChunk, writer: &str) -> Self {
        Self {
            mark_offset: chunk.mark_offset,
            epoch: chunk.epoch,
            writer: writer.to_owned(),
            digest: chunk.digest.clone(),
            count: chunk.count,
        }
    }
}
