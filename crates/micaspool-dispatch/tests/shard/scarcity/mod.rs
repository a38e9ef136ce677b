//! Shares of customers while some engines are lost, under random loads in simulated time.

mod fleet;
mod load;
pub mod share;

use fleet::ScarceFleet;
use load::{LoadPlan, LossKind, LOSS_AT};
use std::ops::Range;
use std::time::Duration;
use test_case::test_case;

/// Runs the plans of these seeds and describes the starved customers; see `ShareRecord::starved`.
fn starved(seeds: Range<u64>, draw: fn(u64) -> LoadPlan) -> Vec<String> {
    let plays = seeds.flat_map(|seed| {
        let plan = draw(seed);
        let record = ScarceFleet::new(&plan, seed).play();
        let found = record.starved();
        found.into_iter().map(move |found| format!("seed {seed}, {}: {found}", plan.describe()))
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
fn no_customer_starves_while_engines_are_lost(seeds: Range<u64>) {
    let found = starved(seeds, LoadPlan::draw);
    assert!(found.is_empty(), "{} starved customers:\n{}", found.len(), found.join("\n"));
}

/// The same for further seeds that were found to starve a customer.
#[test_case(2_865)]
#[test_case(2_928)]
#[test_case(3_384)]
#[test_case(4_044)]
fn nobody_is_shut_out_on_days_found_later(seed: u64) {
    let found = starved(seed..seed + 1, LoadPlan::draw);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// Here several prompts of a customer are granted at once just before the loss.
#[test_case(2_570)]
#[test_case(4_148)]
fn nobody_is_shut_out_after_a_burst_of_grants(seed: u64) {
    let found = starved(seed..seed + 1, LoadPlan::draw);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

#[test_case(0..125)]
#[test_case(125..250)]
#[test_case(250..375)]
#[test_case(375..500)]
#[test_case(500..625)]
#[test_case(625..750)]
#[test_case(750..875)]
#[test_case(875..1_000)]
fn no_customer_with_few_routers_starves_when_engines_return(seeds: Range<u64>) {
    let found = starved(seeds, LoadPlan::draw_return);
    assert!(found.is_empty(), "{} starved customers:\n{}", found.len(), found.join("\n"));
}

#[test]
fn tickets_are_refused_beside_free_engines_while_some_are_lost() {
    let found = refused_beside_free_engines(0..125, LoadPlan::draw);
    assert!(found.is_empty(), "{} seeds:\n{}", found.len(), found.join("\n"));
}

#[test]
fn tickets_are_refused_beside_free_engines_while_some_return() {
    let found = refused_beside_free_engines(0..125, LoadPlan::draw_return);
    assert!(found.is_empty(), "{} seeds:\n{}", found.len(), found.join("\n"));
}

/// The seeds whose day has a ticket beside a free engine that could begin it in time.
fn refused_beside_free_engines(seeds: Range<u64>, draw: fn(u64) -> LoadPlan) -> Vec<String> {
    let found = seeds.filter_map(|seed| {
        let plan = draw(seed);
        let (_, harness) = ScarceFleet::new(&plan, seed).play_with_harness();
        let first = harness.idle_engines.first()?;
        Some(format!("seed {seed}, {}: {}, first {first:?}", plan.describe(), harness.idle_engines.len()))
    });
    found.collect()
}

/// Returns in how many runs refusals state a longer retry delay after a loss than before, and how many runs
/// have enough refusals to compare.
fn longer_delays_after_loss(seeds: Range<u64>) -> (usize, usize) {
    let second = Duration::from_secs(1);
    let plays = seeds.filter_map(|seed| {
        let plan = LoadPlan { loss: LossKind::Gone, gap: Duration::ZERO, ..LoadPlan::draw(seed) };
        let plan = LoadPlan { lost: plan.lost.max(plan.engines / 2), ..plan };
        let record = ScarceFleet::new(&plan, seed).play();
        let before = record.mean_retry_delay(LOSS_AT - second..LOSS_AT)?;
        let after = record.mean_retry_delay(LOSS_AT + second..LOSS_AT + 3 * second)?;
        Some(after > before)
    });
    let longer: Vec<bool> = plays.collect();
    (longer.iter().filter(|longer| **longer).count(), longer.len())
}

#[test]
fn retry_delays_grow_when_capacity_falls() {
    let (longer, runs) = longer_delays_after_loss(0..100);
    assert!(runs >= 50, "{runs} runs have refusals before and after the loss");
    assert!(longer * 20 >= runs * 19, "{longer} of {runs} runs");
}
