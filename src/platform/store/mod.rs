//! Client of the platform's store, which has an append-only log for each topic.

mod answers;
mod call;
mod era;
mod error;
mod outcomes;
mod records;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::BytesMut;
use derive_more::Display;
use reqwest::StatusCode;
use tokio::sync::watch;

use self::{
    answers::{AppendedOffsets, EndOffset, FirstOffset, NewestContent},
    call::call,
    era::EraTracker,
    outcomes::OutcomeTracker,
    records::{decode_batch, encode_record},
};
pub use self::{
    era::{Position, StoreEra},
    error::StoreError,
    outcomes::CallOutcomes,
    records::{KeyedRecord, ReadBatch},
};
use crate::policy::store_outage::Recovery;

/// Key that sorts after all others.
const LAST_KEY: &str = "\u{10ffff}";

/// Name of a topic with keyed records. The store always keeps the newest record
/// of each key.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub struct Topic(pub &'static str);

/// Result of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Appended {
    /// Position of the first appended record.
    pub first: Position,
    /// Position that the next record will get.
    pub end: Position,
}

/// The newest record of each key of a topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Newest {
    /// Records, one for each key.
    pub records: Vec<KeyedRecord>,
    /// Position from which to read later records.
    pub next: Position,
    /// Size of the answers, in bytes.
    pub received_bytes: u64,
}

/// One page of the newest records.
struct NewestPage {
    content: NewestContent,
    /// End of the topic.
    end: Position,
    received_bytes: u64,
}

/// Client of the store. Clones share the connections.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: reqwest::Client,
    /// Client that opens a new connection for each call; `None` if there is none.
    unpooled: Option<reqwest::Client>,
    base_url: Arc<str>,
    timeout: Duration,
    eras: EraTracker,
    outcomes: OutcomeTracker,
}

