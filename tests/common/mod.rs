//! Processes, relays and deployments for tests with separate processes.

// Each test binary uses only some of these items.
#![allow(dead_code, unreachable_pub)]

pub mod cluster;
pub mod process;
pub mod relay;
