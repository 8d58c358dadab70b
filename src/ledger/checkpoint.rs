<<<<<<< HEAD
//! Checkpoints: the ledger as of a mark, in chunks, and its rebuild.
=======
//! Checkpoints: the encoded ledger as of a mark, in chunks.
//!
//! [`Rebuilder`](crate::log::Rebuilder) puts the chunks together again.
>>>>>>> main

use bytes::Bytes;
use indexmap::IndexMap;
use sha2::{Digest, Sha256};

use super::{Ledger, Rejection};
use crate::log::{
    Offset,
    records::{CheckpointChunk, Duty, Record, record::Body},
};

/// Largest piece of an encoded ledger in one record, in bytes.
pub const CHUNK_BYTES: usize = 64 << 10;

/// Most chunks of one checkpoint.
const MAX_CHUNKS: u32 = 1 << 16;

/// The encoded ledger as of the last accepted mark.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CheckpointEntry {
    /// Offset of the mark.
    pub offset: Offset,
    /// Epoch of the checkpoint duty.
    pub epoch: u64,
    /// SHA-256 of the encoded ledger.
    pub digest: [u8; 32],
    /// The encoded ledger.
    pub data: Bytes,
}

impl CheckpointEntry {
    pub(super) fn new(offset: Offset, epoch: u64, data: Vec<u8>) -> Self {
        Self {
            offset,
            epoch,
            digest: sha256(&data),
            data: data.into(),
        }
    }

    /// Cuts the encoded ledger into records.
    pub fn chunks(&self) -> Vec<CheckpointChunk> {
        let count = self.data.len().div_ceil(CHUNK_BYTES);
        let mut chunks = Vec::with_capacity(count);
        for (index, data) in self.data.chunks(CHUNK_BYTES).enumerate() {
            chunks.push(CheckpointChunk {
                epoch: self.epoch,
                mark_offset: self.offset.0,
                index: u32::try_from(index).unwrap_or(u32::MAX),
                count: u32::try_from(count).unwrap_or(u32::MAX),
                digest: self.digest.to_vec(),
                data: data.to_vec(),
            });
        }
        chunks
    }

    /// Compares a published chunk's digest with that of this ledger.
    pub(super) fn compare(&self, chunk: &CheckpointChunk) -> Result<(), Rejection> {
        let comparable = self.offset.0 == chunk.mark_offset && self.epoch == chunk.epoch;
        if comparable && *chunk.digest != self.digest {
            return Err(Rejection::CheckpointMismatch(chunk.mark_offset));
        }
        Ok(())
    }
}

pub(super) fn sha256(data: &[u8]) -> [u8; 32] {
    Sha256::digest(data).into()
}

/// One published checkpoint, identified by its mark and its writer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ChunkSetId {
    mark_offset: u64,
    epoch: u64,
    writer: String,
    digest: Vec<u8>,
    count: u32,
}

/// Rebuilds a ledger from the retained records of a log.
///
/// Records go in one by one, from the oldest retained offset on. While the log
/// is whole they are folded at once. Otherwise they are kept until a complete
/// checkpoint is found whose mark leaves no gap to the retained records.
#[derive(Debug)]
pub struct Rebuilder {
    oldest: Offset,
    next: Offset,
    ledger: Option<Ledger>,
    kept: Vec<Record>,
    sets: IndexMap<ChunkSetId, IndexMap<u32, Vec<u8>>>,
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

    /// Whether the ledger is complete.
    pub fn is_complete(&self) -> bool {
        self.ledger.is_some()
    }

    /// Offset of the record that is to be pushed next.
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
        let complete = self.collect(&record);
        self.kept.push(record);
        if let Some(id) = complete {
            self.restore(&id);
        }
    }

    /// Returns the ledger with all pushed records applied, or `None` if no
    /// complete checkpoint was found.
    pub fn finish(self) -> Option<Ledger> {
        self.ledger
    }

    /// Keeps a chunk; returns its set once that is complete.
    fn collect(&mut self, record: &Record) -> Option<ChunkSetId> {
        let Some(Body::CheckpointChunk(chunk)) = &record.body else {
            return None;
        };
        let connected = chunk.mark_offset + 1 >= self.oldest.0;
        let sized = chunk.index < chunk.count && chunk.count <= MAX_CHUNKS;
        if !connected || !sized {
            return None;
        }
        let id = ChunkSetId {
            mark_offset: chunk.mark_offset,
            epoch: chunk.epoch,
            writer: record.writer.clone(),
            digest: chunk.digest.clone(),
            count: chunk.count,
        };
        let set = self.sets.entry(id.clone()).or_default();
        set.insert(chunk.index, chunk.data.clone());
        let complete = u32::try_from(set.len()).is_ok_and(|len| len == chunk.count);
        complete.then_some(id)
    }

    /// Decodes a complete checkpoint and folds the records after its mark.
    fn restore(&mut self, id: &ChunkSetId) {
        let Some(mut ledger) = self.decode(id) else {
            tracing::error!("ledger: checkpoint at offset {} is damaged", id.mark_offset);
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

    fn decode(&self, id: &ChunkSetId) -> Option<Ledger> {
        let set = self.sets.get(id)?;
        let mut data = Vec::new();
        for index in 0..id.count {
            data.extend_from_slice(set.get(&index)?);
        }
        if *id.digest != sha256(&data) {
            return None;
        }
        let ledger = Ledger::decode(&data).ok()?;
        let duty = ledger.duty(Duty::Checkpoint)?;
        let published = duty.epoch == id.epoch && *duty.holder == *id.writer;
        if !published || ledger.applied().0 != id.mark_offset {
            return None;
        }
        Some(ledger)
    }
}
