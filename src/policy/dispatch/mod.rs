//! Decisions of the instance that places the prompts of all instances, the dispatcher.
//!
//! [`Ledger`] holds the outstanding placements of all instances, and thereby the backlog of
//! each engine. [`Preference`] tells an instance which dispatcher to query, and [`OpenQueries`]
//! which answers it accepts.

mod ledger;
mod open_queries;
mod preference;

pub use ledger::{Backlog, Ledger, OutstandingPlacement, PlacementKey, PrefilledPlacement};
pub use open_queries::{IgnoredAnswer, OpenQueries};
pub use preference::Preference;
