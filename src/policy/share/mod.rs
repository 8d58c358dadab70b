//! Shares of a common quantity between instances, moved by demand.
//!
//! The quantity is a target's blocks of KV cache or an account's limit.
//! [`divide`] and [`fair_demand`] say who should hold how much;
//! [`SharedQuota`] moves it without the sum ever exceeding the total.

mod divide;
mod quota;

pub use divide::{AccountDemand, Claimant, KnownUse, divide, estimate_share, fair_demand};
pub use quota::{ShareReport, SharedQuota};
