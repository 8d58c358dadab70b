//! Client of the platform's store, an append-only log of topics.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::Display as DeriveDisplay;
use displaydoc::Display;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::Deserialize;

/// Bytes that precede a record and hold its length.
const LENGTH_BYTES: usize = 4;
/// Bytes that precede the records of a read: the end and the first offset.
const READ_HEAD_BYTES: usize = 16;
/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// A topic whose records have keys. Its newest record of each key is kept.
#[derive(Clone, Copy, Debug, DeriveDisplay, Eq, Hash, PartialEq)]
pub struct Topic(pub &'static str);

/// A record of a keyed topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Offset in the topic.
    pub offset: u64,
    /// Key.
    pub key: Arc<str>,
    /// Value; `None` if the key was dropped.
    pub value: Option<Bytes>,
}

/// Where records were appended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct Appended {
    /// Offset of the first record.
    pub offset: u64,
    /// Offset that the next record will get.
    pub end_offset: u64,
}

/// Records of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadBatch {
    /// Records in the order of their offsets.
    pub records: Vec<KeyedRecord>,
    /// Records that are not in the form of a keyed topic.
    pub malformed: u32,
    /// Offset from which to read next.
    pub next_offset: u64,
    /// Offset that the next record will get.
    pub end_offset: u64,
}

/// The newest record of each key of a topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Newest {
    /// Records, one a key.
    pub records: Vec<KeyedRecord>,
    /// Offset from which later records are read.
    pub next_offset: u64,
}

/// Why a call to the store failed.
#[derive(Debug, Display)]
pub enum StoreError {
    /// no byte of the call was sent: {0}
    NotSent(reqwest::Error),
    /// the call may have been executed: {0}
    Unknown(reqwest::Error),
    /// the topic ends at offset {end_offset}
    EndOffsetMismatch {
        /// Offset at which the topic ends.
        end_offset: u64,
    },
    /// the records before offset {first_offset} are gone
    Trimmed {
        /// First offset that is kept.
        first_offset: u64,
    },
    /// the store answered status {0}
    Status(u16),
    /// the store's answer cannot be read: {0}
    Malformed(&'static str),
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Returns whether the call may have been executed, or still may be.
    #[must_use]
    pub fn may_be_executed(&self) -> bool {
        matches!(self, Self::Unknown(_) | Self::Malformed(_))
    }
}

#[derive(Deserialize)]
struct NewestPage {
    items: Vec<NewestItem>,
    more: bool,
    end_offset: u64,
}

#[derive(Deserialize)]
struct NewestItem {
    key: Arc<str>,
    // Base64.
    value: String,
    offset: u64,
}

#[derive(Deserialize)]
struct EndOffset {
    end_offset: u64,
}

#[derive(Deserialize)]
struct FirstOffset {
    first_offset: u64,
}

/// Client of the store; cheap to clone.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: reqwest::Client,
    base_url: Arc<str>,
    timeout: Duration,
}

