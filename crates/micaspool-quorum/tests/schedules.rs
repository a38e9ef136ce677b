//! Random schedules of crashes, lost disks, cuts, freezes and lossy links.
//!
//! The harness checks on each step that a term has one leader, that keepers agree on every
//! position, and at the end that no acknowledged command is lost.

mod harness;

use harness::Harness;
use rand::Rng;

const SCHEDULES: u64 = 1_500;
const ACTIONS: usize = 24;

#[test]
fn random_schedules_keep_every_promise() {
    for seed in 0..SCHEDULES {
        let result = std::panic::catch_unwind(|| run_schedule(seed));
        assert!(result.is_ok(), "seed {seed} breaks a promise");
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
        disturb(&mut harness);
        let pause = harness.rng.random_range(20..1_500);
        harness.run(pause);
    }
    mend(&mut harness);
    harness.commit(b"last", 60_000);
    harness.run(3_000);
    harness.check_acknowledged();
    let expected = harness.history.clone();
    assert!(harness.nodes.iter().all(|node| node.applied == expected), "keepers differ after mending");
}

fn disturb(harness: &mut Harness) {
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
        6 => harness.nodes[node].frozen = !harness.nodes[node].frozen,
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

/// A disk may be lost while the other two keepers are whole voters: the promise covers one lost
/// disk at a time, and a second one only after the repair.
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

fn mend(harness: &mut Harness) {
    harness.drop_percent = 0;
    harness.cut.clear();
    for node in 0..3 {
        harness.nodes[node].frozen = false;
        if harness.nodes[node].core.is_none() {
            harness.start(node);
        }
    }
    harness.run(15_000);
}
