//! Conversions of crash records, which list the endpoints that crashed while they ran a request.

use super::{digest_bytes, millis, request_digest, Error};
use crate::v1;
use micaspool_quarantine::{CrashRecord, EndpointCrash};
use micaspool_types::{CustomerName, EndpointName, RequestDigest};
use std::time::Duration;

/// Decodes the digest of the request whose quarantine an operator lifts.
pub fn lifted_digest(message: &v1::LiftRequest) -> Result<RequestDigest, Error> {
    request_digest(&message.digest)?.ok_or(Error::RequestDigest)
}

/// Encodes an operator's order to lift the quarantine of a request.
pub fn lift_message(digest: RequestDigest) -> v1::LiftRequest {
    v1::LiftRequest { digest: digest_bytes(Some(digest)) }
}

/// Encodes a crash record.
pub(super) fn crash_message(record: &CrashRecord) -> v1::CrashRecord {
    let crashes = record.crashes.iter().map(|crash| v1::EndpointCrash {
        endpoint: crash.endpoint.to_string(),
        age_millis: millis(crash.age),
    });
    v1::CrashRecord {
        digest: digest_bytes(Some(record.digest)),
        customer: record.customer.to_string(),
        crashes: crashes.collect(),
    }
}

/// Decodes a crash record.
pub fn crash_record(message: v1::CrashRecord) -> Result<CrashRecord, Error> {
    let crashes = message.crashes.into_iter().map(|crash| {
        let age = Duration::from_millis(crash.age_millis);
        Ok(EndpointCrash { endpoint: EndpointName::parse(&crash.endpoint)?, age })
    });
    Ok(CrashRecord {
        digest: request_digest(&message.digest)?.ok_or(Error::RequestDigest)?,
        customer: CustomerName::parse(&message.customer)?,
        crashes: crashes.collect::<Result<_, Error>>()?,
    })
}