impl StoreClient {
    /// Creates a client of the store at `address`. `timeout` is the time limit of each
    /// HTTP request; that of a read is extended by the time for which the read asks the
    /// store to wait.
    #[must_use]
    pub fn new(http: reqwest::Client, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http,
            unpooled: None,
            base_url: format!("http://{address}").into(),
            timeout,
            eras: EraTracker::new(),
            outcomes: OutcomeTracker::new(),
        }
    }

    /// Sets a client without kept connections for [`StoreClient::read_anew`].
    #[must_use]
    pub fn with_unpooled(mut self, unpooled: reqwest::Client) -> Self {
        self.unpooled = Some(unpooled);
        self
    }

    /// Returns the latest known era of the store.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.eras.latest()
    }

    /// Returns a channel of the latest known era of the store.
    #[must_use]
    pub fn watch_era(&self) -> watch::Receiver<StoreEra> {
        self.eras.subscribe()
    }

    /// Returns when the latest outage of the store ended, by the calls of this process; `None`
    /// if there was no outage.
    #[must_use]
    pub fn recovery(&self) -> Option<Recovery> {
        self.outcomes.recovery()
    }

    /// Returns the time limit of each HTTP request.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Returns a channel of the latest outcomes of calls.
    #[must_use]
    pub fn watch_outcomes(&self) -> watch::Receiver<CallOutcomes> {
        self.outcomes.subscribe()
    }

    /// Sets whether the topics share their retries while the store does not answer.
    pub fn share_retries(&self, shares: bool) {
        self.outcomes.share_retries(shares);
    }

    /// Notes an era that another instance has seen.
    pub fn note_era(&self, number: u64) {
        self.eras.note(number);
    }

    /// Appends a record. If `at` is given, the store appends the record only if `at`
    /// is the topic's end.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::EndOffsetMismatch`] if the topic's end offset is
    /// not `at`, and [`StoreError::Restored`] if `at` is of another era than the answer or
    /// than the latest known one. In the first of these cases, the record may have been
    /// appended at the same offset of the later era. Other errors may leave open whether the record was or will be
    /// appended; see [`StoreError::may_be_executed`].
    pub async fn append(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        at: Option<Position>,
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
        at: Option<Position>,
    ) -> Result<Appended, StoreError> {
        if at.is_some_and(|at| at.era < self.era().number) {
            return Err(StoreError::Restored);
        }
        let mut body = BytesMut::new();
        for (key, value) in records {
            body.extend_from_slice(&encode_record(key, value));
        }
        let mut query = vec![("topic", topic.to_string()), ("part", "0".to_owned())];
        query.extend(at.map(|at| ("at", at.offset.to_string())));
        let request = self
            .http
            .post(format!("{}/log-append", self.base_url))
            .query(&query)
            .timeout(self.timeout)
            .body(body.freeze());
        let mut answer = call("append", topic, request, &self.eras, &self.outcomes).await?;
        if let Some(at) = at {
            answer = answer.of_era(at.era)?;
        }
        if answer.status == StatusCode::PRECONDITION_FAILED {
            let end: EndOffset = answer.json()?;
            return Err(StoreError::EndOffsetMismatch {
                end_offset: end.end_offset,
            });
        }
        let answer = answer.into_success()?;
        let offsets: AppendedOffsets = answer.json()?;
        let position = |offset| Position {
            era: answer.era,
            offset,
        };
        Ok(Appended {
            first: position(offsets.offset),
            end: position(offsets.end_offset),
        })
    }

    /// Reads the records from position `from` on, and waits up to `wait` if there are
    /// none.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Trimmed`] if the record at `from` was trimmed, and
    /// [`StoreError::Restored`] if `from` is of an earlier era than the answer.
    pub async fn read(
        &self,
        topic: Topic,
        from: Position,
        wait: Duration,
    ) -> Result<ReadBatch, StoreError> {
        self.read_with(&self.http, topic, from, wait).await
    }

    /// Reads the records from position `from` on without waiting, on a new connection if there
    /// is a client without kept ones. A kept connection may be silent.
    ///
    /// # Errors
    ///
    /// Fails as [`StoreClient::read`] does.
    pub async fn read_anew(&self, topic: Topic, from: Position) -> Result<ReadBatch, StoreError> {
        let http = self.unpooled.as_ref().unwrap_or(&self.http);
        self.read_with(http, topic, from, Duration::ZERO).await
    }

    async fn read_with(
        &self,
        http: &reqwest::Client,
        topic: Topic,
        from: Position,
        wait: Duration,
    ) -> Result<ReadBatch, StoreError> {
        let query = [
            ("topic", topic.to_string()),
            ("part", "0".to_owned()),
            ("from", from.offset.to_string()),
            ("wait_ms", wait.as_millis().to_string()),
        ];
        let request = http
            .get(format!("{}/log-read", self.base_url))
            .query(&query)
            .timeout(self.timeout + wait);
        let answer = call("read", topic, request, &self.eras, &self.outcomes).await?;
        let answer = answer.of_era(from.era)?;
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
    /// Records appended during the read have positions from `next` on.
    ///
    /// # Errors
    ///
    /// Fails if a page cannot be read or decoded, and with [`StoreError::Restored`] if the
    /// pages are of different eras, or of one before the latest known era.
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
        let mut records = Vec::new();
        let mut received_bytes = 0;
        let mut next: Option<Position> = None;
        let mut after: Option<Arc<str>> = None;
        loop {
            let page = self
                .newest_page(topic, after.as_deref(), page_time_limit)
                .await?;
            received_bytes += page.received_bytes;
            let next = *next.get_or_insert(page.end);
            if page.end.era != next.era || page.end.era < self.era().number {
                return Err(StoreError::Restored);
            }
            for item in page.content.items {
                let value = STANDARD
                    .decode(item.value)
                    .map_err(|_| StoreError::Malformed("value is not base64"))?;
                after = Some(item.key.clone());
                records.push(KeyedRecord {
                    offset: item.offset,
                    key: item.key,
                    value: Some(value.into()),
                });
            }
            if !page.content.more {
                return Ok(Newest {
                    records,
                    next,
                    received_bytes,
                });
            }
        }
    }

    /// Reads one page of the newest records.
    async fn newest_page(
        &self,
        topic: Topic,
        after: Option<&str>,
        time_limit: Duration,
    ) -> Result<NewestPage, StoreError> {
        let mut query = vec![("topic", topic.to_string()), ("part", "0".to_owned())];
        query.extend(after.map(|after| ("after", after.to_owned())));
        let request = self
            .http
            .get(format!("{}/log-newest", self.base_url))
            .query(&query)
            .timeout(time_limit);
        let answer = call("newest", topic, request, &self.eras, &self.outcomes).await?;
        let era = answer.era;
        // A topic that only gateways write does not exist before the first record is
        // appended.
        let (content, received_bytes) = match answer.status {
            StatusCode::NOT_FOUND => (NewestContent::default(), 0),
            _ => {
                let answer = answer.into_success()?;
                (answer.json()?, answer.body.len() as u64)
            }
        };
        let end = Position {
            era,
            offset: content.end_offset,
        };
        Ok(NewestPage {
            content,
            end,
            received_bytes,
        })
    }
}
