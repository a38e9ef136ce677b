//! Reading `Retry-After` (RFC 9110, section 10.2.3).

use std::fmt;
use std::time::{Duration, SystemTime};

/// The longest rest that is kept to. One that is longer is taken for a slip, such as milliseconds where seconds are
/// meant, and the endpoint is asked again by a single request then.
pub const MAX_REST: Duration = Duration::from_secs(3_600);

/// How long an endpoint that says that it leaves is left alone where its next start has the same name and tells nothing
/// of it: it is asked again by a single request now and then.
pub const DRAINING_REST: Duration = Duration::from_secs(10);

/// Why a time can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// It is neither a number of seconds nor a date.
    Unreadable(Box<str>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreadable(text) => write!(
                f,
                "{text:?} is neither a number of seconds nor an HTTP date; correct the endpoint's Retry-After"
            ),
        }
    }
}

impl std::error::Error for Error {}

/// How long an endpoint wants to be left alone, from all `Retry-After` values of an answer's head: the longest that can
/// be read, at most [`MAX_REST`]; zero without any. Seconds may have a fraction, as this system itself sends
/// them; a date counts from `now`, the time of day, and one that has passed is no time.
pub fn parse_retry_after<'a>(
    values: impl IntoIterator<Item = &'a str>,
    now: SystemTime,
) -> Result<Duration, Error> {
    let mut longest = None;
    let mut fault = None;
    for value in values {
        match read_one(value.trim(), now) {
            Ok(rest) => longest = longest.max(Some(rest)),
            Err(error) => fault = Some(error),
        }
    }
    match (longest, fault) {
        (Some(rest), _) => Ok(rest),
        (None, Some(error)) => Err(error),
        (None, None) => Ok(Duration::ZERO),
    }
}

fn read_one(text: &str, now: SystemTime) -> Result<Duration, Error> {
    if let Some(rest) = read_seconds(text) {
        return Ok(rest.min(MAX_REST));
    }
    let date = httpdate::parse_http_date(text).map_err(|_| Error::Unreadable(shortened(text)))?;
    Ok(date.duration_since(now).unwrap_or_default().min(MAX_REST))
}

/// Seconds with or without a fraction; a number too large for a time is the longest one.
fn read_seconds(text: &str) -> Option<Duration> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_number)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// What an error quotes of a value.
fn shortened(text: &str) -> Box<str> {
    const QUOTED: usize = 40;
    text.chars().take(QUOTED).collect::<String>().into()
}
