//! Parsing of `Retry-After` (RFC 9110, section 10.2.3).

use std::fmt;
use std::time::{Duration, SystemTime};

/// The upper limit of a rest. A longer value is taken for a mistake, such as milliseconds in place of seconds, and is
/// reduced to this limit; the endpoint is then probed with a single request.
pub const MAX_REST: Duration = Duration::from_secs(3_600);

/// The rest of an endpoint that announces its shutdown, where all starts of the endpoint share one name and the next
/// start is not announced. After each such rest the endpoint is probed with a single request.
pub const DRAINING_REST: Duration = Duration::from_secs(10);

/// The reason why a `Retry-After` value is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The value is neither a number of seconds nor an HTTP date; holds the beginning of the value.
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

/// Returns the longest valid `Retry-After` value of a response, limited to [`MAX_REST`], or zero if there are no
/// values. Fails only if there are values and none of them is valid.
///
/// Fractional seconds are accepted, since this system sends them itself. A date is relative to `now`, the wall-clock
/// time; a date in the past gives zero.
pub fn parse_retry_after<'a>(
    values: impl IntoIterator<Item = &'a str>,
    now: SystemTime,
) -> Result<Duration, Error> {
    let mut longest = None;
    let mut last_error = None;
    for value in values {
        match parse_value(value.trim(), now) {
            Ok(rest) => longest = longest.max(Some(rest)),
            Err(error) => last_error = Some(error),
        }
    }
    match (longest, last_error) {
        (Some(rest), _) => Ok(rest),
        (None, Some(error)) => Err(error),
        (None, None) => Ok(Duration::ZERO),
    }
}

fn parse_value(text: &str, now: SystemTime) -> Result<Duration, Error> {
    if let Some(rest) = parse_seconds(text) {
        return Ok(rest.min(MAX_REST));
    }
    let date = httpdate::parse_http_date(text).map_err(|_| Error::Unreadable(truncate_quote(text)))?;
    Ok(date.duration_since(now).unwrap_or_default().min(MAX_REST))
}

/// Parses seconds with or without a fraction. A number too large for a `Duration` gives `Duration::MAX`.
fn parse_seconds(text: &str) -> Option<Duration> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_number)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Truncates a value to the length quoted in error messages.
fn truncate_quote(text: &str) -> Box<str> {
    const MAX_QUOTED_CHARS: usize = 40;
    text.chars().take(MAX_QUOTED_CHARS).collect::<String>().into()
}
