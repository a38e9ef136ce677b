//! Shares of customers while a part of the engines is gone, over random loads in virtual time.

mod fleet;
mod load;
mod share;

use fleet::ScarceFleet;
use load::LoadPlan;
use std::ops::Range;
use test_case::test_case;

/// Plays days and tells which customers got less than half of what the best served got.
fn starved(seeds: Range<u64>) -> Vec<String> {
    let plays = seeds.flat_map(|seed| {
        let plan = LoadPlan::draw(seed);
        let record = ScarceFleet::new(&plan, seed).play();
        let found = record.starved();
        found.into_iter().map(move |found| format!("seed {seed}, {}: {found}", plan.name()))
    });
    plays.collect()
}

#[test_case(0..125)]
#[test_case(125..250)]
#[test_case(250..375)]
#[test_case(375..500)]
#[test_case(500..625)]
#[test_case(625..750)]
#[test_case(750..875)]
#[test_case(875..1_000)]
fn nobody_is_shut_out_while_engines_are_gone(seeds: Range<u64>) {
    let found = starved(seeds);
    assert!(found.is_empty(), "{} times:\n{}", found.len(), found.join("\n"));
}
