//! The command line: one file a subcommand.
