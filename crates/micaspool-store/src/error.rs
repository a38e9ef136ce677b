//! What can go wrong with the files.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why the files cannot be read or written.
#[derive(Debug)]
pub enum Error {
    /// A file cannot be read, written or synced.
    Io(PathBuf, io::Error),
    /// A file was written by another version.
    Version(PathBuf),
    /// A record before the end of the log, or a whole file, is damaged.
    Damaged(PathBuf, u64),
    /// An earlier write failed; what is on disk is uncertain until the next start.
    Failed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(path, error) => {
                write!(
                    f,
                    "{} cannot be used ({error}); check space and permissions, then restart",
                    path.display()
                )
            }
            Error::Version(path) => {
                write!(
                    f,
                    "{} was written by another version; start that version, or move it away",
                    path.display()
                )
            }
            Error::Damaged(path, offset) => write!(
                f,
                "{} is damaged at byte {offset}; keep a copy, empty the data folder and restart, so that the \
                 keeper catches up from the others",
                path.display()
            ),
            Error::Failed => f.write_str("an earlier write failed; check the disk and restart the keeper"),
        }
    }
}

impl std::error::Error for Error {}
