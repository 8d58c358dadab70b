//! Role changes of engines and loading of model weights.
//!
//! A role is changed only if the share of the demand that is additionally served
//! over the planning horizon exceeds the share lost while the engine is changing, by
//! a margin.
//!
//! `planner` plans the role changes from the throughput model in `capacity`;
//! `weight_loads` plans the loading of model weights.

mod capacity;
mod planner;
mod weight_loads;

pub use capacity::{RoleTarget, TokenDemand, served_fraction};
pub use planner::{RoleChange, RolePlanner, RoleSettings};
pub use weight_loads::{WeightLoadBudget, WeightLoadCandidate, choose_weight_load};
