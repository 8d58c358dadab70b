//! Rebuild of a ledger from a checkpoint and the retained records.

use indexmap::IndexMap;
use sha2::{Digest, Sha256};

use super::{
    Offset,
    records::{CheckpointChunk, Duty, Record, record::Body},
};
use crate::ledger::Ledger;

/// Most chunks of one checkpoint.
const MAX_CHUNKS: u32 = 1 << 16;

/// Identifies the chunks that belong together.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ChunkSetId {
    mark_offset: u64,
    epoch: u64,
    writer: String,
    digest: Vec<u8>,
    count: u32,
}

type ChunkSet = IndexMap<u32, Vec<u8>>;

/// Rebuilds a ledger from the retained records of a log.
///
/// Records go in one by one, from the oldest retained offset on. They are kept
/// until the chunks of a whole checkpoint are found whose mark leaves no gap
/// to the retained records; from then on they are folded at once.
#[derive(Debug)]
pub struct Rebuilder {
    oldest: Offset,
    next: Offset,
    ledger: Option<Ledger>,
    kept: Vec<Record>,
    sets: IndexMap<ChunkSetId, ChunkSet>,
}

impl Rebuilder {
    /// Starts at the oldest retained offset.
    pub fn new(oldest: Offset) -> Self {
        let whole = oldest.0 <= 1;
        Self {
            oldest,
            next: Offset(oldest.0.max(1)),
            ledger: whole.then(Ledger::new),
            kept: Vec::new(),
            sets: IndexMap::new(),
        }
    }

    /// Returns whether the ledger is complete.
    pub fn is_complete(&self) -> bool {
        self.ledger.is_some()
    }

    /// Returns the offset of the record that is to be pushed next.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Takes the record at [`Rebuilder::next_offset`].
    pub fn push(&mut self, record: Record) {
        let offset = self.next;
        self.next = Offset(offset.0 + 1);
        if let Some(ledger) = &mut self.ledger {
            ledger.apply(offset, &record);
            return;
        }
        let whole = self.collect(&record);
        self.kept.push(record);
        if let Some(id) = whole {
            self.restore(&id);
        }
    }

    /// Returns the ledger with all pushed records applied, or `None` if no
    /// whole checkpoint was found.
    pub fn finish(self) -> Option<Ledger> {
        self.ledger
    }

    /// Keeps a chunk; returns its set once that is whole.
    fn collect(&mut self, record: &Record) -> Option<ChunkSetId> {
        let Some(Body::CheckpointChunk(chunk)) = &record.body else {
            return None;
        };
        let connected = chunk.mark_offset + 1 >= self.oldest.0;
        let sized = chunk.index < chunk.count && chunk.count <= MAX_CHUNKS;
        if !connected || !sized {
            return None;
        }
        let id = ChunkSetId::new(chunk, &record.writer);
        let set = self.sets.entry(id.clone()).or_default();
        set.insert(chunk.index, chunk.data.clone());
        (set.len() == chunk.count as usize).then_some(id)
    }

    /// Decodes a whole checkpoint and folds the records after its mark.
    fn restore(&mut self, id: &ChunkSetId) {
        let Some(mut ledger) = self.decode(id) else {
            tracing::error!("log: checkpoint at offset {} is damaged", id.mark_offset);
            self.sets.swap_remove(id);
            return;
        };
        let mut offset = self.oldest;
        for record in self.kept.drain(..) {
            if offset > ledger.applied() {
                ledger.apply(offset, &record);
            }
            offset = Offset(offset.0 + 1);
        }
        self.sets.clear();
        self.ledger = Some(ledger);
    }

    /// Decodes a checkpoint, if it was published by the duty's holder.
    fn decode(&self, id: &ChunkSetId) -> Option<Ledger> {
        let set = self.sets.get(id)?;
        let mut data = Vec::new();
        for index in 0..id.count {
            data.extend_from_slice(set.get(&index)?);
        }
        if *id.digest != *Sha256::digest(&data) {
            return None;
        }
        let ledger = Ledger::decode(&data).ok()?;
        let duty = ledger.duty(Duty::Checkpoint)?;
        let published = duty.epoch == id.epoch && *duty.holder == *id.writer;
        let stands = ledger.applied().0 == id.mark_offset;
        (published && stands).then_some(ledger)
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
