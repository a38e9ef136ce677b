//! Groups that change without an operator.

mod harness;

use harness::Harness;
use micaspool_quorum::QuorumRole;
use rand::Rng;
use std::collections::BTreeSet;

/// The names of the voters as the leader knows them.
fn voters(harness: &Harness) -> BTreeSet<String> {
    let leader = harness.leader().expect("a leader exists");
    let core = harness.nodes[leader].core.as_ref().expect("the leader runs");
    let status = core.status(harness.now);
    status.membership.voters().map(|voter| voter.name.to_string()).collect()
}

fn named(numbers: &[usize]) -> BTreeSet<String> {
    numbers.iter().map(|number| format!("keeper-{number}")).collect()
}

fn formed(seed: u64) -> Harness {
    let mut harness = Harness::open(3, seed);
    harness.elect(5_000);
    harness.commit(b"first", 5_000);
    harness
}

#[test]
fn an_empty_keeper_at_another_name_takes_the_place_of_a_lost_one() {
    let mut harness = formed(1);
    harness.crash(1);
    harness.run(1_000);
    harness.add();
    harness.run(6_000);
    assert_eq!(voters(&harness), named(&[0, 2, 3]));
    // The next loss is borne as the first one was.
    harness.crash(0);
    harness.elect(5_000);
    harness.commit(b"second", 5_000);
    harness.check_acknowledged();
}

#[test]
fn a_newcomer_beside_living_keepers_counts_as_one_more() {
    let mut harness = formed(2);
    harness.add();
    harness.run(4_000);
    assert_eq!(voters(&harness), named(&[0, 1, 2, 3]));
}

#[test]
fn one_above_the_number_that_is_needed_is_dropped_once_it_is_silent() {
    let mut harness = formed(3);
    harness.add();
    harness.run(4_000);
    harness.crash(1);
    harness.run(20_000);
    assert_eq!(voters(&harness), named(&[0, 2, 3]));
    harness.crash(2);
    harness.elect(5_000);
    harness.commit(b"after the second loss", 5_000);
}

#[test]
fn a_silent_keeper_stays_while_nobody_stands_ready_for_its_place() {
    let mut harness = formed(4);
    harness.crash(2);
    harness.run(30_000);
    assert_eq!(voters(&harness), named(&[0, 1, 2]));
}

#[test]
fn a_keeper_that_was_dropped_while_it_was_cut_off_comes_back() {
    let mut harness = formed(5);
    harness.isolate(2, true);
    harness.add();
    harness.set_cut(2, 3, true);
    harness.run(6_000);
    harness.elect(5_000);
    assert_eq!(voters(&harness), named(&[0, 1, 3]));
    for other in [0, 1, 3] {
        harness.set_cut(2, other, false);
    }
    harness.run(6_000);
    assert!(voters(&harness).contains("keeper-2"), "{:?}", voters(&harness));
}

#[test]
fn keepers_that_are_no_first_start_form_no_group() {
    let mut harness = formed(6);
    for node in 0..3 {
        harness.wipe(node);
    }
    harness.run(20_000);
    let unformed = |node: &harness::Node| {
        let core = node.core.as_ref().expect("it runs");
        core.status(harness.now).role == QuorumRole::Unformed
    };
    assert!(harness.nodes.iter().all(unformed), "a new group would forget what was acknowledged");
}

/// Losses, cuts, lost disks and replacements, one at a time with time to catch up: nothing that was
/// acknowledged is ever lost, no two keepers disagree, and there is always a leader again.
#[test]
fn replacements_in_random_order_lose_nothing() {
    for seed in 0..60 {
        let mut harness = formed(1_000 + seed);
        let mut alive: Vec<usize> = vec![0, 1, 2];
        for round in 0..6_u32 {
            let place = harness.rng.random_range(0..alive.len());
            let victim = alive[place];
            match harness.rng.random_range(0..4) {
                0 => {
                    harness.crash(victim);
                    harness.run(800);
                    alive[place] = harness.add();
                }
                1 => harness.wipe(victim),
                2 => {
                    harness.crash(victim);
                    harness.run(2_500);
                    harness.start(victim);
                }
                _ => {
                    harness.isolate(victim, true);
                    harness.run(3_000);
                    harness.isolate(victim, false);
                }
            }
            harness.run(4_000);
            harness.elect(10_000);
            harness.commit(format!("{seed}-{round}").as_bytes(), 10_000);
        }
        harness.check_acknowledged();
    }
}
