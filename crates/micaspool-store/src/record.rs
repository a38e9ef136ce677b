//! Records of the log: a length, a checksum and a payload.

use micaspool_quorum::{HardState, LogEntry, LogIndex};
use serde::{Deserialize, Serialize};

/// Length and checksum before each payload, four bytes each, little-endian.
pub(crate) const RECORD_HEADER_LEN: usize = 8;
/// The largest payload that is taken for a record.
pub(crate) const MAX_PAYLOAD_LEN: usize = 64 * 1024 * 1024;

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
    buffer.extend_from_slice(&[0; RECORD_HEADER_LEN]);
    let payload = postcard::to_stdvec(record).expect("records have no values that cannot be encoded");
    buffer.extend_from_slice(&payload);
    let length = u32::try_from(payload.len()).expect("a record is far smaller than 4 GiB");
    buffer[start..start + 4].copy_from_slice(&length.to_le_bytes());
    buffer[start + 4..start + RECORD_HEADER_LEN].copy_from_slice(&checksum(&payload).to_le_bytes());
}

/// What stands at a position of the log file.
pub(crate) enum DecodedRecord {
    /// A whole record, and where the next begins.
    Valid(Box<LogRecord>, usize),
    /// Nothing more.
    End,
    /// Bytes that are no record.
    Invalid,
}

/// Reads the record at `start`.
pub(crate) fn decode_record(bytes: &[u8], start: usize) -> DecodedRecord {
    let rest = &bytes[start..];
    if rest.is_empty() {
        return DecodedRecord::End;
    }
    let Some(header) = rest.get(..RECORD_HEADER_LEN) else { return DecodedRecord::Invalid };
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let expected = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    if length == 0 || length > MAX_PAYLOAD_LEN {
        return DecodedRecord::Invalid;
    }
    let Some(payload) = rest.get(RECORD_HEADER_LEN..RECORD_HEADER_LEN + length) else {
        return DecodedRecord::Invalid;
    };
    if checksum(payload) != expected {
        return DecodedRecord::Invalid;
    }
    match postcard::from_bytes(payload) {
        Ok(record) => DecodedRecord::Valid(Box::new(record), start + RECORD_HEADER_LEN + length),
        Err(_) => DecodedRecord::Invalid,
    }
}

/// CRC-32 of the length and the bytes, so that a run of zeros is no record.
pub(crate) fn checksum(bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}
