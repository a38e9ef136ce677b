//! Checks the head of a response before a client decodes it.
//!
//! The libraries that decode responses guess where a head is ambiguous, and they guess differently: what one takes for a
//! body that ends with its connection has no bytes for the other. A response whose head says where the body ends in any
//! way but one is therefore no response (RFC 9112, section 6.3).

use httparse::{Header, Response, Status};
use std::fmt;
use std::io;

/// The maximum number of header lines in a head: the most that either client decodes.
const MAX_HEADERS: usize = 128;
/// The only transfer coding that clients decode.
const CHUNKED: &[u8] = b"chunked";

/// The final status of which no head may state a body (RFC 9110, section 8.6).
const NO_CONTENT: u16 = 204;

/// Why a head is no head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It is not HTTP/1.x: the status line or a header line is malformed.
    Malformed,
    /// Some of its lines end with a line feed alone, others with a carriage return before it.
    LineEnds,
    /// Its status is outside the range of HTTP, or switches to a protocol that nobody asked for.
    Status,
    /// It has a transfer coding other than `chunked`, or several.
    TransferCoding,
    /// It has several lengths, or a length beside a transfer coding.
    SeveralLengths,
    /// Its length is no number of bytes in digits.
    Length,
    /// Its status has no body, but it states one.
    UnexpectedBody,
    /// It has bytes that are not ASCII, for a client that can't hold them.
    NotAscii,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Malformed => "the response head is not HTTP/1.x; check the endpoint",
            Error::LineEnds => "the lines of the response head end in different ways; check the endpoint",
            Error::Status => "the response has no status of HTTP, or switches protocols; check the endpoint",
            Error::TransferCoding => {
                "the response has a transfer coding other than one `chunked`; check the endpoint"
            }
            Error::SeveralLengths => "the response has more than one body length; check the endpoint",
            Error::Length => "the body length of the response is no number; check the endpoint",
            Error::UnexpectedBody => "the status of the response has no body, but it has; check the endpoint",
            Error::NotAscii => "the response head is not all ASCII; check the header values of the endpoint",
        })
    }
}

impl std::error::Error for Error {}

impl From<Error> for io::Error {
    fn from(error: Error) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// What follows a head on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadKind {
    /// Another head of the same response.
    Interim,
    /// The body.
    Final,
}

/// Parses and checks a complete head.
pub fn check_response_head(bytes: &[u8]) -> Result<HeadKind, Error> {
    check_line_ends(bytes)?;
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = Response::new(&mut lines);
    match response.parse(bytes) {
        Ok(Status::Complete(length)) if length == bytes.len() => {}
        Ok(_) | Err(_) => return Err(Error::Malformed),
    }
    let kind = match response.code {
        Some(100 | 102..=199) => HeadKind::Interim,
        Some(200..=599) => HeadKind::Final,
        _ => return Err(Error::Status),
    };
    let has_body = check_framing(response.headers)?;
    let is_bodiless = kind == HeadKind::Interim || response.code == Some(NO_CONTENT);
    if is_bodiless && has_body {
        return Err(Error::UnexpectedBody);
    }
    Ok(kind)
}

/// Checks that all lines end alike. A decoder that takes both ends would see the end of a head whose last line is no more
/// than a spoilt end of the one before.
fn check_line_ends(bytes: &[u8]) -> Result<(), Error> {
    let mut lines = bytes.split_inclusive(|byte| *byte == b'\n').map(|line| line.ends_with(b"\r\n"));
    let first = lines.next();
    if lines.any(|end| Some(end) != first) {
        return Err(Error::LineEnds);
    }
    Ok(())
}

