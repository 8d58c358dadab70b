//! Checkpoints: the ledger encoded at a checkpoint mark and split into chunks.
//!
//! [`Rebuilder`](crate::log::Rebuilder) reassembles the chunks.

use bytes::Bytes;
use sha2::{Digest, Sha256};

use super::Rejection;
use crate::log::{Offset, records::CheckpointChunk};

/// Largest chunk of an encoded ledger in one record, in bytes.
pub const CHUNK_BYTES: usize = 64 << 10;

/// The ledger, encoded when the last accepted checkpoint mark was applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CheckpointEntry {
    /// Offset of the checkpoint mark.
    pub offset: Offset,
    /// Epoch of the checkpoint duty under which the mark was written.
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

    /// Splits the encoded ledger into chunks of at most [`CHUNK_BYTES`] each.
    pub fn chunks(&self) -> Vec<CheckpointChunk> {
        self.chunks_of(CHUNK_BYTES)
    }

    /// Splits the encoded ledger into chunks of at most `chunk_bytes` each.
    pub fn chunks_of(&self, chunk_bytes: usize) -> Vec<CheckpointChunk> {
        let count = self.data.len().div_ceil(chunk_bytes);
        let mut chunks = Vec::with_capacity(count);
        for (index, data) in self.data.chunks(chunk_bytes).enumerate() {
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

    /// Compares the digest in a published chunk with this checkpoint's digest, if
    /// both have the same mark and epoch.
    pub(super) fn compare_chunk(&self, chunk: &CheckpointChunk) -> Result<(), Rejection> {
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
