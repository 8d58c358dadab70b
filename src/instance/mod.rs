//! An entry instance: wires the parts together under a supervisor tree.

pub mod status;
