//! Records of the log: a length, a checksum and a payload.

use micaspool_quorum::{HardState, LogEntry, LogIndex};
use serde::{Deserialize, Serialize};

/// Length and checksum before each payload, four bytes each, little-endian.
pub(crate) const RECORD_HEAD: usize = 8;
/// The largest payload that is taken for a record.
pub(crate) const MAX_RECORD: usize = 64 * 1024 * 1024;

/// One record of the log file.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub(crate) enum LogRecord {
    /// An entry.
    Entry(LogEntry),
    /// Entries from here on are dropped.
    Cut(LogIndex),
    /// The term and vote.
    Hard(HardState),
}

/// Adds a record to `buffer`.
pub(crate) fn encode_record(record: &LogRecord, buffer: &mut Vec<u8>) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; RECORD_HEAD]);
    let payload = postcard::to_stdvec(record).expect("records have no values that cannot be encoded");
    buffer.extend_from_slice(&payload);
    let length = u32::try_from(payload.len()).expect("a record is far smaller than 4 GiB");
    buffer[start..start + 4].copy_from_slice(&length.to_le_bytes());
    buffer[start + 4..start + RECORD_HEAD].copy_from_slice(&checksum(&payload).to_le_bytes());
}

/// What stands at a position of the log file.
pub(crate) enum RecordAt {
    /// A whole record, and where the next begins.
    Whole(Box<LogRecord>, usize),
    /// Nothing more.
    End,
    /// Bytes that are no record.
    Broken,
}

/// Reads the record at `start`.
pub(crate) fn decode_record(bytes: &[u8], start: usize) -> RecordAt {
    let rest = &bytes[start..];
    if rest.is_empty() {
        return RecordAt::End;
    }
    let Some(head) = rest.get(..RECORD_HEAD) else { return RecordAt::Broken };
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let expected = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    if length == 0 || length > MAX_RECORD {
        return RecordAt::Broken;
    }
    let Some(payload) = rest.get(RECORD_HEAD..RECORD_HEAD + length) else { return RecordAt::Broken };
    if checksum(payload) != expected {
        return RecordAt::Broken;
    }
    match postcard::from_bytes(payload) {
        Ok(record) => RecordAt::Whole(Box::new(record), start + RECORD_HEAD + length),
        Err(_) => RecordAt::Broken,
    }
}

/// CRC-32 of the length and the bytes, so that a run of zeros is no record.
pub(crate) fn checksum(bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}
