//! Leases, lifetimes and deadlines use the boot clock, which also advances while the machine is suspended.
//!
//! The steady clock stops during suspension, so a process that resumes would take expired state for valid: it would
//! use a grant whose slot was given away long ago, or answer reads as a leader that was replaced. Tests can't show
//! this, since the machines that run them are not suspended. So this test searches the sources.

use std::fs;
use std::path::{Path, PathBuf};

/// Sources that may use the steady clock: the boot clock itself, and the queue of the logger, which limits its short
/// waits by it.
const EXEMPT: [&str; 2] = ["crates/micaspool-clock/", "crates/micaspool-telemetry/src/logging/"];

/// Collects the Rust files below a folder.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of the workspace") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            found.push(path);
        }
    }
}

/// Returns whether a line contains `Instant` as a whole identifier, not as a part of one such as `BootInstant`.
fn names_steady_clock(line: &str) -> bool {
    let is_word = |character: char| character.is_alphanumeric() || character == '_';
    line.match_indices("Instant").any(|(at, word)| {
        let before = line[..at].chars().next_back().is_some_and(is_word);
        let after = line[at + word.len()..].chars().next().is_some_and(is_word);
        !before && !after
    })
}

#[test]
fn no_source_reads_the_steady_clock() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let crates = fs::read_dir(root.join("crates")).expect("the crates");
    let folders = crates.map(|entry| entry.expect("an entry").path().join("src"));
    let mut files = Vec::new();
    for folder in folders.chain([root.join("platform/src")]).filter(|folder| folder.is_dir()) {
        sources(&folder, &mut files);
    }
    assert!(files.len() > 200, "the sources were not found");
    let mut faults = Vec::new();
    for file in files {
        let name = file.strip_prefix(&root).expect("below the root").display().to_string();
        let text = fs::read_to_string(&file).expect("a text");
        let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
        if !EXEMPT.iter().any(|exempt| name.contains(exempt)) && code.clone().any(names_steady_clock) {
            faults.push(name);
        }
    }
    assert!(faults.is_empty(), "use micaspool_clock::BootInstant in {faults:#?}");
}
