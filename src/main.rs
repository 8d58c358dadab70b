//! The `lavenderwind` binary.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    lavenderwind::cli::main().await
}
