//! The gateway: forwards callers' requests to targets.
//!
//! `server` reads a request and converts it into a
//! [`Call`](crate::call::Call); `plain` or `generation` chooses targets and
//! makes attempts; `relay` forwards a target's stream to the caller. `catalog`,
//! `targets` and `members` follow topics of the platform's store. `duty` contains the
//! tasks of the whole fleet, which only one instance performs at a time.
//!
//! The other modules:
//!
//! - Callers: `connection` serves one connection, whose `caller_socket` tells whether the
//!   caller is there, `admission` checks the route and the key of a request, `reply` builds
//!   responses, and `answer_guard` notices requests that are dropped.
//! - Attempts: `attempt` makes one attempt over a connection of `pool`
//!   (`yielding_stream`),
//!   `attempt_history` decides on retries, `crash` detects targets that crash, and
//!   `quarantine` stores which requests crash them.
//! - Choice of engines: `placement` selects the engine that prefills a prompt,
//!   `prefill` runs the prefill there, and `decode` selects the engine that decodes
//!   the answer. `engine_call` makes the gateway's own calls to engines.
//! - Measurements: `notices` keeps what targets say about the requests that they take,
//!   `loads` the load of each target, `in_flight` counts it, `engines` the timing profile
//!   and load of each service's engines, `stream_times` the timing of streams, and
//!   `usage` the counts of started requests.
//! - Store and streams: `follower` reads a topic continuously, and `events` splits
//!   event streams for `relay`.
//! - Process: `run` starts and stops the tasks, `listeners` contains their sockets,
//!   `state` is shared by them, `reload` reloads the settings file, `readiness` serves
//!   readiness checks and metrics, `lag` measures how late tasks run, and `clock` measures
//!   time across suspension of the machine.

mod admission;
mod answer_guard;
mod answer_memory;
mod attempt;
mod attempt_history;
mod caller_socket;
mod catalog;
mod clock;
mod connection;
mod crash;
mod decode;
mod duty;
mod engine_call;
mod engines;
mod events;
mod follower;
mod generation;
mod in_flight;
mod lag;
mod listeners;
mod loads;
mod members;
mod notices;
mod placement;
mod plain;
mod pool;
mod prefill;
mod quarantine;
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
mod yielding_stream;

pub use events::{EventSplitter, Events};
pub use listeners::Listeners;
pub use run::{Error, Result, run};
