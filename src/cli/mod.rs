//! The command line: one file a subcommand.

pub mod standin;
