//! Decisions: pure functions of their inputs, with time as an argument.
