//! Endpoints that occasionally fail after a request was sent.

use crate::harness::{hello, ticket, ShardHarness};
use micaspool_dispatch::{GrantOutcome, ShardOptions};
use test_case::test_case;

/// Settles requests with these outcomes at the only endpoint and returns how many grants the next request gets:
/// 1 while the endpoint is open, 0 while it is paused.
fn grants_after_outcomes(tolerated: u32, outcomes: &[GrantOutcome]) -> usize {
    let options = ShardOptions::builder().tolerated_breaks(tolerated).build();
    let mut harness = ShardHarness::recovering(1, 4, &["a"], options);
    harness.advance(1_000);
    harness.join(1, hello("r1", 1));
    for (number, outcome) in outcomes.iter().enumerate() {
        harness.submit(1, ticket(number as u128, "a", 10));
        harness.settle(1, number as u128, 10, *outcome);
    }
    harness.take_grants();
    harness.submit(1, ticket(99, "a", 10));
    harness.take_grants().len()
}

#[test_case(0, &[GrantOutcome::Broken] => 0; "no failure is tolerated")]
#[test_case(2, &[GrantOutcome::Broken, GrantOutcome::Broken] => 1; "two in a row")]
#[test_case(2, &[GrantOutcome::Broken, GrantOutcome::Broken, GrantOutcome::Broken] => 0; "three in a row")]
#[test_case(2, &[GrantOutcome::Broken, GrantOutcome::Broken, GrantOutcome::Done, GrantOutcome::Broken] => 1; "a success resets the count")]
#[test_case(2, &[GrantOutcome::Unreachable] => 0; "an unreachable endpoint is paused at once")]
fn consecutive_failures_beyond_the_tolerance_pause_an_endpoint(
    tolerated: u32,
    outcomes: &[GrantOutcome],
) -> usize {
    grants_after_outcomes(tolerated, outcomes)
}
