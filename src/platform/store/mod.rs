//! Client of the platform's store, which has an append-only log for each topic.

mod call;
mod error;
mod records;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::BytesMut;
use derive_more::Display;
use reqwest::StatusCode;
use serde::Deserialize;

use self::{
    call::call,
    records::{decode_batch, encode_record},
};
pub use self::{
    error::StoreError,
    records::{KeyedRecord, ReadBatch},
};

/// Key that sorts after all others.
const LAST_KEY: &str = "\u{10ffff}";

/// Name of a topic with keyed records. The store always keeps the newest record
/// of each key.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub struct Topic(pub &'static str);

/// Result of an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct Appended {
    /// Offset of the first appended record.
    pub offset: u64,
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
    /// Size of the answers, in bytes.
    pub received_bytes: u64,
}

#[derive(Default, Deserialize)]
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
        let request = self
            .http
            .post(format!("{}/log-append", self.base_url))
            .query(&query)
            .timeout(self.timeout)
            .body(body.freeze());
        let answer = call("append", topic, request).await?;
        if answer.status == StatusCode::PRECONDITION_FAILED {
            let end: EndOffset = answer.json()?;
            return Err(StoreError::EndOffsetMismatch {
                end_offset: end.end_offset,
            });
        }
        answer.into_success()?.json()
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
        let request = self
            .http
            .get(format!("{}/log-read", self.base_url))
            .query(&query)
            .timeout(self.timeout + wait);
        let answer = call("read", topic, request).await?;
        if answer.status == StatusCode::GONE {
            let first: FirstOffset = answer.json()?;
            return Err(StoreError::Trimmed {
                first_offset: first.first_offset,
            });
        }
        decode_batch(answer.into_success()?.body, from)
    }

    /// Asks for the newest records after the last possible key, to learn whether the
    /// store answers. The answer is small, whatever the topic holds.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time, or with an error.
    pub async fn probe(&self, topic: Topic) -> Result<(), StoreError> {
        let page = self.newest_page(topic, Some(LAST_KEY), self.timeout).await;
        page.map(drop)
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
        self.newest_within(topic, self.timeout).await
    }

    /// Reads the newest record of each key as [`StoreClient::newest`] does, with
    /// another time limit for each page.
    ///
    /// # Errors
    ///
    /// Fails as [`StoreClient::newest`] does.
    pub async fn newest_within(
        &self,
        topic: Topic,
        page_time_limit: Duration,
    ) -> Result<Newest, StoreError> {
        let mut newest = Newest {
            records: Vec::new(),
            next_offset: 0,
            received_bytes: 0,
        };
        let mut after: Option<Arc<str>> = None;
        loop {
            let (page, received_bytes) = self
                .newest_page(topic, after.as_deref(), page_time_limit)
                .await?;
            newest.received_bytes += received_bytes;
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

    /// Reads one page of the newest records, and returns it with its size in bytes.
    async fn newest_page(
        &self,
        topic: Topic,
        after: Option<&str>,
        time_limit: Duration,
    ) -> Result<(NewestPage, u64), StoreError> {
        let mut query = vec![("topic", topic.to_string()), ("part", "0".to_owned())];
        query.extend(after.map(|after| ("after", after.to_owned())));
        let request = self
            .http
            .get(format!("{}/log-newest", self.base_url))
            .query(&query)
            .timeout(time_limit);
        let answer = call("newest", topic, request).await?;
        // A topic that only gateways write does not exist before the first record is
        // appended.
        if answer.status == StatusCode::NOT_FOUND {
            return Ok((NewestPage::default(), 0));
        }
        let answer = answer.into_success()?;
        Ok((answer.json()?, answer.body.len() as u64))
    }
}
