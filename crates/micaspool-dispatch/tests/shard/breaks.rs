//! Endpoints that lose an answer now and then.

use crate::harness::{hello, ticket, ShardHarness};
use micaspool_dispatch::{GrantFate, ShardOptions};
use test_case::test_case;

/// The grants of the next request after these fates, at the only endpoint.
fn grants_after(tolerated: u32, fates: &[GrantFate]) -> usize {
    let options = ShardOptions::builder().tolerated_breaks(tolerated).build();
    let mut harness = ShardHarness::recovering(1, 4, &["a"], options);
    harness.advance(1_000);
    harness.join(1, hello("r1", 1));
    for (number, fate) in fates.iter().enumerate() {
        harness.submit(1, ticket(number as u128, "a", 10));
        harness.settle(1, number as u128, 10, *fate);
    }
    harness.take_grants();
    harness.submit(1, ticket(99, "a", 10));
    harness.take_grants().len()
}

#[test_case(0, &[GrantFate::Broken] => 0; "none is tolerated by default")]
#[test_case(2, &[GrantFate::Broken, GrantFate::Broken] => 1; "two in a row")]
#[test_case(2, &[GrantFate::Broken, GrantFate::Broken, GrantFate::Broken] => 0; "three in a row")]
#[test_case(2, &[GrantFate::Broken, GrantFate::Broken, GrantFate::Done, GrantFate::Broken] => 1; "an answer between")]
#[test_case(2, &[GrantFate::Unreachable] => 0; "one that is gone is left at once")]
fn breaks(tolerated: u32, fates: &[GrantFate]) -> usize {
    grants_after(tolerated, fates)
}
