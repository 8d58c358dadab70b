//! Division of a total between instances by demand.
//!
//! The total is the number of a target's KV cache blocks or an account's limit.
//! [`divide`] and [`fair_demand`] compute the share that each instance should
//! have. [`SharedQuota`] transfers shares between instances such that their sum
//! never exceeds the total.
//!
//! [`FleetLimit`] bounds a rate over many instances, of which each only knows the sum of the
//! others' usage.

mod divide;
mod fleet_limit;
mod heard;
mod quota;
mod usage_window;

pub use divide::{AccountDemand, Claimant, KnownUsage, divide, estimate_share, fair_demand};
pub use fleet_limit::{FleetLimit, Limit, OverLimit, Reach};
pub use heard::HeardInstances;
pub use quota::{ShareReport, SharedQuota};
