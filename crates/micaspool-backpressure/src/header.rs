//! Advice as carried in the head of a response.

use crate::retry_after::{parse_retry_after, Error};
use micaspool_types::EndpointAdvice;
use std::time::SystemTime;

/// The advice that the head of one response carries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderAdvice {
    /// The parsed advice.
    pub advice: EndpointAdvice,
    /// The error if there are `Retry-After` values but none is valid; `advice.rest` is zero then.
    pub error: Option<Error>,
}

impl HeaderAdvice {
    /// Builds the advice of a response from its `Retry-After` values and its leaving flag. `Retry-After` is ignored
    /// unless the response rejects its request.
    pub fn parse<'a>(
        is_rejection: bool,
        retry_after: impl IntoIterator<Item = &'a str>,
        leaving: bool,
    ) -> HeaderAdvice {
        let mut values = retry_after.into_iter().filter(|_| is_rejection).peekable();
        if values.peek().is_none() {
            return HeaderAdvice {
                advice: EndpointAdvice { leaving, ..EndpointAdvice::default() },
                error: None,
            };
        }
        match parse_retry_after(values, SystemTime::now()) {
            Ok(rest) => HeaderAdvice { advice: EndpointAdvice { rest, leaving }, error: None },
            Err(parse_error) => HeaderAdvice {
                advice: EndpointAdvice { leaving, ..EndpointAdvice::default() },
                error: Some(parse_error),
            },
        }
    }
}
