//! Shares of customers while a part of the engines is gone, over random loads in virtual time.

mod fleet;
mod load;
mod share;

use fleet::ScarceFleet;
use load::{LoadPlan, LossKind, LOSS_AT};
use std::ops::Range;
use std::time::Duration;
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

/// The same on days that were found among further seeds.
#[test_case(2_865)]
#[test_case(2_928)]
#[test_case(3_384)]
#[test_case(4_044)]
fn nobody_is_shut_out_on_days_found_later(seed: u64) {
    let found = starved(seed..seed + 1);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// How often callers are told to come back later after a loss than before, of the days on which both can be told.
fn later_after_a_loss(seeds: Range<u64>) -> (usize, usize) {
    let second = Duration::from_secs(1);
    let plays = seeds.filter_map(|seed| {
        let plan = LoadPlan { loss: LossKind::Gone, gap: Duration::ZERO, ..LoadPlan::draw(seed) };
        let plan = LoadPlan { lost: plan.lost.max(plan.engines / 2), ..plan };
        let record = ScarceFleet::new(&plan, seed).play();
        let before = record.mean_told(LOSS_AT - second..LOSS_AT)?;
        let after = record.mean_told(LOSS_AT + second..LOSS_AT + 3 * second)?;
        Some(after > before)
    });
    let later: Vec<bool> = plays.collect();
    (later.iter().filter(|later| **later).count(), later.len())
}

#[test]
fn callers_are_told_to_come_back_later_when_capacity_falls() {
    let (later, days) = later_after_a_loss(0..100);
    assert!(days >= 50, "{days} days have refusals before and after");
    assert!(later * 20 >= days * 19, "{later} of {days} days");
}
