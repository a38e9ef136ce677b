//! Numeric identifiers.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of hexadecimal digits in a printed [`RequestId`].
const REQUEST_ID_DIGITS: usize = 32;

/// Identifies one request from its arrival at a router to its last byte; 128 random bits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u128);

/// The reason why a text is not a request id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestIdError {
    /// The text does not consist of 32 hexadecimal digits.
    Malformed,
}

impl fmt::Display for RequestIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a request id has {REQUEST_ID_DIGITS} hexadecimal digits; copy it whole")
    }
}

impl std::error::Error for RequestIdError {}

impl RequestId {
    /// Parses the 32 hexadecimal digits that `Display` prints.
    pub fn parse(text: &str) -> Result<Self, RequestIdError> {
        let digits_only = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != REQUEST_ID_DIGITS || !digits_only {
            return Err(RequestIdError::Malformed);
        }
        u128::from_str_radix(text, 16).map(RequestId).map_err(|_| RequestIdError::Malformed)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{:08x}", self.0 >> 96)
    }
}

/// The position of a ticket in the arrival order of its shard; later arrivals have higher numbers.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct OrderNumber(pub u64);

/// The revision of the settings tree: the number of accepted changes, which only grows.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An election term of the keepers; there is at most one leader in each.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct Term(pub u64);

/// Distinguishes one start of a process or endpoint, or one data folder, from the next. Random, except for endpoints,
/// where later starts have higher numbers and zero means that starts are not distinguished.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Debug)]
pub struct Incarnation(pub u64);
