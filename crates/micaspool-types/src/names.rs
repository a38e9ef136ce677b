//! Names as immutable shared strings.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Why a text is not a name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty or longer than 64 bytes.
    Length,
    /// The text has a character besides letters, digits, `-`, `_` and `.`.
    Character(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NameError::Length => write!(f, "a name has 1 to {MAX_NAME_BYTES} bytes; shorten or fill it"),
            NameError::Character(found) => {
                write!(f, "a name has letters, digits, '-', '_' and '.' only; remove {found:?}")
            }
        }
    }
}

impl std::error::Error for NameError {}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(NameError::Length);
    }
    let foreign = |c: &char| !(c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'));
    match text.chars().find(foreign) {
        Some(found) => Err(NameError::Character(found)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Parses a name: 1 to 64 bytes of letters, digits, `-`, `_` and `.`.
            pub fn parse(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok($name(Arc::from(text)))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// A customer: one account whose requests share one weight and one set of limits.
    CustomerName
}
name_type! {
    /// A service: a model or a plain application that a set of endpoints offers.
    ServiceName
}
name_type! {
    /// An endpoint: one back end that runs requests.
    EndpointName
}
name_type! {
    /// A data hall: a failure and placement zone.
    HallName
}
name_type! {
    /// A region: the data halls that are close to each other.
    RegionName
}
name_type! {
    /// An instance: one machine that runs processes of the system.
    InstanceName
}
