//! The gateway: forwards callers' requests to targets.
//!
//! `server` reads a request and converts it into a
//! [`Call`](crate::call::Call); `plain` or `generation` chooses targets and
//! makes attempts; `relay` forwards a target's stream to the caller. `catalog`,
//! `targets` and `members` follow topics of the platform's store. `duty` contains the
//! tasks of the whole fleet, which only one instance performs at a time.

mod admission;
mod attempt;
mod attempt_history;
mod catalog;
mod clock;
mod connection;
mod decode;
mod duty;
mod engine_call;
mod engines;
mod events;
mod follower;
mod generation;
mod loads;
mod members;
mod placement;
mod plain;
mod pool;
mod prefill;
mod readiness;
mod relay;
mod reload;
mod reply;
mod run;
mod server;
mod state;
mod stream_times;
mod targets;
mod usage;

pub use events::{EventSplitter, Events};
pub use run::{Error, Listeners, Result, run};
