//! Planned stops in open groups, in virtual time.

mod harness;

use harness::Harness;
use micaspool_quorum::{LeaveOutcome, QuorumEvent};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::Rng;
use test_case::test_case;

const SEEDS: u64 = 300;
/// The shortest election timeout.
const ELECTION_TIMEOUT_MS: u64 = 500;
/// The time that a core machine has to catch up. A killed machine may not count for longer than its successor needs.
const CATCH_UP_MS: u64 = 4_000;

/// Starts three keepers and `successors` more, and waits until all are voters.
fn group_with_successors(seed: u64, successors: usize) -> Harness {
    let mut harness = Harness::open(3, seed);
    harness.elect(5_000);
    harness.commit(b"first", 5_000);
    for _ in 0..successors {
        harness.add_keeper();
        harness.run_for(4_000);
    }
    assert_eq!(voter_count(&harness), 3 + successors);
    harness
}

fn voter_count(harness: &Harness) -> usize {
    let leader = harness.leader().expect("a leader exists");
    let core = harness.nodes[leader].core.as_ref().expect("the leader runs");
    core.status(harness.now).membership.voters().count()
}

// Guards against a group whose majority needs machines that were stopped for good.
#[test_case(1_000; "1 s apart")]
#[test_case(100; "100 ms apart")]
#[test_case(0; "at once")]
fn a_move_to_successors_keeps_what_was_acknowledged(pause: u64) {
    for seed in 0..SEEDS {
        let mut harness = group_with_successors(seed, 3);
        let mut order = [0, 1, 2];
        order.shuffle(&mut harness.rng);
        for node in order {
            assert_eq!(harness.stop(node), Some(LeaveOutcome::Removed), "seed {seed}");
            harness.run_for(pause);
        }
        harness.elect(3_000);
        harness.commit(b"second", 3_000);
        harness.check_acknowledged();
        assert_eq!(voter_count(&harness), 3);
    }
}

// Guards against a stopped keeper that still counts when a disk is lost, whoever led.
#[test]
fn a_disk_lost_right_after_a_planned_replacement_leaves_a_majority() {
    for seed in 0..SEEDS {
        let mut harness = group_with_successors(seed, 1);
        let replaced = harness.rng.random_range(0..3);
        assert_eq!(harness.stop(replaced), Some(LeaveOutcome::Removed), "seed {seed}");
        let lost = (replaced + harness.rng.random_range(1..3)) % 3;
        harness.wipe(lost);
        harness.elect(3_000);
        harness.commit(b"second", 3_000);
        harness.check_acknowledged();
        harness.run_for(4_000);
        assert_eq!(voter_count(&harness), 3);
    }
}

/// Kills one of the first three keepers for good, loses the disk of another one after a pause, and expects the group to go on.
fn lose_disk_after_kill(harness: &mut Harness, pause: u64) {
    let killed = harness.rng.random_range(0..3);
    harness.crash(killed);
    harness.run_for(pause);
    let lost = (killed + harness.rng.random_range(1..3)) % 3;
    harness.wipe(lost);
    harness.elect(5_000);
    harness.commit(b"second", 5_000);
    harness.check_acknowledged();
}

// Guards against a machine that ends without a word and counts for longer than its successor needs to catch up.
#[test]
fn a_killed_voter_beside_its_successor_is_dropped_before_the_next_loss() {
    for seed in 0..SEEDS {
        let mut harness = group_with_successors(seed, 1);
        lose_disk_after_kill(&mut harness, CATCH_UP_MS);
    }
}

// Guards against a process that ended without a word and counts until its silence is noticed.
#[test]
fn a_voter_that_refuses_connections_is_dropped_within_an_election_timeout() {
    for seed in 0..SEEDS {
        let mut harness = group_with_successors(seed, 1);
        harness.refuses = true;
        lose_disk_after_kill(&mut harness, ELECTION_TIMEOUT_MS);
    }
}

// Guards against a keeper that restarts in place and is not admitted again after its refusals.
#[test]
fn a_voter_that_restarts_in_place_is_a_voter_again() {
    for seed in 0..30 {
        let mut harness = group_with_successors(seed, 1);
        harness.refuses = true;
        let killed = harness.rng.random_range(0..4);
        harness.crash(killed);
        let pause = harness.rng.random_range(1..100) * 10;
        harness.run_for(pause);
        harness.start(killed);
        harness.run_for(4_000);
        assert_eq!(voter_count(&harness), 4, "seed {seed}");
    }
}

