//! Frames between instances: heartbeats, load changes and log relay.

pub mod digest;
pub mod freshness;
pub mod membership;
pub mod topology;

/// Frames, generated from `proto/peer.proto`.
#[path = "lavenderwind.peer.rs"]
#[allow(missing_docs, unreachable_pub, clippy::all)]
pub mod frames;
