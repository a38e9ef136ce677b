//! Opens, writes and rewrites the files of a keeper.

use crate::error::Error;
use crate::record::{checksum, encode_record, LogRecord};
use crate::scan::scan_log;
use micaspool_quorum::{HardState, KeeperIdentity, LogEntry, LogSnapshot, RestoredState, SaveBatch};
use micaspool_types::{Incarnation, InstanceName};
use rand::Rng;
use serde::{de::DeserializeOwned, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";
/// The first bytes of each file: a format name and, in the last byte, the format version.
const MAGIC: &[u8; 8] = b"MICASP\x00\x01";

/// Options for writing files.
#[derive(Clone, Copy, Debug)]
pub struct StoreOptions {
    /// Whether to sync files after writing. Disable it only to measure the cost of syncing.
    pub sync: bool,
}

impl Default for StoreOptions {
    fn default() -> Self {
        StoreOptions { sync: true }
    }
}

/// The result of opening a data folder.
#[derive(Debug)]
pub struct OpenOutcome {
    /// The files, open for writing.
    pub files: KeeperFiles,
    /// The state read from the files.
    pub restored: RestoredState,
    /// The size of a torn record that was truncated from the end of the log, in bytes.
    pub truncated_bytes: u64,
}

/// The open files of a keeper.
#[derive(Debug)]
pub struct KeeperFiles {
    folder: PathBuf,
    options: StoreOptions,
    log: File,
    /// Encoded records that are written to the log next.
    buffer: Vec<u8>,
    /// The entries after the snapshot, kept for rewriting the log.
    entries: Vec<LogEntry>,
    /// The latest term and vote, kept for rewriting the log.
    hard: HardState,
    /// Whether the last write failed. Only a successful [`KeeperFiles::rewrite_log`] resets it.
    failed: bool,
    /// The number of syncs since the files were opened.
    syncs: u64,
}

impl KeeperFiles {
    /// Opens a data folder. If it does not exist or is empty, creates it with a new incarnation.
    pub fn open(folder: &Path, name: &InstanceName, options: StoreOptions) -> Result<OpenOutcome, Error> {
        fs::create_dir_all(folder).map_err(|error| Error::Io(folder.to_owned(), error))?;
        let identity = open_identity(folder, name, options)?;
        let snapshot: LogSnapshot = read_checked_file(&folder.join(SNAPSHOT))?.unwrap_or_default();
        let path = folder.join(LOG);
        let bytes = read_log(&path, folder, options)?;
        let scanned = scan_log(&path, &bytes, MAGIC.len())?;
        let truncated_bytes = (bytes.len() - scanned.end) as u64;
        let log = open_log(&path, scanned.end as u64, truncated_bytes > 0, options)?;
        let is_superseded = scanned.entries.iter().any(|entry| conflicts_with(entry, &snapshot));
        let is_kept = |entry: &LogEntry| entry.index > snapshot.index && !is_superseded;
        let entries: Vec<LogEntry> = scanned.entries.into_iter().filter(is_kept).collect();
        check_sequence(&path, &snapshot, &entries)?;
        let restored =
            RestoredState { identity, hard: scanned.hard.clone(), snapshot, entries: entries.clone() };
        let mut files = KeeperFiles {
            folder: folder.to_owned(),
            options,
            log,
            buffer: Vec::new(),
            entries,
            hard: scanned.hard,
            failed: false,
            syncs: 0,
        };
        if is_superseded {
            files.rewrite_log()?;
        }
        Ok(OpenOutcome { files, restored, truncated_bytes })
    }

    /// Makes a batch durable. After an error, all further calls fail with [`Error::Failed`].
    pub fn save(&mut self, batch: SaveBatch) -> Result<(), Error> {
        if self.failed {
            return Err(Error::Failed);
        }
        let result = self.write_batch(batch);
        self.failed = result.is_err();
        result
    }

    /// Replaces the log by a new file with the same content and syncs it.
    pub fn rewrite_log(&mut self) -> Result<(), Error> {
        let result = self.replace_log();
        self.failed = result.is_err();
        result
    }

    /// Returns the number of syncs since the files were opened.
    pub fn sync_count(&self) -> u64 {
        self.syncs
    }

    fn write_batch(&mut self, batch: SaveBatch) -> Result<(), Error> {
        self.buffer.clear();
        if let Some(from) = batch.truncate_from {
            self.entries.retain(|entry| entry.index < from);
            encode_record(&LogRecord::Cut(from), &mut self.buffer);
        }
        if let Some(hard) = batch.hard {
            encode_record(&LogRecord::Hard(hard.clone()), &mut self.buffer);
            self.hard = hard;
        }
        for entry in batch.append {
            encode_record(&LogRecord::Entry(entry.clone()), &mut self.buffer);
            self.entries.push(entry);
        }
        match batch.snapshot {
            Some(snapshot) => self.replace_snapshot(&snapshot),
            None => self.append_buffer(),
        }
    }

    fn append_buffer(&mut self) -> Result<(), Error> {
        let path = self.folder.join(LOG);
        let io_error = |error| Error::Io(path.clone(), error);
        self.log.write_all(&self.buffer).map_err(io_error)?;
        if self.options.sync {
            self.log.sync_data().map_err(io_error)?;
            self.syncs += 1;
        }
        Ok(())
    }

    /// Writes the snapshot, then a log with only the entries after it. A crash between the two leaves the log as it was
    /// before. When the files are opened, entries that the snapshot covers are ignored, and all entries if the snapshot is
    /// of another history than the log.
    fn replace_snapshot(&mut self, snapshot: &LogSnapshot) -> Result<(), Error> {
        write_checked_file(&self.folder, SNAPSHOT, snapshot, self.options)?;
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.replace_log()?;
        self.syncs += 2;
        Ok(())
    }

    fn replace_log(&mut self) -> Result<(), Error> {
        self.buffer.clear();
        self.buffer.extend_from_slice(MAGIC);
        encode_record(&LogRecord::Hard(self.hard.clone()), &mut self.buffer);
        for entry in &self.entries {
            encode_record(&LogRecord::Entry(entry.clone()), &mut self.buffer);
        }
        replace_file(&self.folder, LOG, &self.buffer, self.options)?;
        let path = self.folder.join(LOG);
        self.log = open_log(&path, self.buffer.len() as u64, false, self.options)?;
        self.syncs += 2;
        Ok(())
    }
}

fn open_identity(folder: &Path, name: &InstanceName, options: StoreOptions) -> Result<KeeperIdentity, Error> {
    let path = folder.join(IDENTITY);
    if let Some(identity) = read_checked_file::<KeeperIdentity>(&path)? {
        if identity.name != *name {
            return Err(Error::Damaged(path, 0));
        }
        return Ok(identity);
    }
    let identity = KeeperIdentity { name: name.clone(), incarnation: Incarnation(rand::rng().random()) };
    write_checked_file(folder, IDENTITY, &identity, options)?;
    Ok(identity)
}

fn read_log(path: &Path, folder: &Path, options: StoreOptions) -> Result<Vec<u8>, Error> {
    if !path.exists() {
        replace_file(folder, LOG, MAGIC, options)?;
    }
    let bytes = fs::read(path).map_err(|error| Error::Io(path.to_owned(), error))?;
    if !bytes.starts_with(MAGIC) {
        return Err(Error::Version(path.to_owned()));
    }
    Ok(bytes)
}

/// Opens the log for writing at offset `end`. With `truncate`, drops everything after `end` first.
fn open_log(path: &Path, end: u64, truncate: bool, options: StoreOptions) -> Result<File, Error> {
    let io_error = |error| Error::Io(path.to_owned(), error);
    let mut file = OpenOptions::new().write(true).open(path).map_err(io_error)?;
    if truncate {
        file.set_len(end).map_err(io_error)?;
        if options.sync {
            file.sync_all().map_err(io_error)?;
        }
    }
    file.seek(SeekFrom::Start(end)).map_err(io_error)?;
    Ok(file)
}

/// Returns whether an entry stands where the snapshot's last entry is and has another term. The snapshot has then replaced
/// the whole log, and the entries after that place are not of its history.
fn conflicts_with(entry: &LogEntry, snapshot: &LogSnapshot) -> bool {
    entry.index == snapshot.index && entry.term != snapshot.term
}

/// Checks that the entries follow the snapshot without a gap.
fn check_sequence(path: &Path, snapshot: &LogSnapshot, entries: &[LogEntry]) -> Result<(), Error> {
    let mut expected = snapshot.index;
    for entry in entries {
        expected = expected.next();
        if entry.index != expected {
            return Err(Error::Damaged(path.to_owned(), 0));
        }
    }
    Ok(())
}

/// Reads and decodes a file that [`write_checked_file`] wrote. Returns `None` if it does not exist.
fn read_checked_file<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, Error> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(Error::Io(path.to_owned(), error)),
    };
    let Some(rest) = bytes.strip_prefix(MAGIC) else { return Err(Error::Version(path.to_owned())) };
    let damaged = || Error::Damaged(path.to_owned(), MAGIC.len() as u64);
    let (sum, payload) = rest.split_first_chunk::<4>().ok_or_else(damaged)?;
    if checksum(payload) != u32::from_le_bytes(*sum) {
        return Err(damaged());
    }
    postcard::from_bytes(payload).map(Some).map_err(|_| damaged())
}

fn write_checked_file<T: Serialize>(
    folder: &Path,
    name: &str,
    value: &T,
    options: StoreOptions,
) -> Result<(), Error> {
    let payload = postcard::to_stdvec(value).expect("stored values can be encoded");
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&checksum(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    replace_file(folder, name, &bytes, options)
}

/// Replaces a file atomically: writes and syncs a temporary file, renames it, and syncs the folder.
fn replace_file(folder: &Path, name: &str, bytes: &[u8], options: StoreOptions) -> Result<(), Error> {
    let target = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    let io_error = |error| Error::Io(target.clone(), error);
    let mut file = File::create(&temporary).map_err(io_error)?;
    file.write_all(bytes).map_err(io_error)?;
    if options.sync {
        file.sync_all().map_err(io_error)?;
    }
    fs::rename(&temporary, &target).map_err(io_error)?;
    if options.sync {
        File::open(folder).and_then(|folder| folder.sync_all()).map_err(io_error)?;
    }
    Ok(())
}
