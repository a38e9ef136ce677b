//! Errors of the storage.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// An error while opening or writing the files of a keeper.
#[derive(Debug)]
pub enum Error {
    /// A file could not be read, written or synced.
    Io(PathBuf, io::Error),
    /// A file has the format of another version.
    Version(PathBuf),
    /// A file, or a record before the end of the log, is damaged at this byte offset. Offset 0 means
    /// that the content does not fit: the identity of another keeper, or a gap between log entries.
    Damaged(PathBuf, u64),
    /// An earlier write failed. The state on disk is unknown until the files are opened again.
    Failed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(path, error) => {
                write!(
                    f,
                    "cannot access {} ({error}); check disk space and permissions, then restart the keeper",
                    path.display()
                )
            }
            Error::Version(path) => {
                write!(
                    f,
                    "{} has the format of another version; start that version, or move the file away",
                    path.display()
                )
            }
            Error::Damaged(path, offset) => write!(
                f,
                "{} is damaged at byte {offset}; back up the data folder, empty it and restart, so that the \
                 keeper catches up from the other keepers",
                path.display()
            ),
            Error::Failed => f.write_str("an earlier write failed; check the disk, then restart the keeper"),
        }
    }
}

impl std::error::Error for Error {}
