//! Role changes of engines and loading of model weights.
//!
//! A role is changed only if the goodput gained over the planning horizon
//! exceeds the goodput lost while the engine is changing, by a margin.

mod capacity;
mod loads;
mod planner;

pub use capacity::{Demand, RoleTarget, served_fraction};
pub use loads::{LoadBudget, LoadCandidate, choose_load};
pub use planner::{RoleChange, RolePlanner, RoleSettings};
