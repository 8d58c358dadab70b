//! Duties that one instance at a time has: usage reports, orders of targets
//! and changes of engines' roles.

mod kept_need;
mod ordering;
mod reports;
mod roles;
mod slices;
mod tenure;

pub(super) use ordering::keep_targets;
pub(super) use reports::report_usage;
pub(super) use roles::keep_roles;
pub(super) use slices::flush_slices;
pub(super) use tenure::{Tenure, hold};
