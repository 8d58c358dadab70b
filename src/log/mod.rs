//! The platform's append-only log: records, appender and tailer.

/// Records of the log, generated from `proto/records.proto`.
#[path = "lavenderwind.records.rs"]
#[allow(missing_docs, unreachable_pub, clippy::all)]
pub mod records;

use derive_more::{Display, From, Into};

/// Position of a record in the log; offsets start at 1.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct Offset(pub u64);
