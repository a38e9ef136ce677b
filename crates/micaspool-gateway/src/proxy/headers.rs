//! Headers that concern a single connection.

use http::header::{
    HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::HeaderMap;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// The headers that are never passed on (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// Removes what concerns a single connection, also what `Connection` names.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_options.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// The headers of a request as an endpoint gets them, before the dialect adds its own. The length is
/// written anew, since the body is sent whole.
pub(super) fn forwarded_headers(from: &HeaderMap) -> HeaderMap {
    let mut headers = from.clone();
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers
}
