//! Decisions of the instance that places the prompts of all instances, the dispatcher.
//!
//! [`Ledger`] holds the outstanding placements of all instances, and thereby the backlog of
//! each engine. [`Preference`] tells an instance which dispatcher to query.

mod ledger;
mod preference;

pub use ledger::{Backlog, Ledger, OutstandingPlacement, PlacementKey, PrefilledPlacement};
pub use preference::Preference;
