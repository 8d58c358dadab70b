//! Worst-served account while another floods.
pub(crate) fn compare() {}
