//! Duties that one instance at a time has: usage reports, orders of targets
//! and changes of engines' roles.

mod duty_lease;
mod ordering;
mod reports;
mod required_capacity;
mod roles;
mod slices;

pub(super) use duty_lease::{DutyLease, maintain_lease};
pub(super) use ordering::maintain_targets;
pub(super) use reports::report_usage;
pub(super) use roles::maintain_roles;
pub(super) use slices::flush_slices;
