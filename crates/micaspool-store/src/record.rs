//! Encoding of log records: length, checksum, payload.

use micaspool_quorum::{HardState, LogEntry, LogIndex};
use serde::{Deserialize, Serialize};

/// The size of a record header: payload length and checksum, four bytes each, little-endian.
pub(crate) const HEADER_LEN: usize = 8;
/// The maximum payload size in bytes. A longer length field marks an invalid record.
pub(crate) const MAX_PAYLOAD_LEN: usize = 64 * 1024 * 1024;

/// A record of the log file.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub(crate) enum LogRecord {
    /// A log entry. It replaces any entry at the same position and all entries after that.
    Entry(LogEntry),
    /// A truncation: the entry at this position and all entries after it are dropped.
    Cut(LogIndex),
    /// The new term and vote.
    Hard(HardState),
}

/// Appends an encoded record to `buffer`.
pub(crate) fn encode_record(record: &LogRecord, buffer: &mut Vec<u8>) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_LEN]);
    let payload = postcard::to_stdvec(record).expect("records can be encoded");
    buffer.extend_from_slice(&payload);
    let length = u32::try_from(payload.len()).expect("a record is smaller than 4 GiB");
    buffer[start..start + 4].copy_from_slice(&length.to_le_bytes());
    buffer[start + 4..start + HEADER_LEN].copy_from_slice(&checksum(&payload).to_le_bytes());
}

/// The result of decoding a record.
pub(crate) enum DecodedRecord {
    /// A valid record and the offset of the next one.
    Valid(Box<LogRecord>, usize),
    /// The end of the file.
    End,
    /// An incomplete or damaged record.
    Invalid,
}

/// Decodes the record at offset `start`.
pub(crate) fn decode_record(bytes: &[u8], start: usize) -> DecodedRecord {
    let rest = &bytes[start..];
    if rest.is_empty() {
        return DecodedRecord::End;
    }
    let Some(header) = rest.get(..HEADER_LEN) else { return DecodedRecord::Invalid };
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let expected = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    if length == 0 || length > MAX_PAYLOAD_LEN {
        return DecodedRecord::Invalid;
    }
    let Some(payload) = rest.get(HEADER_LEN..HEADER_LEN + length) else { return DecodedRecord::Invalid };
    if checksum(payload) != expected {
        return DecodedRecord::Invalid;
    }
    match postcard::from_bytes(payload) {
        Ok(record) => DecodedRecord::Valid(Box::new(record), start + HEADER_LEN + length),
        Err(_) => DecodedRecord::Invalid,
    }
}

/// Returns the CRC-32 of the length and the bytes. The length is included so that a run of zero
/// bytes is not a valid record.
pub(crate) fn checksum(bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}
