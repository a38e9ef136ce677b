//! Parsing of `Retry-After` values, and which responses they count for.

use micaspool_backpressure::{parse_retry_after, Error, HeaderAdvice, MAX_REST};
use micaspool_types::EndpointAdvice;
use std::time::{Duration, SystemTime};
use test_case::test_case;

/// Sun, 06 Nov 1994 08:49:37 GMT.
const NOW: Duration = Duration::from_secs(784_111_777);

fn parse(values: &[&str]) -> Result<Duration, Error> {
    parse_retry_after(values.iter().copied(), SystemTime::UNIX_EPOCH + NOW)
}

#[test_case(&[], 0; "none")]
#[test_case(&["0"], 0; "zero")]
#[test_case(&["3"], 3_000; "seconds")]
#[test_case(&[" 3 "], 3_000; "surrounding spaces")]
#[test_case(&["0.25"], 250; "a fraction")]
#[test_case(&["2.500"], 2_500; "a fraction with trailing zeros")]
#[test_case(&["Sun, 06 Nov 1994 08:49:40 GMT"], 3_000; "a date")]
#[test_case(&["Sunday, 06-Nov-94 08:49:40 GMT"], 3_000; "a date in the obsolete RFC 850 format")]
#[test_case(&["Sun, 06 Nov 1994 08:49:00 GMT"], 0; "a date in the past")]
#[test_case(&["1", "4", "2"], 4_000; "the longest of several")]
#[test_case(&["soon", "2"], 2_000; "one of two is valid")]
#[test_case(&["99999999999999999999999"], 3_600_000; "more seconds than a Duration holds")]
#[test_case(&["86400"], 3_600_000; "longer than the limit")]
#[test_case(&["Sat, 06 Nov 2094 08:49:40 GMT"], 3_600_000; "a date beyond the limit")]
fn valid_values_are_parsed(values: &[&str], millis: u64) {
    assert_eq!(parse(values), Ok(Duration::from_millis(millis)));
    assert!(MAX_REST >= Duration::from_millis(millis));
}

#[test_case(""; "empty")]
#[test_case("-1"; "negative")]
#[test_case("+1"; "a sign")]
#[test_case("1e3"; "an exponent")]
#[test_case("nan"; "not a number")]
#[test_case("inf"; "infinite")]
#[test_case("1.2.3"; "two decimal points")]
#[test_case("."; "only a decimal point")]
#[test_case("3 s"; "a unit")]
#[test_case("3, 4"; "a list")]
#[test_case("soon"; "a word")]
fn invalid_values_are_reported_with_a_remedy(value: &str) {
    let error = parse(&[value]).expect_err("the value is invalid");
    assert!(error.to_string().contains("correct the endpoint's Retry-After"), "{error}");
}

#[test]
fn retry_after_counts_only_for_rejected_requests() {
    assert_eq!(HeaderAdvice::parse(false, ["3"], false), HeaderAdvice::default());
    let parsed = HeaderAdvice::parse(true, ["3"], true);
    assert_eq!(parsed.advice, EndpointAdvice { rest: Duration::from_secs(3), leaving: true });
    let parsed = HeaderAdvice::parse(true, ["soon"], true);
    assert_eq!(parsed.advice, EndpointAdvice { rest: Duration::ZERO, leaving: true });
    assert!(parsed.error.is_some());
}
