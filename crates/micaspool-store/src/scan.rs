//! Reads the records of a log file.

use crate::error::Error;
use crate::record::{decode_record, DecodedRecord, LogRecord, HEADER_LEN};
use micaspool_quorum::{HardState, LogEntry, LogIndex};
use std::path::Path;

/// The content of a log file.
#[derive(Debug, Default)]
pub(crate) struct ScannedLog {
    pub entries: Vec<LogEntry>,
    pub hard: HardState,
    /// The offset after the last valid record.
    pub end: usize,
}

/// Reads all records from offset `start` on. An invalid record at the end is ignored; an invalid
/// record that is followed by a valid one is an error.
pub(crate) fn scan_log(path: &Path, bytes: &[u8], start: usize) -> Result<ScannedLog, Error> {
    let mut log = ScannedLog { end: start, ..ScannedLog::default() };
    loop {
        match decode_record(bytes, log.end) {
            DecodedRecord::End => return Ok(log),
            DecodedRecord::Valid(record, next) => {
                log.apply_record(*record);
                log.end = next;
            }
            DecodedRecord::Invalid if has_valid_record_after(bytes, log.end + 1) => {
                return Err(Error::Damaged(path.to_owned(), log.end as u64));
            }
            DecodedRecord::Invalid => return Ok(log),
        }
    }
}

fn has_valid_record_after(bytes: &[u8], from: usize) -> bool {
    let last = bytes.len().saturating_sub(HEADER_LEN);
    (from..last).any(|start| matches!(decode_record(bytes, start), DecodedRecord::Valid(..)))
}

impl ScannedLog {
    fn apply_record(&mut self, record: LogRecord) {
        match record {
            LogRecord::Entry(entry) => {
                self.truncate_from(entry.index);
                self.entries.push(entry);
            }
            LogRecord::Cut(index) => self.truncate_from(index),
            LogRecord::Hard(hard) => self.hard = hard,
        }
    }

    fn truncate_from(&mut self, index: LogIndex) {
        while self.entries.last().is_some_and(|entry| entry.index >= index) {
            self.entries.pop();
        }
    }
}
