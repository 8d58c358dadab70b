//! Client of the platform's store, which has an append-only log for each topic.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::Display as DeriveDisplay;
use displaydoc::Display;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::Deserialize;

/// Size of the length prefix of a record, in bytes.
const LENGTH_BYTES: usize = 4;
/// Size of the head of a read's answer, in bytes: the end offset and the first
/// offset.
const READ_HEAD_BYTES: usize = 16;
/// Maximum length of a key, in bytes. Longer keys are truncated.
const MAX_KEY_BYTES: usize = 255;

/// Name of a topic with keyed records. The store always keeps the newest record
/// of each key.
#[derive(Clone, Copy, Debug, DeriveDisplay, Eq, Hash, PartialEq)]
pub struct Topic(pub &'static str);

/// A record of a keyed topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Offset in the topic, from 0.
    pub offset: u64,
    /// Key of the record.
    pub key: Arc<str>,
    /// Value; `None` if the record deletes the key.
    pub value: Option<Bytes>,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct Appended {
    /// Offset of the first appended record.
    pub offset: u64,
    /// Offset that the next record will get.
    pub end_offset: u64,
}

/// Result of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadBatch {
    /// Records in offset order.
    pub records: Vec<KeyedRecord>,
    /// Number of records that could not be decoded as keyed records.
    pub malformed: u32,
    /// Offset to read next.
    pub next_offset: u64,
    /// Offset that the next record will get.
    pub end_offset: u64,
}

/// The newest record of each key of a topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Newest {
    /// Records, one for each key.
    pub records: Vec<KeyedRecord>,
    /// Offset from which to read later records.
    pub next_offset: u64,
}

/// Error of a call to the store.
#[derive(Debug, Display)]
pub enum StoreError {
    /// the call to the store was not sent: {0}
    NotSent(reqwest::Error),
    /// the outcome of the call to the store is unknown: {0}
    Unknown(reqwest::Error),
    /// the topic ends at offset {end_offset}
    EndOffsetMismatch {
        /// Offset at which the topic ends.
        end_offset: u64,
    },
    /// the records before offset {first_offset} were trimmed
    Trimmed {
        /// First offset that the store still has.
        first_offset: u64,
    },
    /// the store answered status {0}
    Status(u16),
    /// malformed answer from the store: {0}
    Malformed(&'static str),
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Returns whether the store may have executed the call or may still
    /// execute it.
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

/// Client of the store. Clones share the connections.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: reqwest::Client,
    base_url: Arc<str>,
    timeout: Duration,
}

impl StoreClient {
    /// Creates a client of the store at `address`. `timeout` is the time limit of each
    /// HTTP request; that of a read is extended by the time for which the read asks the
    /// store to wait.
    #[must_use]
    pub fn new(http: reqwest::Client, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http,
            base_url: format!("http://{address}").into(),
            timeout,
        }
    }

    /// Appends a record. If `at` is given, the store appends the record only if `at`
    /// is the topic's end offset.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::EndOffsetMismatch`] if the topic's end offset is
    /// not `at`. Other errors may leave open whether the record was or will be
    /// appended; see [`StoreError::may_be_executed`].
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

    /// Appends several records atomically, under the same condition as
    /// [`StoreClient::append`].
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

    /// Reads the records from offset `from` on, and waits up to `wait` if there are
    /// none.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Trimmed`] if the record at `from` was trimmed.
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
    /// The records are read in several pages, which are not a consistent snapshot.
    /// Records appended during the read have offsets from `next_offset` on.
    ///
    /// # Errors
    ///
    /// Fails if a page cannot be read or decoded.
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
        // A topic that only gateways write does not exist before the first record is
        // appended.
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
        return Err(StoreError::Malformed(
            "answer to a read is shorter than its head",
        ));
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
            return Err(StoreError::Malformed("truncated record"));
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
