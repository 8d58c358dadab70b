//! Orders for targets by failure domain and kind.
//!
//! Enough targets are ordered that losing the reclaimable ones of any one
//! failure domain leaves what the service level needs; within that, as much as
//! is cheapest runs on reclaimable targets.

mod need;
mod plan;

pub use need::{NeedWindow, needed_targets};
pub use plan::{
    DomainSupply, Shortage, SpendingLimits, SpendingPlan, SpendingPrices, keep_regular, plan,
    release,
};
