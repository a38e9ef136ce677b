//! What routers tell dispatchers of what endpoints asked of them.

use super::{millis, Error};
use crate::v1;
use micaspool_types::{AdviceRecord, EndpointAdvice, EndpointName};
use std::time::Duration;

/// What an endpoint asked of a router, as a message.
pub fn advice_message(record: &AdviceRecord) -> v1::EndpointAdvice {
    v1::EndpointAdvice {
        endpoint: record.endpoint.to_string(),
        rest_millis: millis(record.advice.rest),
        leaving: record.advice.leaving,
    }
}

/// What an endpoint asked of a router, from a message.
pub(super) fn advice_record(message: &v1::EndpointAdvice) -> Result<AdviceRecord, Error> {
    let rest = Duration::from_millis(message.rest_millis);
    Ok(AdviceRecord {
        endpoint: EndpointName::parse(&message.endpoint)?,
        advice: EndpointAdvice { rest, leaving: message.leaving },
    })
}