impl StoreClient {
    /// Returns a client of the store at `address`; `timeout` bounds the wait
    /// for an answer beyond the wait that a read asks for.
    #[must_use]
    pub fn new(http: reqwest::Client, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http,
            base_url: format!("http://{address}").into(),
            timeout,
        }
    }

    /// Appends a record, if `at` is given only where the topic ends there.
    ///
    /// # Errors
    ///
    /// [`StoreError::EndOffsetMismatch`] if the topic ends elsewhere; other errors may
    /// leave open whether the record was or will be appended.
    pub async fn append(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        at: Option<u64>,
    ) -> Result<Appended, StoreError> {
        self.append_all(topic, &[(key.to_owned(), value.to_vec())], at)
            .await
    }

    /// Appends records together, all or none, as [`StoreClient::append`] does
    /// one.
    ///
    /// # Errors
    ///
    /// Fails as [`StoreClient::append`] does.
    pub async fn append_all(
        &self,
        topic: Topic,
        records: &[(String, Vec<u8>)],
        at: Option<u64>,
    ) -> Result<Appended, StoreError> {
        let mut body = BytesMut::new();
        for (key, value) in records {
            body.extend_from_slice(&encode_record(key, value));
        }
        let mut query = vec![("topic", topic.to_string()), ("part", "0".to_owned())];
        query.extend(at.map(|at| ("at", at.to_string())));
        count_call("append", topic);
        let request = self
            .http
            .post(format!("{}/log-append", self.base_url))
            .query(&query)
            .timeout(self.timeout)
            .body(body.freeze());
        let response = send(request).await?;
        if response.status() == StatusCode::PRECONDITION_FAILED {
            let end: EndOffset = read_json(response).await?;
            return Err(StoreError::EndOffsetMismatch {
                end_offset: end.end_offset,
            });
        }
        read_json(check_status(response)?).await
    }

    /// Reads records from offset `from` on, and waits up to `wait` for one.
    ///
    /// # Errors
    ///
    /// [`StoreError::Trimmed`] if that offset is no longer kept.
    pub async fn read(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> Result<ReadBatch, StoreError> {
        let query = [
            ("topic", topic.to_string()),
            ("part", "0".to_owned()),
            ("from", from.to_string()),
            ("wait_ms", wait.as_millis().to_string()),
        ];
        count_call("read", topic);
        let request = self
            .http
            .get(format!("{}/log-read", self.base_url))
            .query(&query)
            .timeout(self.timeout + wait);
        let response = send(request).await?;
        if response.status() == StatusCode::GONE {
            let first: FirstOffset = read_json(response).await?;
            return Err(StoreError::Trimmed {
                first_offset: first.first_offset,
            });
        }
        let response = check_status(response)?;
        let bytes = response.bytes().await.map_err(StoreError::Unknown)?;
        decode_batch(bytes, from)
    }

    /// Reads the newest record of each key.
    ///
    /// The pages are no snapshot: what changes meanwhile has an offset from
    /// `next_offset` on.
    ///
    /// # Errors
    ///
    /// Fails if a page cannot be read.
    pub async fn newest(&self, topic: Topic) -> Result<Newest, StoreError> {
        let mut newest = Newest {
            records: Vec::new(),
            next_offset: 0,
        };
        let mut after: Option<Arc<str>> = None;
        loop {
            let page = self.newest_page(topic, after.as_deref()).await?;
            if after.is_none() {
                newest.next_offset = page.end_offset;
            }
            for item in page.items {
                let value = STANDARD
                    .decode(item.value)
                    .map_err(|_| StoreError::Malformed("value is not base64"))?;
                after = Some(item.key.clone());
                newest.records.push(KeyedRecord {
                    offset: item.offset,
                    key: item.key,
                    value: Some(value.into()),
                });
            }
            if !page.more {
                return Ok(newest);
            }
        }
    }

    async fn newest_page(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> Result<NewestPage, StoreError> {
        let mut query = vec![("topic", topic.to_string()), ("part", "0".to_owned())];
        query.extend(after.map(|after| ("after", after.to_owned())));
        count_call("newest", topic);
        let request = self
            .http
            .get(format!("{}/log-newest", self.base_url))
            .query(&query)
            .timeout(self.timeout);
        let response = send(request).await?;
        // A topic of ours that nobody has written to does not exist yet.
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(NewestPage {
                items: Vec::new(),
                more: false,
                end_offset: 0,
            });
        }
        read_json(check_status(response)?).await
    }
}

fn count_call(call: &'static str, topic: Topic) {
    metrics::counter!("store_calls_total", "call" => call, "topic" => topic.0).increment(1);
}

async fn send(request: RequestBuilder) -> Result<Response, StoreError> {
    match request.send().await {
        Ok(response) => Ok(response),
        Err(error) if error.is_connect() || error.is_builder() => Err(StoreError::NotSent(error)),
        Err(error) => Err(StoreError::Unknown(error)),
    }
}

fn check_status(response: Response) -> Result<Response, StoreError> {
    if response.status().is_success() {
        return Ok(response);
    }
    Err(StoreError::Status(response.status().as_u16()))
}

async fn read_json<T>(response: Response) -> Result<T, StoreError>
where
    T: serde::de::DeserializeOwned,
{
    let bytes = response.bytes().await.map_err(StoreError::Unknown)?;
    serde_json::from_slice(&bytes).map_err(|_| StoreError::Malformed("unexpected body"))
}

fn encode_record(key: &str, value: &[u8]) -> Bytes {
    let key = &key.as_bytes()[..key.len().min(MAX_KEY_BYTES)];
    let length = 1 + key.len() + value.len();
    let mut record = BytesMut::with_capacity(LENGTH_BYTES + length);
    record.put_u32(length as u32);
    record.put_u8(key.len() as u8);
    record.put_slice(key);
    record.put_slice(value);
    record.freeze()
}

fn decode_batch(mut bytes: Bytes, from: u64) -> Result<ReadBatch, StoreError> {
    if bytes.len() < READ_HEAD_BYTES {
        return Err(StoreError::Malformed("read is too short"));
    }
    let mut batch = ReadBatch {
        end_offset: bytes.get_u64(),
        records: Vec::new(),
        malformed: 0,
        next_offset: from,
    };
    let _first_offset = bytes.get_u64();
    while bytes.len() >= LENGTH_BYTES {
        let length = bytes.get_u32() as usize;
        if bytes.len() < length {
            return Err(StoreError::Malformed("record is cut off"));
        }
        let record = bytes.split_to(length);
        match decode_record(record, batch.next_offset) {
            Some(record) => batch.records.push(record),
            None => batch.malformed += 1,
        }
        batch.next_offset += 1;
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
