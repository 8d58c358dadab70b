//! Encoding of the records in a topic.

use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};

use super::{Position, StoreError};

/// Size of the length prefix of a record, in bytes.
const LENGTH_BYTES: usize = 4;
/// Size of the head of a read's answer, in bytes: the end offset and the first
/// offset.
const READ_HEAD_BYTES: usize = 16;
/// Maximum length of a key, in bytes. Longer keys are truncated.
const MAX_KEY_BYTES: usize = 255;

/// A record of a keyed topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Offset in the topic, from 0, in the era in which the record was read.
    pub offset: u64,
    /// Key of the record.
    pub key: Arc<str>,
    /// Value; `None` if the record deletes the key.
    pub value: Option<Bytes>,
}

/// Result of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadBatch {
    /// Records in offset order.
    pub records: Vec<KeyedRecord>,
    /// Number of records that could not be decoded as keyed records.
    pub malformed: u32,
    /// Position to read next.
    pub next: Position,
    /// Offset that the next record will get.
    pub end_offset: u64,
}

pub(super) fn encode_record(key: &str, value: &[u8]) -> Bytes {
    let key = &key.as_bytes()[..key.len().min(MAX_KEY_BYTES)];
    let length = 1 + key.len() + value.len();
    let mut record = BytesMut::with_capacity(LENGTH_BYTES + length);
    record.put_u32(length as u32);
    record.put_u8(key.len() as u8);
    record.put_slice(key);
    record.put_slice(value);
    record.freeze()
}

pub(super) fn decode_batch(mut bytes: Bytes, from: Position) -> Result<ReadBatch, StoreError> {
    if bytes.len() < READ_HEAD_BYTES {
        return Err(StoreError::Malformed(
            "answer to a read is shorter than its head",
        ));
    }
    let mut batch = ReadBatch {
        end_offset: bytes.get_u64(),
        records: Vec::new(),
        malformed: 0,
        next: from,
    };
    let _first_offset = bytes.get_u64();
    while bytes.len() >= LENGTH_BYTES {
        let length = bytes.get_u32() as usize;
        if bytes.len() < length {
            return Err(StoreError::Malformed("truncated record"));
        }
        let record = bytes.split_to(length);
        match decode_record(record, batch.next.offset) {
            Some(record) => batch.records.push(record),
            None => batch.malformed += 1,
        }
        batch.next.offset += 1;
    }
    Ok(batch)
}

fn decode_record(mut record: Bytes, offset: u64) -> Option<KeyedRecord> {
    if record.is_empty() {
        return None;
    }
    let key_length = usize::from(record.get_u8());
    if record.len() < key_length {
        return None;
    }
    let key = record.split_to(key_length);
    Some(KeyedRecord {
        offset,
        key: std::str::from_utf8(&key).ok()?.into(),
        value: (!record.is_empty()).then_some(record),
    })
}
