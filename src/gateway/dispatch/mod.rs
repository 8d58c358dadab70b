//! Shared placement: one instance at a time, the dispatcher, places the prompts of a service
//! for all instances.
//!
//! The dispatcher knows each outstanding prompt of the fleet and what each engine has cached,
//! which an instance that sees a small part of the requests does not. It is the first live
//! instance in rendezvous order of the service's name. All that it keeps can be lost: an
//! instance whose query is not answered in time decides alone, and each instance sends its
//! outstanding placements again when another instance becomes dispatcher.
//!
//! `client` queries the dispatcher (`query`) and reports to it (`ticket`), `server` receives
//! datagrams (`datagram`), and `planner` places prompts by what `service_plan` knows and by the
//! decisions in [`crate::policy::dispatch`] and [`crate::policy::placement`].

mod client;
mod datagram;
mod planner;
mod query;
mod server;
mod service_plan;
mod ticket;

/// Protobuf messages generated from `proto/dispatch.proto`.
#[path = "lavenderwind.dispatch.rs"]
#[allow(missing_docs, unreachable_pub, clippy::all)]
mod frames;

pub(in crate::gateway) use client::{Dispatch, QueryOutcome};
pub(in crate::gateway) use server::serve;
pub(in crate::gateway) use ticket::Ticket;
