//! Topics of the platform's store that an instance follows.
//!
//! `follower` reads a topic continuously, `catalog` follows the configuration, `targets`
//! the list of targets and `members` the announcements of instances. `list_reads` tells when
//! the list of targets is read in a large fleet.

pub(in crate::gateway) mod catalog;
pub(in crate::gateway) mod follower;
mod list_reads;
pub(in crate::gateway) mod members;
pub(in crate::gateway) mod targets;
