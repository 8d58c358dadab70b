//! The `lavenderwind` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    lavenderwind::cli::main()
}