// Guards against an election timeout without a leader where its end is known.
#[test]
fn a_leader_that_refuses_connections_is_replaced_before_an_election_timeout() {
    for seed in 0..SEEDS {
        let mut harness = group_with_successors(seed, 0);
        harness.refuses = true;
        let killed = harness.leader().expect("a leader exists");
        harness.crash(killed);
        let next = harness.elect(ELECTION_TIMEOUT_MS);
        assert_ne!(next, killed, "seed {seed}");
    }
}

// Guards against a dead leader that still counts when its successor has caught up.
#[test]
fn a_killed_leader_is_replaced_before_its_successor_has_had_its_time() {
    for seed in 0..SEEDS {
        let mut harness = group_with_successors(seed, 0);
        let killed = harness.leader().expect("a leader exists");
        harness.crash(killed);
        let pause = harness.rng.random_range(1..100) * 10;
        harness.run_for(pause);
        let successor = harness.add_keeper();
        harness.run_for(CATCH_UP_MS);
        let remaining = [(killed + 1) % 3, (killed + 2) % 3, successor];
        let lost = *remaining.choose(&mut harness.rng).expect("three remain");
        harness.wipe(lost);
        harness.elect(5_000);
        harness.commit(b"second", 5_000);
        harness.check_acknowledged();
    }
}

// Guards against a group that loses its majority while killed voters wait for their turn to be dropped.
#[test]
fn voters_killed_one_after_the_other_beside_their_successors_leave_a_majority() {
    for seed in 0..SEEDS {
        let mut harness = group_with_successors(seed, 3);
        let mut order = [0, 1, 2];
        order.shuffle(&mut harness.rng);
        for node in order {
            harness.crash(node);
            harness.run_for(CATCH_UP_MS);
        }
        harness.elect(5_000);
        harness.commit(b"second", 5_000);
        harness.check_acknowledged();
    }
}

// Guards against a group that shrinks below its target.
#[test]
fn a_keeper_without_a_successor_stays_a_voter() {
    for seed in 0..30 {
        let mut harness = group_with_successors(seed, 0);
        let node = harness.rng.random_range(0..3);
        assert_eq!(harness.stop(node), Some(LeaveOutcome::Needed), "seed {seed}");
        harness.elect(3_000);
        harness.commit(b"second", 3_000);
        assert_eq!(voter_count(&harness), 3);
        harness.start(node);
        harness.run_for(2_000);
        assert_eq!(voter_count(&harness), 3);
    }
}

// Guards against a gap of an election timeout after a leader was asked to stop.
#[test]
fn a_leader_that_stops_hands_over_first() {
    for seed in 0..30 {
        let mut harness = group_with_successors(seed, 0);
        let leader = harness.leader().expect("a leader exists");
        harness.run_for(1_000);
        harness.stop(leader);
        let next = harness.leader();
        assert!(next.is_some_and(|next| next != leader), "seed {seed}: {next:?}");
    }
}

// Guards against keepers that leave one after the other until no group is left.
#[test]
fn keepers_that_are_all_stopped_find_a_group_again() {
    for seed in 0..30 {
        let successors = seed as usize % 4;
        let mut harness = group_with_successors(seed, successors);
        for node in 0..3 + successors {
            harness.inject_event(node, QuorumEvent::Leave);
        }
        harness.run_for(3_000);
        for node in 0..3 + successors {
            harness.crash(node);
        }
        harness.run_for(1_000);
        for node in 0..3 + successors {
            harness.start(node);
        }
        harness.elect(5_000);
        harness.commit(b"second", 5_000);
        harness.check_acknowledged();
        harness.run_for(8_000);
        assert_eq!(voter_count(&harness), 3 + successors, "seed {seed}");
    }
}

