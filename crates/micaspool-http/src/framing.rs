//! How the end of a response's body is known.

use http::header::{HeaderMap, TRANSFER_ENCODING};
use http_body::Body;

/// How a reader knows where the body of a response ends (RFC 9112, section 6.3).
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BodyFraming {
    /// The head states the length; a body that ends earlier is an error.
    Length,
    /// The body comes in chunks; one that ends without the last chunk is an error.
    Chunks,
    /// The body ends with the connection. An orderly close looks the same whether the body is whole or cut.
    Connection,
}

impl BodyFraming {
    /// Returns the framing of a response with these headers, whose body has not been read yet.
    pub fn of<B: Body>(headers: &HeaderMap, body: &B) -> BodyFraming {
        if body.is_end_stream() || body.size_hint().exact().is_some() {
            BodyFraming::Length
        } else if headers.contains_key(TRANSFER_ENCODING) {
            BodyFraming::Chunks
        } else {
            BodyFraming::Connection
        }
    }

    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            BodyFraming::Length => "length",
            BodyFraming::Chunks => "chunks",
            BodyFraming::Connection => "connection",
        }
    }
}
