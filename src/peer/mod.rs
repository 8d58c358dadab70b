//! Peer-to-peer protocol between instances: membership, freshness of the known
//! configuration, target loads and log relay.
//!
//! Only the log is authoritative for shared state. Peers exchange their log offsets,
//! their load on each target and the tokens that they served, and relay log records to
//! instances that cannot reach the log. [`topology`] determines which instances are
//! connected.
//!
//! - Connections: `dial` opens and accepts them, `connection` runs one of them,
//!   `frame` encodes its frames, and `link` is its state.
//! - State: `shared` is shared by all tasks and contains `state`. `linking` updates the known
//!   instances and the links to them, and `reachability` tracks which of these respond.
//!   `load` sums up the reported loads, `usage` keeps copies of other instances' usage
//!   slices, `unflushed_usage` this instance's slices, `quarantine` the requests that the
//!   log quarantines, `suspects` those that reported crashes do, and `notices` what targets
//!   say in their answers. `target_list` compares the known lists of targets. `reports` are
//!   those of crashes and notices that are sent to peers.
//! - Changes in heartbeats: `delta` encodes and decodes them. `pending_amounts` are those that
//!   wait to be sent, `packed_amounts` encodes those that may be sent in parts, and
//!   `byte_budget` limits the size.
//! - Tasks: `heartbeat` builds heartbeats, `relay` relays log records, `live_list`
//!   polls the platform's list of instances, `upkeep` does periodic maintenance, and
//!   `spawn` starts the tasks.
//! - `handle` is the interface to the rest of an instance.

mod byte_budget;
mod connection;
pub mod delta;
mod dial;
mod error;
mod frame;
pub mod freshness;
mod handle;
mod heartbeat;
mod link;
mod linking;
mod live_list;
mod load;
pub mod membership;
mod notices;
mod packed_amounts;
mod pending_amounts;
mod quarantine;
mod reachability;
mod relay;
mod reports;
mod shared;
mod spawn;
mod state;
mod suspects;
pub mod target_list;
pub mod topology;
mod unflushed_usage;
mod upkeep;
mod usage;

/// Protobuf messages generated from `proto/peer.proto`.
#[path = "lavenderwind.peer.rs"]
#[allow(missing_docs, unreachable_pub, clippy::all)]
pub mod frames;

pub use delta::{PeerAmount, TargetLoad};
pub use error::{Error, Result};
pub use frame::{MAX_FRAME_BYTES, SentFrames};
pub use frames::TargetNotice;
pub use freshness::{Freshness, Quorum};
pub use handle::PeerHandle;
pub use heartbeat::{
    BASE_HEARTBEAT_BYTES, HEARTBEAT_BYTES_PER_S, heartbeat_interval, max_change_bytes,
};
pub use live_list::list_interval;
pub use membership::PeerState;
pub use shared::{PeerLog, PeerOptions};
pub use spawn::{PeerInputs, Peers, spawn, spawn_without_live_list};
pub use suspects::{SentFingerprint, TargetCrash};
pub use target_list::{ListComparison, ListCopy};
pub use topology::{MAX_MESH_INSTANCES, rendezvous_order};
pub use usage::{Source, UsageCopies};
