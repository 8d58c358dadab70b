//! The `lavenderwind` binary.

fn main() {}
