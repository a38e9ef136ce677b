//! Checks a request head before it is decoded.

use std::fmt;

/// The maximum number of header lines in a head.
const MAX_HEADERS: usize = 96;
/// The end of a head: an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The length of a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// This many bytes.
    Known(u64),
    /// The body is chunked.
    Chunked,
}

/// The parts of a checked head that the server uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The method in capitals.
    pub method: String,
    /// The path with its query.
    pub target: String,
    /// The length of the body.
    pub body: BodyLength,
    /// The value of `Authorization`, if the head has exactly one.
    pub authorization: Option<String>,
    /// True if the connection may stay open: HTTP/1.1 without `Connection: close`.
    pub keep_alive: bool,
}

/// Why a head is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// It is not HTTP/1.x.
    Malformed,
    /// It has too many header lines.
    TooManyHeaders,
    /// It has no `Host`, or more than one.
    Host,
    /// It has several lengths, one that is not a number, or both a length and a transfer coding.
    Length,
    /// It has a transfer coding other than `chunked`.
    TransferCoding,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Malformed => "the request head is not HTTP/1.1; check the request line and headers",
            Error::TooManyHeaders => "the request head has too many headers; send at most 96",
            Error::Host => "send exactly one Host header",
            Error::Length => "send exactly one body length: Content-Length or chunked",
            Error::TransferCoding => "use no transfer coding besides chunked",
        })
    }
}

impl std::error::Error for Error {}

/// Returns the length in bytes of the head at the start of `bytes`, or `None` while it is incomplete.
pub fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END).map(|start| start + HEAD_END.len())
}

/// Parses and checks a complete head.
pub fn check_head(bytes: &[u8]) -> Result<RequestHead, Error> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut lines);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Err(httparse::Error::TooManyHeaders) => return Err(Error::TooManyHeaders),
        Ok(httparse::Status::Partial) | Err(_) => return Err(Error::Malformed),
    }
    let method = request.method.ok_or(Error::Malformed)?.to_ascii_uppercase();
    let target = request.path.ok_or(Error::Malformed)?.to_owned();
    let is_http11 = request.version == Some(1);
    let values = |name: &str| -> Vec<&[u8]> {
        let matching = request.headers.iter().filter(|line| line.name.eq_ignore_ascii_case(name));
        matching.map(|line| line.value).collect()
    };
    let hosts = values("host").len();
    if hosts > 1 || (is_http11 && hosts == 0) {
        return Err(Error::Host);
    }
    let body = body_length(&values("content-length"), &values("transfer-encoding"))?;
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let authorizations = values("authorization");
    let connection =
        values("connection").iter().map(|value| text(value).to_ascii_lowercase()).collect::<String>();
    Ok(RequestHead {
        method,
        target,
        body,
        authorization: (authorizations.len() == 1).then(|| text(authorizations[0])),
        keep_alive: is_http11 && !connection.contains("close"),
    })
}

fn body_length(lengths: &[&[u8]], codings: &[&[u8]]) -> Result<BodyLength, Error> {
    if codings.iter().any(|coding| !coding.eq_ignore_ascii_case(b"chunked")) || codings.len() > 1 {
        return Err(Error::TransferCoding);
    }
    match (lengths, codings) {
        ([], []) => Ok(BodyLength::Known(0)),
        ([], [_]) => Ok(BodyLength::Chunked),
        ([length], []) => parse_length(length).map(BodyLength::Known),
        _ => Err(Error::Length),
    }
}

fn parse_length(value: &[u8]) -> Result<u64, Error> {
    let digits = std::str::from_utf8(value).map_err(|_| Error::Length)?.trim();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Error::Length);
    }
    digits.parse().map_err(|_| Error::Length)
}
