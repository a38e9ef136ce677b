//! Advice as it stands in the head of an answer.

use crate::retry_after::{parse_retry_after, Error};
use micaspool_types::EndpointAdvice;
use std::time::SystemTime;

/// What the head of an answer says of its endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderAdvice {
    /// What can be read of it.
    pub advice: EndpointAdvice,
    /// Set when the time of a rest can't be read; none is kept to then.
    pub fault: Option<Error>,
}

impl HeaderAdvice {
    /// Advice of an answer with these `Retry-After` values, which count for one that turns its request away.
    pub fn parse<'a>(
        turns_away: bool,
        retry_after: impl IntoIterator<Item = &'a str>,
        leaving: bool,
    ) -> HeaderAdvice {
        let mut values = retry_after.into_iter().filter(|_| turns_away).peekable();
        if values.peek().is_none() {
            return HeaderAdvice {
                advice: EndpointAdvice { leaving, ..EndpointAdvice::default() },
                fault: None,
            };
        }
        match parse_retry_after(values, SystemTime::now()) {
            Ok(rest) => HeaderAdvice { advice: EndpointAdvice { rest, leaving }, fault: None },
            Err(error) => HeaderAdvice {
                advice: EndpointAdvice { leaving, ..EndpointAdvice::default() },
                fault: Some(error),
            },
        }
    }
}
