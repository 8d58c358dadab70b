//! The platform's append-only log: records, appender and tailer.
//!
//! The appender sends this instance's records in batches, with at most one batch
//! in flight. The tailer reads the records of all instances and folds them, which
//! means that it applies them in offset order to the ledger, this instance's
//! replica of the state that the log defines. An append completes only when the
//! tailer has read the appended record back and folded it.
//!
//! `appender` limits its requests with `append_rate`. `tailer` uses `rebuild` to build
//! the ledger from a checkpoint. `recent` buffers the newest records for peers without
//! a connection to the log. `client` is the HTTP client, and `spawn` starts the tasks.

mod append_rate;
mod appender;
pub mod backoff;
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

pub use append_rate::AppendBudget;
pub use appender::Appender;
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
