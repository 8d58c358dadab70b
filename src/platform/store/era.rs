//! Eras of the store.
//!
//! The store may be restored from an older copy of itself. Records that it had
//! acknowledged since are then lost, and their offsets are given out again. All answers
//! of the store carry the number of restores so far, its era.

use derive_more::Display;
use reqwest::header::HeaderMap;
use tokio::{sync::watch, time::Instant};

/// Header of answers that contains the store's era.
const ERA_HEADER: &str = "Store-Era";

/// Number of bits of [`Position::number`] for the offset.
const OFFSET_BITS: u32 = 32;

/// Offset in a topic. It is the offset of one record only within an era of the store.
///
/// A position of a later era is greater than each one of an earlier era.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{offset} in era {era}")]
pub struct Position {
    /// Era of the store.
    pub era: u64,
    /// Offset in the topic, from 0.
    pub offset: u64,
}

impl Position {
    /// Returns the position as one number, at least 1, which is greater for a greater
    /// position. Offsets must be lower than 2^32.
    ///
    /// ```
    /// use lavenderwind::platform::Position;
    ///
    /// let lost = Position { era: 0, offset: 70 };
    /// let later = Position { era: 1, offset: 50 };
    /// assert!(lost.number() < later.number());
    /// ```
    #[must_use]
    pub fn number(self) -> u64 {
        (self.era << OFFSET_BITS) + self.offset + 1
    }

    /// Returns the position with this [`number`](Self::number); `None` for 0.
    #[must_use]
    pub fn from_number(number: u64) -> Option<Self> {
        let index = number.checked_sub(1)?;
        Some(Self {
            era: index >> OFFSET_BITS,
            offset: index & ((1 << OFFSET_BITS) - 1),
        })
    }
}

/// The latest known era of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreEra {
    /// Number of the era.
    pub number: u64,
    /// When this process first learned of the era; the creation of the client for the
    /// first one. The era began earlier.
    pub seen_at: Instant,
}

/// The latest known era, shared by the clones of a client.
#[derive(Clone, Debug)]
pub(super) struct EraTracker {
    latest: watch::Sender<StoreEra>,
}

impl EraTracker {
    pub(super) fn new() -> Self {
        let first = StoreEra {
            number: 0,
            seen_at: Instant::now(),
        };
        Self {
            latest: watch::Sender::new(first),
        }
    }

    pub(super) fn latest(&self) -> StoreEra {
        *self.latest.borrow()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<StoreEra> {
        self.latest.subscribe()
    }

    /// Returns the era in which an answer with these headers was given, and notes it. An
    /// answer that names no era counts as one of the latest known era.
    pub(super) fn observe(&self, headers: &HeaderMap) -> u64 {
        let Some(value) = headers.get(ERA_HEADER) else {
            return self.latest().number;
        };
        let number = value.to_str().ok().and_then(|text| text.parse().ok());
        let Some(number) = number else {
            tracing::warn!("store: era {value:?} of an answer is not a number");
            return self.latest().number;
        };
        self.note(number);
        number
    }

    /// Notes an era, unless it is known or earlier than the latest known era.
    pub(super) fn note(&self, number: u64) {
        self.latest.send_if_modified(|latest| {
            if number <= latest.number {
                return false;
            }
            tracing::info!(
                era = number,
                known_era = latest.number,
                "store: new era: the store was restored from an older copy, or this is its \
                 first answer"
            );
            metrics::gauge!("store_era").set(number as f64);
            *latest = StoreEra {
                number,
                seen_at: Instant::now(),
            };
            true
        });
    }
}
