//! Number of targets to order, by failure domain and kind.
//!
//! The platform may reclaim a reclaimable target at any time. Regular targets
//! cannot be reclaimed, but usually cost more. Enough targets are ordered that the
//! service level is still met after the loss of all reclaimable targets of any one
//! failure domain. Under this condition, the plan uses the mix of reclaimable and
//! regular targets with the lowest cost.
//!
//! `need` computes the required number of targets, and `plan` the cheapest set.

mod need;
mod plan;

pub use need::{NeedWindow, needed_targets};
pub use plan::{
    DomainSupply, Shortage, SpendingLimits, SpendingPlan, SpendingPrices, keep_regular, plan,
    regular_until_replaced,
};
