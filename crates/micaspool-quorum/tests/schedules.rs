//! Random schedules of crashes, disk losses, partitions, pauses and lossy links.
//!
//! The harness checks at each step that a term has at most one leader and that keepers agree on the
//! command at every position, and at the end that no acknowledged command is lost.

mod harness;

use harness::Harness;
use rand::Rng;

const SCHEDULES: u64 = 1_500;
const ACTIONS: usize = 24;

#[test]
fn random_schedules_keep_every_invariant() {
    for seed in 0..SCHEDULES {
        let result = std::panic::catch_unwind(|| run_schedule(seed));
        assert!(result.is_ok(), "seed {seed} violates an invariant");
    }
}

fn run_schedule(seed: u64) {
    let mut harness = Harness::new(3, seed);
    harness.elect(10_000);
    let mut number = 0_u32;
    for _ in 0..ACTIONS {
        for _ in 0..3 {
            number += 1;
            let node = harness.rng.random_range(0..3);
            harness.propose(node, &number.to_be_bytes());
            if let Some(leader) = harness.leader() {
                number += 1;
                harness.propose(leader, &number.to_be_bytes());
            }
        }
        inject_fault(&mut harness);
        let pause = harness.rng.random_range(20..1_500);
        harness.run_for(pause);
    }
    end_all_faults(&mut harness);
    harness.commit(b"last", 60_000);
    harness.run_for(3_000);
    harness.check_acknowledged();
    let expected = harness.history.clone();
    assert!(
        harness.nodes.iter().all(|node| node.applied == expected),
        "keepers differ after all faults have ended"
    );
}

fn inject_fault(harness: &mut Harness) {
    let node = harness.rng.random_range(0..3);
    match harness.rng.random_range(0..10) {
        0 | 1 => {
            harness.crash(node);
            harness.start(node);
        }
        2 => harness.crash(node),
        3 if may_wipe(harness, node) => harness.wipe(node),
        4 => harness.isolate(node, true),
        5 => harness.isolate(node, false),
        6 => harness.nodes[node].paused = !harness.nodes[node].paused,
        7 => harness.compact(node),
        8 => harness.drop_percent = harness.rng.random_range(0..30),
        _ => {
            for down in 0..3 {
                if harness.nodes[down].core.is_none() {
                    harness.start(down);
                }
            }
        }
    }
}

/// Returns whether the disk of a keeper may be lost. The group guarantees durability for one lost
/// disk at a time: all three keepers must be voters with their current incarnations first.
fn may_wipe(harness: &Harness, node: usize) -> bool {
    let Some(leader) = harness.leader().filter(|leader| *leader != node) else { return false };
    let status = harness.nodes[leader].core.as_ref().expect("a leader runs").status(harness.now);
    let current = |other: &harness::Node| {
        status
            .membership
            .voters()
            .any(|voter| voter.name == other.name && voter.incarnation.0 == other.incarnation)
    };
    harness.nodes.iter().all(current)
}

fn end_all_faults(harness: &mut Harness) {
    harness.drop_percent = 0;
    harness.blocked_links.clear();
    for node in 0..3 {
        harness.nodes[node].paused = false;
        if harness.nodes[node].core.is_none() {
            harness.start(node);
        }
    }
    harness.run_for(15_000);
}
