//! Names as immutable reference-counted strings.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The reason why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty or longer than 64 bytes.
    Length,
    /// The text contains this character, which is not an ASCII letter or digit, `-`, `_` or `.`.
    Character(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NameError::Length => write!(f, "a name has 1 to {MAX_NAME_BYTES} bytes; shorten or fill it"),
            NameError::Character(invalid) => {
                write!(f, "a name has letters, digits, '-', '_' and '.' only; remove {invalid:?}")
            }
        }
    }
}

impl std::error::Error for NameError {}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(NameError::Length);
    }
    let is_invalid = |c: &char| !(c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'));
    match text.chars().find(is_invalid) {
        Some(invalid) => Err(NameError::Character(invalid)),
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
            /// Parses a name: 1 to 64 ASCII letters, digits, `-`, `_` and `.`.
            pub fn parse(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok($name(Arc::from(text)))
            }

            /// Returns the name as text.
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
    /// The name of a customer: one account whose requests share one weight and one set of limits.
    CustomerName
}
name_type! {
    /// The name of a service: a model or a plain application that a set of endpoints offers.
    ServiceName
}
name_type! {
    /// The name of an endpoint: one back end that runs requests.
    EndpointName
}
name_type! {
    /// The name of a data hall: a failure and placement zone.
    HallName
}
name_type! {
    /// The name of a region: a group of data halls that are close to each other.
    RegionName
}
name_type! {
    /// The name of an instance: one machine that runs processes of the system.
    InstanceName
}
