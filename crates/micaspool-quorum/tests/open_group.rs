//! Membership changes of open groups, which need no operator.

mod harness;

use harness::Harness;
use micaspool_quorum::QuorumRole;
use rand::Rng;
use std::collections::BTreeSet;

/// Returns the names of the voters according to the leader.
fn voters(harness: &Harness) -> BTreeSet<String> {
    let leader = harness.leader().expect("a leader exists");
    let core = harness.nodes[leader].core.as_ref().expect("the leader runs");
    let status = core.status(harness.now);
    status.membership.voters().map(|voter| voter.name.to_string()).collect()
}

fn keeper_names(numbers: &[usize]) -> BTreeSet<String> {
    numbers.iter().map(|number| format!("keeper-{number}")).collect()
}

fn formed_group(seed: u64) -> Harness {
    let mut harness = Harness::open(3, seed);
    harness.elect(5_000);
    harness.commit(b"first", 5_000);
    harness
}

#[test]
fn empty_keeper_with_a_new_name_replaces_a_lost_one() {
    let mut harness = formed_group(1);
    harness.crash(1);
    harness.run_for(1_000);
    harness.add_keeper();
    harness.run_for(6_000);
    assert_eq!(voters(&harness), keeper_names(&[0, 2, 3]));
    // The group tolerates the next failure as well.
    harness.crash(0);
    harness.elect(5_000);
    harness.commit(b"second", 5_000);
    harness.check_acknowledged();
}

#[test]
fn learner_is_promoted_beside_reachable_voters() {
    let mut harness = formed_group(2);
    harness.add_keeper();
    harness.run_for(4_000);
    assert_eq!(voters(&harness), keeper_names(&[0, 1, 2, 3]));
}

#[test]
fn unreachable_surplus_voter_is_removed() {
    let mut harness = formed_group(3);
    harness.add_keeper();
    harness.run_for(4_000);
    harness.crash(1);
    harness.run_for(20_000);
    assert_eq!(voters(&harness), keeper_names(&[0, 2, 3]));
    harness.crash(2);
    harness.elect(5_000);
    harness.commit(b"after the second loss", 5_000);
}

#[test]
fn unreachable_voter_stays_without_a_replacement() {
    let mut harness = formed_group(4);
    harness.crash(2);
    harness.run_for(30_000);
    assert_eq!(voters(&harness), keeper_names(&[0, 1, 2]));
}

#[test]
fn voter_removed_during_a_partition_is_admitted_again() {
    let mut harness = formed_group(5);
    harness.isolate(2, true);
    harness.add_keeper();
    harness.set_link_blocked(2, 3, true);
    harness.run_for(6_000);
    harness.elect(5_000);
    assert_eq!(voters(&harness), keeper_names(&[0, 1, 3]));
    for other in [0, 1, 3] {
        harness.set_link_blocked(2, other, false);
    }
    harness.run_for(6_000);
    assert!(voters(&harness).contains("keeper-2"), "{:?}", voters(&harness));
}

#[test]
fn wiped_keepers_that_may_not_form_stay_unformed() {
    let mut harness = formed_group(6);
    for node in 0..3 {
        harness.wipe(node);
    }
    harness.run_for(20_000);
    let is_unformed = |node: &harness::Node| {
        let core = node.core.as_ref().expect("the keeper runs");
        core.status(harness.now).role == QuorumRole::Unformed
    };
    assert!(harness.nodes.iter().all(is_unformed), "a new group would lose acknowledged commands");
}

/// Crashes, partitions, disk losses and replacements, one at a time and with time to catch up, lose
/// no acknowledged command, make no two keepers disagree, and are always followed by a new leader.
#[test]
fn random_replacements_lose_no_acknowledged_command() {
    for seed in 0..60 {
        let mut harness = formed_group(1_000 + seed);
        let mut running: Vec<usize> = vec![0, 1, 2];
        for round in 0..6_u32 {
            let slot = harness.rng.random_range(0..running.len());
            let victim = running[slot];
            match harness.rng.random_range(0..4) {
                0 => {
                    harness.crash(victim);
                    harness.run_for(800);
                    running[slot] = harness.add_keeper();
                }
                1 => harness.wipe(victim),
                2 => {
                    harness.crash(victim);
                    harness.run_for(2_500);
                    harness.start(victim);
                }
                _ => {
                    harness.isolate(victim, true);
                    harness.run_for(3_000);
                    harness.isolate(victim, false);
                }
            }
            harness.run_for(4_000);
            harness.elect(10_000);
            harness.commit(format!("{seed}-{round}").as_bytes(), 10_000);
        }
        harness.check_acknowledged();
    }
}
