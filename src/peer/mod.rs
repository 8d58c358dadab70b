//! Frames between instances: membership, freshness, loads and log relay.
//!
//! Nothing here decides what instances agree on: that is the log's matter.
//! Peers tell each other what they have read, what they have in flight and
//! what they served, and relay records of the log to those that are cut off
//! from it. [`topology`] says who talks with whom.

mod connection;
mod dial;
pub mod digest;
mod error;
mod frame;
pub mod freshness;
mod handle;
mod heartbeat;
mod link;
mod live_list;
mod load;
pub mod membership;
mod quarantine;
mod relay;
mod shared;
mod spawn;
mod state;
pub mod topology;
mod upkeep;
mod usage;
mod usage_holder;

/// Frames, generated from `proto/peer.proto`.
#[path = "lavenderwind.peer.rs"]
#[allow(missing_docs, unreachable_pub, clippy::all)]
pub mod frames;

pub use digest::{Served, TargetLoad};
pub use error::{Error, Result};
pub use frame::{MAX_FRAME_BYTES, SentFrames};
pub use freshness::{Freshness, Quorum};
pub use handle::PeerHandle;
pub use heartbeat::{
    BASE_HEARTBEAT_BYTES, HEARTBEAT_BYTES_PER_S, heartbeat_interval, max_change_bytes,
};
pub use live_list::list_interval;
pub use membership::PeerState;
pub use shared::{PeerLog, PeerOptions};
pub use spawn::{PeerInputs, Peers, join, spawn};
pub use topology::MAX_MESH_INSTANCES;
pub use usage::{Source, UsageCopies};
