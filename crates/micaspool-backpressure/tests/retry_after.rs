//! How long an endpoint wants to be left alone, as it may be written.

use micaspool_backpressure::{parse_retry_after, Error, HeaderAdvice, MAX_REST};
use micaspool_types::EndpointAdvice;
use std::time::{Duration, SystemTime};
use test_case::test_case;

/// Sun, 06 Nov 1994 08:49:37 GMT.
const NOW: Duration = Duration::from_secs(784_111_777);

fn read(values: &[&str]) -> Result<Duration, Error> {
    parse_retry_after(values.iter().copied(), SystemTime::UNIX_EPOCH + NOW)
}

#[test_case(&[], 0; "none")]
#[test_case(&["0"], 0; "no time")]
#[test_case(&["3"], 3_000; "seconds")]
#[test_case(&[" 3 "], 3_000; "with blanks around")]
#[test_case(&["0.25"], 250; "a fraction")]
#[test_case(&["2.500"], 2_500; "a fraction with zeros")]
#[test_case(&["Sun, 06 Nov 1994 08:49:40 GMT"], 3_000; "a date")]
#[test_case(&["Sunday, 06-Nov-94 08:49:40 GMT"], 3_000; "a date in an older form")]
#[test_case(&["Sun, 06 Nov 1994 08:49:00 GMT"], 0; "a date that has passed")]
#[test_case(&["1", "4", "2"], 4_000; "several")]
#[test_case(&["soon", "2"], 2_000; "one of two can be read")]
#[test_case(&["99999999999999999999999"], 3_600_000; "more than a number holds")]
#[test_case(&["86400"], 3_600_000; "longer than is kept to")]
#[test_case(&["Sat, 06 Nov 2094 08:49:40 GMT"], 3_600_000; "a date far away")]
fn a_time_is_read(values: &[&str], millis: u64) {
    assert_eq!(read(values), Ok(Duration::from_millis(millis)));
    assert!(MAX_REST >= Duration::from_millis(millis));
}

#[test_case(""; "nothing")]
#[test_case("-1"; "below zero")]
#[test_case("+1"; "a sign")]
#[test_case("1e3"; "an exponent")]
#[test_case("nan"; "no number")]
#[test_case("inf"; "without an end")]
#[test_case("1.2.3"; "two points")]
#[test_case("."; "a point")]
#[test_case("3 s"; "a unit")]
#[test_case("3, 4"; "a list")]
#[test_case("soon"; "a word")]
fn what_is_no_time_is_named(value: &str) {
    let error = read(&[value]).expect_err("it can't be read");
    assert!(error.to_string().contains("correct the endpoint's Retry-After"), "{error}");
}

#[test]
fn an_answer_that_turns_nothing_away_asks_for_no_rest() {
    assert_eq!(HeaderAdvice::parse(false, ["3"], false), HeaderAdvice::default());
    let heard = HeaderAdvice::parse(true, ["3"], true);
    assert_eq!(heard.advice, EndpointAdvice { rest: Duration::from_secs(3), leaving: true });
    let heard = HeaderAdvice::parse(true, ["soon"], true);
    assert_eq!(heard.advice, EndpointAdvice { rest: Duration::ZERO, leaving: true });
    assert!(heard.fault.is_some());
}
