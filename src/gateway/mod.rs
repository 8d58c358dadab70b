//! Forwards callers' requests to targets.
//!
//! A request walks one way: [`front`](self) reads it and turns it into a
//! [`Call`](crate::call::Call); `plain` or `generation` chooses targets and
//! makes attempts; `relay` brings a stream back. What it takes from outside,
//! the configuration and the list of targets, is followed by `follow`.

mod admission;
mod attempt;
mod connection;
mod decode;
mod events;
mod follow;
mod front;
mod generation;
mod loads;
mod plain;
mod pool;
mod prefill;
mod readiness;
mod relay;
mod reply;
mod run;
mod state;
mod usage;

pub use events::{EventSplitter, Events};
pub use run::{Error, Result, run};
