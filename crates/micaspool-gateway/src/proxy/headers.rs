//! Hop-by-hop headers, which apply to a single connection.

use http::header::{
    HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{response, HeaderMap, Version};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// The headers that are never forwarded (RFC 9110, section 7.6.1).
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

/// Removes hop-by-hop headers, including those that `Connection` lists.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
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

/// Removes from the head of an answer what concerns the connection to the endpoint alone, its protocol version included:
/// that of the caller's connection decides how the end of the body is told.
pub(super) fn strip_answer(head: &mut response::Parts) {
    strip_hop_by_hop(&mut head.headers);
    head.version = Version::HTTP_11;
}

/// Returns the headers of a request to forward, before the dialect adds its own. `Content-Length` is dropped and set
/// again on sending, because the body is sent from a buffer.
pub(super) fn forwarded_headers(from: &HeaderMap) -> HeaderMap {
    let mut headers = from.clone();
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers
}
