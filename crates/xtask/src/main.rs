//! Developers only: writes the committed protocol code of `micaspool-wire` from `proto/`.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

use std::path::PathBuf;

/// Generates into the folder given as the first argument, or into `micaspool-wire` itself.
fn main() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let target = match std::env::args().nth(1) {
        Some(folder) => PathBuf::from(folder),
        None => root.join("crates/micaspool-wire/src/generated"),
    };
    let files =
        protox::compile(["micaspool.proto"], [root.join("proto")]).expect("the protocol file is valid");
    tonic_prost_build::configure()
        .out_dir(&target)
        .compile_fds(files)
        .expect("the target folder can be written");
}
