//! Leases, lives and deadlines are reckoned by the clock that also counts while the machine is suspended.
//!
//! By the steady clock a process that wakes takes all that it believed for as young as before: it would send on a
//! grant whose slot was given away long ago, and answer reads as a leader that was replaced. Nothing shows that in a
//! test, since machines that run tests are not suspended; so the sources are read instead.

use std::fs;
use std::path::{Path, PathBuf};

/// Spans of work that are only measured, and the clock itself.
const EXEMPT: [&str; 2] = ["crates/micaspool-clock/", "crates/micaspool-telemetry/src/logging/"];

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

/// True for a word that is the steady clock's and not the end of another.
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
