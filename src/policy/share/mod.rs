//! Division of a total between instances by demand.
//!
//! The total is the number of a target's KV cache blocks or an account's limit.
//! [`divide`] and [`fair_demand`] compute the share that each instance should
//! have. [`SharedQuota`] transfers shares between instances such that their sum
//! never exceeds the total.

mod divide;
mod quota;

pub use divide::{AccountDemand, Claimant, KnownUsage, divide, estimate_share, fair_demand};
pub use quota::{ShareReport, SharedQuota};
