//! The platform's append-only log: records, appender and tailer.
//!
//! The appender sends this instance's records in batches, one at a time; the
//! tailer reads all records and folds them into the ledger. An append counts
//! only once the tailer has folded it.

mod appender;
pub mod backoff;
mod budget;
mod client;
mod error;
pub mod queue;
mod rebuild;
mod recent;
mod spawn;
mod tailer;

/// Records of the log, generated from `proto/records.proto`.
#[path = "lavenderwind.records.rs"]
#[allow(missing_docs, unreachable_pub, clippy::all)]
pub mod records;

use derive_more::{Display, From, Into};

pub use appender::Appender;
pub use budget::AppendBudget;
pub use client::LogClient;
pub use error::{Error, Result};
pub use queue::Receipt;
pub use rebuild::Rebuilder;
pub use recent::RecentEntries;
pub use spawn::{Log, LogOptions, spawn};
pub use tailer::{RelayedEntries, TailStatus};

/// Position of a record in the log; offsets start at 1.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct Offset(pub u64);
