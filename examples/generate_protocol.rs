//! Generates the committed protocol code from the files in `proto/`.
//!
//! Run with `cargo run --features generate --example generate_protocol`.

use std::error::Error;

/// Protocol files and the folders for their generated code.
const PROTOCOLS: [(&str, &str); 3] = [
    ("proto/records.proto", "src/log"),
    ("proto/peer.proto", "src/peer"),
    ("proto/dispatch.proto", "src/gateway/dispatch"),
];

fn main() -> Result<(), Box<dyn Error>> {
    for (source, folder) in PROTOCOLS {
        let descriptors = protox::compile([source], ["proto"])?;
        prost_build::Config::new()
            .out_dir(folder)
            .compile_fds(descriptors)?;
    }
    Ok(())
}
