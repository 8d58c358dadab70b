//! The platform's append-only log: records, appender and tailer.
//!
//! The appender sends this instance's records in batches, with at most one batch
//! in flight. The tailer reads the records of all instances and folds them into
//! the ledger. An append completes only when the tailer has folded its record.

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

/// Record types, generated from `proto/records.proto`.
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

/// Position of a record in the log. Offsets start at 1; 0 precedes all records.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct Offset(pub u64);
