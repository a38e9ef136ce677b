//! Restarts, torn writes and damaged files of a keeper.

use micaspool_quorum::{EntryPayload, HardState, LogEntry, LogIndex, LogSnapshot, RestoredState, SaveBatch};
use micaspool_store::{Error, KeeperFiles, StoreOptions};
use micaspool_types::{InstanceName, Term};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use test_case::test_case;

static NEXT_FOLDER_NUMBER: AtomicU64 = AtomicU64::new(0);

struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new() -> TemporaryFolder {
        let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("micaspool-store-{}-{number}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        TemporaryFolder(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn name() -> InstanceName {
    InstanceName::parse("keeper-1").expect("the name is well-formed")
}

fn open(folder: &Path) -> (KeeperFiles, RestoredState, u64) {
    let outcome = KeeperFiles::open(folder, &name(), StoreOptions::default()).expect("the folder opens");
    (outcome.files, outcome.restored, outcome.truncated_bytes)
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index: LogIndex(index),
        term: Term(term),
        payload: EntryPayload::Command(vec![index as u8; 20]),
    }
}

fn append(entries: Vec<LogEntry>) -> SaveBatch {
    SaveBatch { append: entries, ..SaveBatch::default() }
}

#[test]
fn saved_state_survives_reopening() {
    let folder = TemporaryFolder::new();
    let (mut files, first, _) = open(&folder.0);
    files.save(append(vec![entry(1, 1), entry(2, 1), entry(3, 1)])).expect("saving succeeds");
    let hard = HardState { term: Term(2), vote: Some(first.identity.clone()) };
    let batch = SaveBatch {
        truncate_from: Some(LogIndex(3)),
        append: vec![entry(3, 2)],
        hard: Some(hard.clone()),
        ..SaveBatch::default()
    };
    files.save(batch).expect("saving succeeds");
    drop(files);
    let (_, second, _) = open(&folder.0);
    assert_eq!(second.identity, first.identity);
    assert_eq!(second.entries, vec![entry(1, 1), entry(2, 1), entry(3, 2)]);
    assert_eq!(second.hard, hard);
}

#[test]
fn a_new_folder_is_a_new_incarnation() {
    let folder = TemporaryFolder::new();
    let (_, first, _) = open(&folder.0);
    fs::remove_dir_all(&folder.0).expect("the folder exists");
    let (_, second, _) = open(&folder.0);
    assert_ne!(first.identity.incarnation, second.identity.incarnation);
}

#[test]
fn a_snapshot_replaces_the_entries_before_it() {
    let folder = TemporaryFolder::new();
    let (mut files, _, _) = open(&folder.0);
    files.save(append((1..=10).map(|index| entry(index, 1)).collect())).expect("saving succeeds");
    let snapshot =
        LogSnapshot { index: LogIndex(7), term: Term(1), data: vec![9; 100], ..LogSnapshot::default() };
    files
        .save(SaveBatch { snapshot: Some(snapshot.clone()), ..SaveBatch::default() })
        .expect("saving succeeds");
    files.save(append(vec![entry(11, 1)])).expect("saving succeeds");
    let (_, restored, _) = open(&folder.0);
    assert_eq!(restored.snapshot, snapshot);
    assert_eq!(restored.entries, (8..=11).map(|index| entry(index, 1)).collect::<Vec<_>>());
}

#[test]
fn entries_covered_by_the_snapshot_are_ignored() {
    let folder = TemporaryFolder::new();
    let (mut files, _, _) = open(&folder.0);
    files.save(append((1..=10).map(|index| entry(index, 1)).collect())).expect("saving succeeds");
    let old_log = fs::read(folder.0.join("log")).expect("the log exists");
    let snapshot = LogSnapshot { index: LogIndex(7), term: Term(1), ..LogSnapshot::default() };
    files.save(SaveBatch { snapshot: Some(snapshot), ..SaveBatch::default() }).expect("saving succeeds");
    fs::write(folder.0.join("log"), old_log).expect("the log exists");
    let (_, restored, _) = open(&folder.0);
    assert_eq!(restored.entries, (8..=10).map(|index| entry(index, 1)).collect::<Vec<_>>());
}

