//! Admission of requests: whether a request may be forwarded at all.
//!
//! `permit` resolves the route of a request and checks the caller's API key, `quota`
//! limits the rate of each client account over all instances.

pub(in crate::gateway) mod permit;
pub(in crate::gateway) mod quota;
