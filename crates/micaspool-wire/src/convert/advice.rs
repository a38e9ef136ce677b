//! Conversions of the advice that endpoints give to routers and routers report to dispatchers.

use super::{millis, Error};
use crate::v1;
use micaspool_types::{AdviceRecord, EndpointAdvice, EndpointName};
use std::time::Duration;

/// Encodes an endpoint's advice to a router.
pub fn advice_message(record: &AdviceRecord) -> v1::EndpointAdvice {
    v1::EndpointAdvice {
        endpoint: record.endpoint.to_string(),
        rest_millis: millis(record.advice.rest),
        leaving: record.advice.leaving,
    }
}

/// Decodes an endpoint's advice to a router.
pub(super) fn advice_record(message: &v1::EndpointAdvice) -> Result<AdviceRecord, Error> {
    let rest = Duration::from_millis(message.rest_millis);
    Ok(AdviceRecord {
        endpoint: EndpointName::parse(&message.endpoint)?,
        advice: EndpointAdvice { rest, leaving: message.leaving },
    })
}
