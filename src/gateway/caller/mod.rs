//! The caller's side: connections, requests and responses.
//!
//! `connection` serves one connection, whose socket (`crate::intake`) tells whether the caller
//! is there. `server` reads requests and dispatches them by the kind of their route, `reply`
//! builds responses, and `answer_guard` notices requests that are dropped.

pub(in crate::gateway) mod answer_guard;
pub(in crate::gateway) mod connection;
pub(in crate::gateway) mod reply;
pub(in crate::gateway) mod server;
