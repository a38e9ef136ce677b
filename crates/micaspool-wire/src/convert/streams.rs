//! Conversions of streams and the software versions that began them.

use super::{millis, Error};
use crate::v1;
use micaspool_types::{SoftwareVersion, StreamKey, StreamOrigin, VersionLimit};
use std::time::Duration;

fn stream_bytes(stream: StreamKey) -> Vec<u8> {
    stream.0.to_be_bytes().to_vec()
}

fn stream_key(bytes: &[u8]) -> Result<StreamKey, Error> {
    let bytes: [u8; 16] = bytes.try_into().map_err(|_| Error::Stream)?;
    Ok(StreamKey(u128::from_be_bytes(bytes)))
}

/// Encodes which version began a stream.
pub fn origin_message(origin: &StreamOrigin) -> v1::StreamOrigin {
    v1::StreamOrigin {
        stream: stream_bytes(origin.stream),
        version: origin.version.to_string(),
        keep_millis: millis(origin.keep),
    }
}

/// Decodes which version began a stream.
pub(super) fn stream_origin(message: &v1::StreamOrigin) -> Result<StreamOrigin, Error> {
    Ok(StreamOrigin {
        stream: stream_key(&message.stream)?,
        version: SoftwareVersion::new(&message.version),
        keep: Duration::from_millis(message.keep_millis),
    })
}

/// Encodes the versions at which a request may run.
pub(super) fn allowed_version_message(limit: &VersionLimit) -> Option<v1::AllowedVersion> {
    match limit {
        VersionLimit::Any => None,
        VersionLimit::Only(version) => {
            Some(v1::AllowedVersion { version: version.to_string(), ..v1::AllowedVersion::default() })
        }
        VersionLimit::OfStream(stream) => {
            Some(v1::AllowedVersion { stream: stream_bytes(*stream), ..v1::AllowedVersion::default() })
        }
        VersionLimit::Unnamed(lifetime) => Some(v1::AllowedVersion {
            sole_for_millis: millis(*lifetime).max(1),
            ..v1::AllowedVersion::default()
        }),
    }
}

/// Decodes the versions at which a request may run.
pub(super) fn version_limit(message: Option<v1::AllowedVersion>) -> Result<VersionLimit, Error> {
    Ok(match message {
        None => VersionLimit::Any,
        Some(allowed) if allowed.sole_for_millis > 0 => {
            VersionLimit::Unnamed(Duration::from_millis(allowed.sole_for_millis))
        }
        Some(allowed) if allowed.stream.is_empty() => {
            VersionLimit::Only(SoftwareVersion::new(&allowed.version))
        }
        Some(allowed) => VersionLimit::OfStream(stream_key(&allowed.stream)?),
    })
}
