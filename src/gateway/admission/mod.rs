//! Admission of requests: whether a request may be forwarded at all.
//!
//! `permit` resolves the route of a request and checks the caller's API key.

pub(in crate::gateway) mod permit;
