//! Duties that only one instance performs at a time: reporting usage, ordering
//! targets and assigning roles to engines.
//!
//! A duty is a task of the whole fleet. The instance that holds the one
//! [`DutyLease`] performs all duties.
//!
//! `ordering` orders targets, which `target_counts` counts, and stores the required capacity with
//! `required_capacity`. `roles` assigns roles to engines. Every instance writes its
//! request counts to the store with `slices`; `reports` reports their sums to the
//! platform, from what `usage_records` holds. `lease_claims` claims and renews the lease.

mod duty_lease;
mod lease_claims;
mod ordering;
mod reports;
mod required_capacity;
mod roles;
mod slices;
mod target_counts;
mod usage_records;

pub(super) use duty_lease::{DutyLease, unacknowledged_limit};
pub(super) use lease_claims::maintain_lease;
pub(super) use ordering::maintain_targets;
pub(super) use reports::report_usage;
pub(super) use roles::maintain_roles;
pub(super) use slices::{flush_slices, kept_windows};