/// Checks what the head says about the end of the body. Returns true if it states a body that has bytes or chunks.
fn check_framing(headers: &[Header<'_>]) -> Result<bool, Error> {
    let lengths = values(headers, "content-length");
    let codings = values(headers, "transfer-encoding");
    if codings.len() > 1 || codings.iter().any(|coding| !coding.eq_ignore_ascii_case(CHUNKED)) {
        return Err(Error::TransferCoding);
    }
    if lengths.len() + codings.len() > 1 {
        return Err(Error::SeveralLengths);
    }
    match lengths.first() {
        Some(length) => Ok(parse_length(length)? > 0),
        None => Ok(!codings.is_empty()),
    }
}

fn parse_length(value: &[u8]) -> Result<u64, Error> {
    if !value.iter().all(u8::is_ascii_digit) {
        return Err(Error::Length);
    }
    let digits = std::str::from_utf8(value).map_err(|_| Error::Length)?;
    digits.parse().map_err(|_| Error::Length)
}

fn values<'a>(headers: &[Header<'a>], name: &str) -> Vec<&'a [u8]> {
    let matching = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    matching.map(|header| header.value.trim_ascii()).collect()
}

/// Prepares the head that `bytes` begin with for `async-h1`, which minds the case of a transfer coding and panics where a
/// value is not ASCII.
pub(crate) fn prepare_head(bytes: &mut [u8]) -> Result<(), Error> {
    let name = b"transfer-encoding:";
    let lines = bytes.split_mut(|byte| *byte == b'\n').skip_while(|line| is_empty_line(line));
    for line in lines.take_while(|line| !is_empty_line(line)) {
        if !line.is_ascii() {
            return Err(Error::NotAscii);
        }
        if line.get(..name.len()).is_some_and(|start| start.eq_ignore_ascii_case(name)) {
            line.make_ascii_lowercase();
        }
    }
    Ok(())
}

/// Returns true for a line without bytes, up to its line feed.
fn is_empty_line(line: &[u8]) -> bool {
    matches!(line, b"" | b"\r")
}

/// Collects the bytes of a response until its last head is complete, and checks each head.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner {
    /// What was read of a head that is not complete.
    head: Vec<u8>,
    /// The start of the last line of it.
    line_start: usize,
    /// The number of its bytes in which ends of lines were looked for.
    searched: usize,
    /// True from the end of the first head on.
    has_head: bool,
    /// True from the end of the last head on.
    is_done: bool,
}

impl HeadScanner {
    /// Begins with the next response on the connection.
    pub fn expect_head(&mut self) {
        *self = HeadScanner::default();
    }

    /// Returns true once a whole head was taken, be it an interim one.
    pub fn has_head(&self) -> bool {
        self.has_head
    }

    /// Takes bytes that were read. What follows the last head is ignored.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<(), Error> {
        if self.is_done {
            return Ok(());
        }
        self.head.extend_from_slice(bytes);
        self.skip_empty_lines();
        while let Some(length) = self.find_end() {
            let kind = check_response_head(&self.head[..length])?;
            if kind == HeadKind::Final {
                *self = HeadScanner { has_head: true, is_done: true, ..HeadScanner::default() };
                break;
            }
            self.has_head = true;
            self.head.drain(..length);
            (self.line_start, self.searched) = (0, 0);
            self.skip_empty_lines();
        }
        Ok(())
    }

    /// Removes empty lines before the status line, which the decoders skip as well.
    fn skip_empty_lines(&mut self) {
        if self.searched == 0 {
            let empty = self.head.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
            self.head.drain(..empty);
        }
    }

    /// Returns the length of the head that the bytes begin with; `None` while it is incomplete.
    fn find_end(&mut self) -> Option<usize> {
        while let Some(offset) = self.head[self.searched..].iter().position(|byte| *byte == b'\n') {
            let line_end = self.searched + offset;
            let is_empty = is_empty_line(&self.head[self.line_start..line_end]);
            self.line_start = line_end + 1;
            self.searched = self.line_start;
            if is_empty {
                return Some(self.line_start);
            }
        }
        self.searched = self.head.len();
        None
    }
}
