//! What instances tell each other about targets and about requests that crash them.
//!
//! `target_notices` keeps what targets say in their answers about the requests that they
//! take, and `quarantine` stores which requests crash targets.

pub(in crate::gateway) mod quarantine;
pub(in crate::gateway) mod target_notices;
