//! Role changes of engines and loads of weights.
//!
//! A role is changed only where the goodput that it gains over the horizon
//! exceeds, by a margin, what the fleet loses while the engine changes.

mod capacity;
mod loads;
mod planner;

pub use capacity::{Demand, RoleTarget, served_fraction};
pub use loads::{LoadBudget, LoadCandidate, choose_load};
pub use planner::{RoleChange, RolePlanner, RoleSettings};