// Guards against a keeper that is admitted again while it stops, and against one that is never admitted again.
#[test]
fn a_keeper_that_has_left_stays_out_until_it_starts_again() {
    for seed in 0..30 {
        let mut harness = group_with_successors(seed, 1);
        let node = harness.rng.random_range(0..4);
        harness.inject_event(node, QuorumEvent::Leave);
        harness.run_for(10_000);
        assert_eq!(voter_count(&harness), 3, "seed {seed}");
        harness.crash(node);
        harness.start(node);
        harness.run_for(6_000);
        assert_eq!(voter_count(&harness), 4, "seed {seed}");
    }
}

// Guards against a majority that is given up because a keeper leaves beside others that are lost.
#[test]
fn a_keeper_stays_while_the_others_are_no_majority() {
    for seed in 0..30 {
        let mut harness = group_with_successors(seed, 2);
        let leader = harness.leader().expect("a leader exists");
        let others: Vec<usize> = (0..5).filter(|node| *node != leader).collect();
        harness.crash(others[0]);
        harness.crash(others[1]);
        harness.inject_event(others[2], QuorumEvent::Leave);
        harness.run_for(600);
        assert_eq!(voter_count(&harness), 5, "seed {seed}");
        harness.commit(b"second", 3_000);
    }
}

/// Planned stops, replacements, lost disks and cuts in a row, over links that drop and delay messages, lose nothing that
/// was acknowledged and are followed by a leader.
#[test]
fn planned_stops_among_other_disruptions_lose_nothing() {
    for seed in 0..200 {
        let mut harness = group_with_successors(10_000 + seed, 0);
        let mut running: Vec<usize> = vec![0, 1, 2];
        for round in 0..6_u32 {
            harness.seeds = Some(running.clone());
            let slot = harness.rng.random_range(0..running.len());
            let victim = running[slot];
            match harness.rng.random_range(0..5) {
                0 => {
                    let successor = harness.add_keeper();
                    harness.run_for(4_300);
                    harness.stop(victim);
                    running[slot] = successor;
                    let other = running[(slot + 1) % running.len()];
                    harness.wipe(other);
                }
                1 => harness.wipe(victim),
                2 => {
                    harness.stop(victim);
                    harness.run_for(2_500);
                    harness.start(victim);
                }
                3 => {
                    harness.isolate(victim, true);
                    harness.run_for(3_000);
                    harness.isolate(victim, false);
                }
                _ => {
                    harness.drop_percent = 10;
                    harness.stop(victim);
                    harness.start(victim);
                    harness.run_for(2_000);
                    harness.drop_percent = 0;
                }
            }
            harness.run_for(4_000);
            harness.elect(10_000);
            harness.commit(format!("{seed}-{round}").as_bytes(), 10_000);
        }
        harness.check_acknowledged();
    }
}

/// Ends without a word, restarts, lost disks and wrong refusals of running keepers in a row lose nothing that was
/// acknowledged and are followed by a leader.
#[test]
fn ends_and_refusals_among_other_disruptions_lose_nothing() {
    for seed in 0..200 {
        let mut harness = group_with_successors(20_000 + seed, 0);
        harness.refuses = true;
        let mut running: Vec<usize> = vec![0, 1, 2];
        for round in 0..6_u32 {
            harness.seeds = Some(running.clone());
            let slot = harness.rng.random_range(0..running.len());
            let victim = running[slot];
            match harness.rng.random_range(0..4) {
                0 => {
                    running[slot] = harness.add_keeper();
                    harness.run_for(CATCH_UP_MS);
                    harness.crash(victim);
                    harness.run_for(ELECTION_TIMEOUT_MS);
                    let other = running[(slot + 1) % running.len()];
                    harness.wipe(other);
                }
                1 => {
                    harness.crash(victim);
                    let pause = harness.rng.random_range(0..100) * 10;
                    harness.run_for(pause);
                    harness.start(victim);
                }
                2 => harness.wipe(victim),
                _ => {
                    let name = harness.nodes[victim].name.clone();
                    for _ in 0..harness.rng.random_range(1..20) {
                        let by = *running.choose(&mut harness.rng).expect("some run");
                        harness.inject_event(by, QuorumEvent::Refused(name.clone()));
                        let command = [b'r', round as u8];
                        harness.propose(by, &command);
                        harness.run_for(30);
                    }
                }
            }
            harness.run_for(CATCH_UP_MS);
            harness.elect(10_000);
            harness.commit(format!("{seed}-{round}").as_bytes(), 10_000);
        }
        harness.check_acknowledged();
    }
}
