//! Processes, relays and deployments for tests of failures.

// Each test file uses a part of these.
#![allow(dead_code, unreachable_pub)]

pub mod cluster;
pub mod process;
pub mod relay;
