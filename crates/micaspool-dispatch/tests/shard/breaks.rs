//! Endpoints that lose an answer now and then.

use crate::bench::{hello, ticket, Bench};
use micaspool_dispatch::{GrantOutcome, ShardOptions};
use test_case::test_case;

/// The grants of the next request after these fates, at the only endpoint.
fn grants_after(tolerated: u32, fates: &[GrantOutcome]) -> usize {
    let options = ShardOptions::builder().tolerated_breaks(tolerated).build();
    let mut bench = Bench::recovering(1, 4, &["a"], options);
    bench.pass(1_000);
    bench.join(1, hello("r1", 1));
    for (number, fate) in fates.iter().enumerate() {
        bench.submit(1, ticket(number as u128, "a", 10));
        bench.settle(1, number as u128, 10, *fate);
    }
    bench.grants();
    bench.submit(1, ticket(99, "a", 10));
    bench.grants().len()
}

#[test_case(0, &[GrantOutcome::Broken] => 0; "none is tolerated by default")]
#[test_case(2, &[GrantOutcome::Broken, GrantOutcome::Broken] => 1; "two in a row")]
#[test_case(2, &[GrantOutcome::Broken, GrantOutcome::Broken, GrantOutcome::Broken] => 0; "three in a row")]
#[test_case(2, &[GrantOutcome::Broken, GrantOutcome::Broken, GrantOutcome::Done, GrantOutcome::Broken] => 1; "an answer between")]
#[test_case(2, &[GrantOutcome::Unreachable] => 0; "one that is gone is left at once")]
fn breaks(tolerated: u32, fates: &[GrantOutcome]) -> usize {
    grants_after(tolerated, fates)
}
