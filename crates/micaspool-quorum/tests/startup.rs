//! Elections after a start of all voters, or of some of them, in virtual time.

mod harness;

use harness::Harness;
use micaspool_quorum::{HardState, KeeperIdentity, QuorumRole};
use micaspool_types::{Incarnation, Term};
use rand::Rng;
use test_case::test_case;

/// The bound on the time from the start of all voters to a confirmed leader. A fleet is to be back within a
/// second of its processes' start; the plan, the streams to shards and the engines' lists need most of it.
const LEADER_BOUND_MILLIS: u64 = 200;
/// The bound while a voter is missing: the missing one may be a leader that counts on answers from before the restart, for
/// one election timeout.
const MINORITY_MISSING_BOUND_MILLIS: u64 = 700;

fn formed_group(voters: usize, seed: u64) -> Harness {
    let mut harness = Harness::new(voters, seed);
    harness.elect(5_000);
    harness.commit(b"first", 5_000);
    harness.run_for(1_000);
    harness
}

fn crash_all(harness: &mut Harness) {
    for node in 0..harness.nodes.len() {
        harness.crash(node);
    }
}

fn start_all(harness: &mut Harness) {
    for node in 0..harness.nodes.len() {
        harness.start(node);
    }
}

fn term(harness: &Harness, node: usize) -> Term {
    harness.nodes[node].core.as_ref().expect("the keeper runs").status(harness.now).term
}

/// Guards against an election timeout that is waited out although all voters are back and know no leader.
#[test_case(3; "three voters")]
#[test_case(5; "five voters")]
#[test_case(8; "eight voters")]
fn voters_that_restart_together_have_a_leader_at_once(voters: usize) {
    for seed in 0..200 {
        let mut harness = formed_group(voters, seed);
        crash_all(&mut harness);
        harness.run_for(1_400);
        start_all(&mut harness);
        harness.elect(LEADER_BOUND_MILLIS);
        harness.commit(b"after", 1_000);
        harness.check_acknowledged();
    }
}

/// Guards against a fast path that needs every voter or equal starting times.
#[test]
fn leader_is_elected_while_a_minority_is_missing() {
    for seed in 0..200 {
        let mut harness = formed_group(5, seed);
        crash_all(&mut harness);
        harness.run_for(1_400);
        for node in 0..4 {
            harness.start((node + seed as usize) % 5);
            let gap = harness.rng.random_range(0..30);
            harness.run_for(gap);
        }
        harness.elect(MINORITY_MISSING_BOUND_MILLIS);
        harness.check_acknowledged();
    }
}

/// Guards against a candidate with an old log, whose pre-votes are refused, that delays the others.
#[test]
fn voter_with_an_old_log_does_not_delay_the_others() {
    for seed in 0..100 {
        let mut harness = formed_group(3, seed);
        let old = harness.nodes[0].core.as_ref().is_some_and(|core| core.is_leader());
        let old = usize::from(old);
        harness.isolate(old, true);
        harness.run_for(100);
        harness.commit(b"not everywhere", 5_000);
        crash_all(&mut harness);
        harness.isolate(old, false);
        harness.run_for(1_400);
        start_all(&mut harness);
        harness.elect(LEADER_BOUND_MILLIS);
        harness.run_for(1_000);
        assert!(harness.history.contains(&b"not everywhere".to_vec()));
        assert_eq!(harness.nodes[old].applied, harness.history);
        harness.check_acknowledged();
    }
}

/// Guards against a restarted keeper that replaces a leader with which the group is content.
#[test]
fn voter_that_restarts_beside_a_leader_starts_no_term() {
    for seed in 0..200 {
        let mut harness = formed_group(3, seed);
        let leader = harness.leader().expect("a leader exists");
        let before = term(&harness, leader);
        let victim = (leader + 1) % 3;
        harness.crash(victim);
        let pause = harness.rng.random_range(10..2_000);
        harness.run_for(pause);
        harness.start(victim);
        harness.run_for(3_000);
        assert_eq!(harness.leader(), Some(leader));
        assert_eq!(term(&harness, leader), before);
    }
}

/// Guards against two restarted voters, a majority of three, that elect a leader before the sitting one has reached them.
/// Its messages are lost for as long as a connection takes to be opened again.
#[test]
fn majority_that_restarts_beside_a_leader_starts_no_term() {
    for seed in 0..200 {
        let mut harness = formed_group(3, seed);
        let leader = harness.leader().expect("a leader exists");
        let before = term(&harness, leader);
        for victim in (0..3).filter(|node| *node != leader) {
            harness.crash(victim);
        }
        harness.run_for(50);
        for victim in (0..3).filter(|node| *node != leader) {
            harness.start(victim);
            harness.blocked_links.insert((leader, victim));
        }
        harness.run_for(100);
        harness.blocked_links.clear();
        harness.run_for(3_000);
        assert_eq!(harness.leader(), Some(leader));
        assert_eq!(term(&harness, leader), before);
    }
}

