//! Duties that one instance at a time has: usage reports, orders of targets
//! and changes of engines' roles.

mod duty_lease;
mod kept_need;
mod ordering;
mod reports;
mod roles;
mod slices;

pub(super) use duty_lease::{DutyLease, hold};
pub(super) use ordering::keep_targets;
pub(super) use reports::report_usage;
pub(super) use roles::keep_roles;
pub(super) use slices::flush_slices;
