//! Fair queue over client accounts, weighted by tokens served.
//!
//! The queue implements virtual token counters. Each account counts the tokens
//! served to it, divided by its weight, and the backlogged account with the
//! lowest counter is served next. Dispatch charges an estimate, which
//! [`FairQueue::adjust_charge`] replaces by the actual cost;
//! [`FairQueue::charge_for_peers`] charges an account for the tokens that peers
//! served to it. When an idle account queues a request, its counter is raised to
//! that of the account served last, so that an account gains no credit while it is
//! idle.
//!
//! `fair` implements the queue, `account` is its state of one account, `rate` measures
//! its drain rate, and `request` contains its requests, settings and results.

mod account;
mod fair;
mod rate;
mod request;

pub use fair::FairQueue;
pub use request::{DequeuedRequest, QueueError, QueueRequest, QueueSettings, Ticket, cost_tokens};
