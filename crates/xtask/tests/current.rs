//! The committed protocol code is up to date with `proto/`.

use std::path::Path;
use std::process::Command;

#[test]
fn the_committed_protocol_code_is_up_to_date() {
    let folder = std::env::temp_dir().join(format!("micaspool-generated-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be made");
    let status = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .arg("protocol")
        .arg(&folder)
        .status()
        .expect("the generator runs");
    assert!(status.success());
    let fresh = std::fs::read(folder.join("micaspool.v1.rs")).expect("it was written");
    let committed =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../micaspool-wire/src/generated/micaspool.v1.rs");
    let _ = std::fs::remove_dir_all(&folder);
    assert!(fresh == std::fs::read(committed).expect("it is committed"), "run: cargo run -p xtask protocol");
}