// Guards against entries of another history behind a snapshot, which would count in votes as if they followed it.
#[test]
fn entries_of_another_history_than_the_snapshot_are_dropped_after_a_crash_between_its_files() {
    let folder = TemporaryFolder::new();
    let (mut files, _, _) = open(&folder.0);
    files.save(append((1..=10).map(|index| entry(index, 2)).collect())).expect("saving succeeds");
    let old_log = fs::read(folder.0.join("log")).expect("the log exists");
    let snapshot = LogSnapshot { index: LogIndex(7), term: Term(3), ..LogSnapshot::default() };
    let truncate_from = Some(LogIndex(8));
    let batch = SaveBatch { snapshot: Some(snapshot), truncate_from, ..SaveBatch::default() };
    files.save(batch).expect("saving succeeds");
    fs::write(folder.0.join("log"), old_log).expect("the log exists");
    let (mut files, restored, _) = open(&folder.0);
    assert_eq!(restored.entries, Vec::new());
    files.save(append(vec![entry(8, 3)])).expect("saving succeeds");
    let (_, restored, _) = open(&folder.0);
    assert_eq!(restored.entries, vec![entry(8, 3)]);
}

#[test_case(1; "one byte missing")]
#[test_case(15; "half a record missing")]
#[test_case(27; "only part of the header left")]
fn torn_record_at_the_end_is_truncated(missing: u64) {
    let folder = TemporaryFolder::new();
    let (mut files, _, _) = open(&folder.0);
    files.save(append(vec![entry(1, 1), entry(2, 1)])).expect("saving succeeds");
    let path = folder.0.join("log");
    let length = fs::metadata(&path).expect("the log exists").len();
    fs::File::options()
        .write(true)
        .open(&path)
        .and_then(|log| log.set_len(length - missing))
        .expect("truncating the log succeeds");
    let (mut files, restored, truncated_bytes) = open(&folder.0);
    assert_eq!(restored.entries, vec![entry(1, 1)]);
    assert!(truncated_bytes > 0);
    files.save(append(vec![entry(2, 2)])).expect("saving succeeds");
    let (_, restored, truncated_bytes) = open(&folder.0);
    assert_eq!(restored.entries, vec![entry(1, 1), entry(2, 2)]);
    assert_eq!(truncated_bytes, 0);
}

#[test]
fn flipped_byte_in_the_middle_is_reported_as_damage() {
    let folder = TemporaryFolder::new();
    let (mut files, _, _) = open(&folder.0);
    files.save(append((1..=5).map(|index| entry(index, 1)).collect())).expect("saving succeeds");
    let path = folder.0.join("log");
    let clean = fs::read(&path).expect("the log exists");
    for position in 8..clean.len() - 40 {
        let mut bytes = clean.clone();
        bytes[position] ^= 0x10;
        fs::write(&path, &bytes).expect("the log exists");
        let result = KeeperFiles::open(&folder.0, &name(), StoreOptions::default());
        assert!(matches!(result, Err(Error::Damaged(..))), "byte {position}");
    }
}

#[test_case("log"; "log")]
#[test_case("snapshot"; "snapshot")]
#[test_case("identity"; "identity")]
fn file_of_another_version_is_rejected(file: &str) {
    let folder = TemporaryFolder::new();
    let (mut files, _, _) = open(&folder.0);
    files
        .save(SaveBatch { snapshot: Some(LogSnapshot::default()), ..SaveBatch::default() })
        .expect("saving succeeds");
    let path = folder.0.join(file);
    let mut bytes = fs::read(&path).expect("the file exists");
    bytes[7] = 2;
    fs::write(&path, bytes).expect("the file exists");
    let result = KeeperFiles::open(&folder.0, &name(), StoreOptions::default());
    assert!(matches!(result, Err(Error::Version(_))));
}

#[test]
fn folder_of_another_keeper_is_rejected() {
    let folder = TemporaryFolder::new();
    open(&folder.0);
    let other = InstanceName::parse("keeper-2").expect("the name is well-formed");
    assert!(KeeperFiles::open(&folder.0, &other, StoreOptions::default()).is_err());
}

#[test]
fn saving_fails_after_a_failed_write() {
    let folder = TemporaryFolder::new();
    let (mut files, _, _) = open(&folder.0);
    fs::remove_dir_all(&folder.0).expect("the folder exists");
    let snapshot = SaveBatch { snapshot: Some(LogSnapshot::default()), ..SaveBatch::default() };
    assert!(matches!(files.save(snapshot), Err(Error::Io(..))));
    assert!(matches!(files.save(append(vec![entry(1, 1)])), Err(Error::Failed)));
}