/// Guards against restarted voters, a majority of five, that have reached everybody and elect a leader although another
/// voter leads. It reaches them with its next heartbeat.
#[test]
fn voter_that_leads_keeps_a_restarted_majority_from_an_election() {
    for seed in 0..200 {
        let mut harness = formed_group(5, seed);
        let leader = harness.leader().expect("a leader exists");
        let before = term(&harness, leader);
        let victims = [1, 2, 3].map(|offset| (leader + offset) % 5);
        victims.into_iter().for_each(|victim| harness.crash(victim));
        let pause = harness.rng.random_range(10..300);
        harness.run_for(pause);
        victims.into_iter().for_each(|victim| harness.start(victim));
        harness.run_for(2_000);
        assert_eq!(harness.leader(), Some(leader));
        assert_eq!(term(&harness, leader), before);
    }
}

/// Runs and checks at each step that at most one keeper leads and counts as confirmed.
fn run_with_one_confirmed_leader(harness: &mut Harness, millis: u64) {
    for _ in 0..millis / 10 {
        harness.run_for(10);
        let now = harness.now;
        let is_confirmed = |node: &&harness::Node| {
            node.core.as_ref().is_some_and(|core| core.is_leader() && core.is_confirmed(now))
        };
        assert!(harness.nodes.iter().filter(is_confirmed).count() <= 1, "two confirmed leaders");
    }
}

/// Guards against restarted voters that elect a leader while an isolated one still counts on their answers from before the
/// restart. What that one reads as confirmed could be older than what has been accepted elsewhere.
#[test]
fn restarted_voters_wait_for_a_leader_that_counts_on_them() {
    for seed in 0..200 {
        let mut harness = formed_group(3, seed);
        let leader = harness.leader().expect("a leader exists");
        harness.isolate(leader, true);
        for victim in (0..3).filter(|node| *node != leader) {
            harness.crash(victim);
            harness.start(victim);
        }
        run_with_one_confirmed_leader(&mut harness, 2_000);
        assert_ne!(harness.leader(), Some(leader));
        assert!(harness.leader().is_some());
    }
}

/// Guards against voters that elect another leader soon after they have voted for one that has not reached them yet.
#[test]
fn voters_wait_for_a_leader_that_they_have_just_elected() {
    for seed in 0..200 {
        let mut harness = formed_group(3, seed);
        crash_all(&mut harness);
        harness.run_for(1_400);
        // One voter starts late, so that the others have been up for an election timeout when they elect a leader.
        harness.start(0);
        harness.run_for(1_000);
        harness.start(1);
        harness.start(2);
        while harness.leader().is_none() {
            harness.run_for(10);
        }
        let leader = harness.leader().expect("the loop has ended");
        harness.isolate(leader, true);
        run_with_one_confirmed_leader(&mut harness, 3_000);
        assert_ne!(harness.leader(), Some(leader));
    }
}

/// Guards against a voter with the longest log that hears of an election and, before an election timeout has passed, elects
/// itself with answers that the other candidate gave before it was elected.
#[test]
fn voter_that_learns_of_an_election_waits_for_its_winner() {
    for seed in 0..1_000 {
        let mut harness = formed_group(3, seed);
        let longest = harness.leader().expect("a leader exists");
        harness.isolate(longest, true);
        assert!(harness.propose(longest, b"not committed"));
        harness.run_for(50);
        crash_all(&mut harness);
        harness.isolate(longest, false);
        harness.run_for(1_400);
        for node in (0..3).filter(|node| *node != longest) {
            harness.start(node);
        }
        // The others may elect one of them an election timeout after their start.
        let head_start = harness.rng.random_range(460..540);
        harness.run_for(head_start);
        harness.start(longest);
        let leader = harness.elect(MINORITY_MISSING_BOUND_MILLIS);
        harness.isolate(leader, true);
        run_with_one_confirmed_leader(&mut harness, 3_000);
    }
}

