//! The gateway: forwards callers' requests to targets.
//!
//! A request passes through the modules in this order:
//!
//! - `caller` reads it and converts it into a [`Call`](crate::call::Call),
//! - `admission` decides whether it is forwarded,
//! - `engine` places it on engines and forwards the stream of its answer, or `target`
//!   sends it to a target and buffers the answer,
//! - `target` makes the attempts, and keeps what is known about each target.
//!
//! If the settings ask for shared placement, `dispatch` lets one instance place the prompts
//! of all.
//!
//! The other modules:
//!
//! - `notices` contains what instances tell each other about targets and about requests
//!   that crash them.
//! - `store` follows topics of the platform's store, and `duty` contains the tasks of the
//!   whole fleet, which only one instance performs at a time.
//! - `run` starts the tasks and `stop` ends them, `listeners` contains their sockets, `state` is
//!   shared by them, `reload` reloads the settings file, `readiness` serves readiness
//!   checks and metrics, `destination` tells where a request would go, `usage` counts started requests, `lag` measures how late tasks
//!   run, and `clock` measures time across suspension of the machine.

mod admission;
mod caller;
mod clock;
mod destination;
mod dispatch;
mod duty;
mod engine;
mod lag;
mod listeners;
mod notices;
mod readiness;
mod reload;
mod run;
mod state;
mod stop;
mod store;
mod target;
mod usage;

pub use engine::events::{EventSplitter, Events};
pub use listeners::Listeners;
pub use run::{Error, Result, run};
