//! Generates the protocol code.

use std::path::{Path, PathBuf};

/// Generates the code into `folder`, or into `micaspool-wire` if `None`.
pub(crate) fn write(folder: Option<PathBuf>) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let target = folder.unwrap_or_else(|| root.join("crates/micaspool-wire/src/generated"));
    let files =
        protox::compile(["micaspool.proto"], [root.join("proto")]).expect("the protocol file is valid");
    tonic_prost_build::configure()
        .out_dir(&target)
        .compile_fds(files)
        .expect("the target folder can be written");
}