/// Guards against a keeper that comes back alone, or with a minority, and raises terms or leads.
#[test]
fn restarted_minority_has_no_leader_and_keeps_its_term() {
    for seed in 0..50 {
        let mut harness = formed_group(5, seed);
        let before = (0..5).map(|node| term(&harness, node)).max().expect("keepers run");
        crash_all(&mut harness);
        for one in 0..2 {
            for other in 2..5 {
                harness.set_link_blocked(one, other, true);
            }
        }
        harness.start(0);
        harness.start(1);
        harness.run_for(5_000);
        for node in 0..2 {
            assert_eq!(term(&harness, node), before, "a minority starts no term");
            assert!(!harness.nodes[node].core.as_ref().is_some_and(|core| core.is_leader()));
        }
        for node in 2..5 {
            harness.start(node);
        }
        let leader = harness.elect(5_000);
        assert!(leader >= 2);
        let during = term(&harness, leader);
        harness.blocked_links.clear();
        harness.run_for(2_000);
        assert_eq!(
            term(&harness, leader),
            during,
            "the minority disturbs no leader when it is reached again"
        );
    }
}

/// Guards against a keeper whose disk was lost in the power loss and that counts for an election.
#[test]
fn wiped_keeper_is_no_part_of_a_starting_majority() {
    for seed in 0..50 {
        let mut harness = formed_group(3, seed);
        crash_all(&mut harness);
        harness.wipe(1);
        harness.start(0);
        harness.run_for(10_000);
        assert!(harness.leader().is_none(), "a keeper with a log and an empty one are no majority");
        let status = harness.nodes[1].core.as_ref().expect("the keeper runs").status(harness.now);
        assert_eq!(status.role, QuorumRole::Unformed);
        harness.start(2);
        harness.elect(MINORITY_MISSING_BOUND_MILLIS);
    }
}

/// Guards against a standstill when the only voter that can be elected, by its log, has an older term than the others and
/// its pre-votes name a term that they have seen already.
#[test]
fn voter_with_the_longest_log_and_an_older_term_is_elected() {
    for seed in 0..50 {
        let mut harness = formed_group(3, seed);
        let leader = harness.leader().expect("a leader exists");
        let behind = (leader + 1) % 3;
        harness.isolate(behind, true);
        harness.run_for(100);
        harness.commit(b"not everywhere", 5_000);
        crash_all(&mut harness);
        harness.isolate(behind, false);
        harness.run_for(1_400);
        harness.nodes[behind].disk.hard.term.0 += 2;
        harness.nodes[behind].disk.hard.vote = None;
        harness.start(leader);
        harness.start(behind);
        assert_eq!(harness.elect(MINORITY_MISSING_BOUND_MILLIS), leader);
    }
}

/// Guards against votes of a split term, on the disks of all voters, that keep a leader from being elected at once.
#[test]
fn split_votes_are_resolved() {
    for seed in 0..200 {
        let mut harness = formed_group(4, seed);
        crash_all(&mut harness);
        harness.run_for(1_400);
        // Power failed when two candidates had half of the votes of a term each.
        let term = Term(harness.nodes[0].disk.hard.term.0 + 1);
        for node in 0..4 {
            let candidate = &harness.nodes[node % 2];
            let vote = KeeperIdentity {
                name: candidate.name.clone(),
                incarnation: Incarnation(candidate.incarnation),
            };
            harness.nodes[node].disk.hard = HardState { term, vote: Some(vote) };
        }
        start_all(&mut harness);
        harness.elect(LEADER_BOUND_MILLIS);
        harness.commit(b"after", 1_000);
        harness.check_acknowledged();
    }
}

/// Guards against losses, two leaders at a time and standstill when power fails again and again under lossy links, also in the
/// middle of elections.
#[test]
fn repeated_power_losses_keep_every_invariant() {
    for seed in 0..2_500 {
        let voters = if seed % 2 == 0 { 3 } else { 5 };
        let mut harness = formed_group(voters, 10_000 + seed);
        for round in 0..8_u8 {
            harness.drop_percent = harness.rng.random_range(0..30);
            if let Some(leader) = harness.leader() {
                harness.propose(leader, &[b'p', round]);
            }
            let pause = harness.rng.random_range(0..60);
            harness.run_for(pause);
            crash_all(&mut harness);
            let left_out = harness.rng.random_range(0..voters + 2);
            for node in (0..voters).filter(|node| *node != left_out) {
                harness.start(node);
                let gap = harness.rng.random_range(0..40);
                harness.run_for(gap);
            }
            let pause = harness.rng.random_range(0..1_200);
            run_with_one_confirmed_leader(&mut harness, pause);
        }
        harness.drop_percent = 0;
        for node in 0..voters {
            if harness.nodes[node].core.is_none() {
                harness.start(node);
            }
        }
        harness.commit(b"last", 5_000);
        harness.run_for(1_000);
        harness.check_acknowledged();
        assert!(harness.nodes.iter().all(|node| node.applied == harness.history));
    }
}
