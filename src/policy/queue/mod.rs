//! Fair queue over client accounts by weighted tokens served.
//!
//! Each account has a counter of the tokens that it was served, divided by its
//! weight; the backlogged account with the lowest counter goes next (a virtual
//! token counter). An account is charged an estimate at dispatch, which
//! [`FairQueue::settle`] corrects by what was served, and
//! [`FairQueue::add_remote`] adds what peers served to it. An account that was
//! idle starts at the counter that was served last, so that it saves up no
//! credit.

mod account;
mod fair;
mod rate;
mod request;

pub use fair::FairQueue;
pub use request::{Popped, QueueError, QueueRequest, QueueSettings, Ticket, cost_tokens};
