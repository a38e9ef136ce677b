//! A site with some hundred engines whose customers ask for more than they prefill, under random loads in simulated
//! time.

mod fleet;
mod load;

use fleet::{SiteFleet, SiteOutcome};
use load::SitePlan;
use test_case::test_case;

/// Plays the plan of a seed and prints what it shows.
fn play(seed: u64) -> SiteOutcome {
    let plan = SitePlan::draw(seed);
    let outcome = SiteFleet::new(&plan, seed).play();
    println!("seed {seed}, {}: {}", plan.describe(), outcome.describe());
    outcome
}

#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
fn tickets_are_refused_beside_free_engines_of_a_large_site(seed: u64) {
    play(seed).harness.assert_no_idle_engine();
}

#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
fn nobody_is_shut_out_at_a_large_site(seed: u64) {
    let found = play(seed).shares.starved();
    assert!(found.is_empty(), "{}", found.join("\n"));
}
