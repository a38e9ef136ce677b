//! The fault table of the replicated log, in virtual time.

mod harness;

use harness::Harness;
use micaspool_quorum::{QuorumEvent, QuorumRole};
use test_case::test_case;

fn formed(seed: u64) -> Harness {
    let mut harness = Harness::new(3, seed);
    harness.elect(5_000);
    harness.commit(b"first", 5_000);
    harness
}

#[test]
fn first_group_needs_every_configured_keeper() {
    let mut harness = Harness::new(3, 1);
    harness.crash(2);
    harness.run(5_000);
    assert!(harness.leader().is_none(), "two of three empty keepers must not form a group");
    harness.start(2);
    harness.elect(5_000);
}

#[test]
fn a_single_keeper_forms_alone() {
    let mut harness = Harness::new(1, 1);
    harness.elect(5_000);
    harness.commit(b"alone", 1_000);
}

#[test_case(true; "before commit")]
#[test_case(false; "after commit")]
fn leader_killed_around_a_commit(before: bool) {
    let mut harness = formed(2);
    let leader = harness.leader().expect("a leader exists");
    assert!(harness.propose(leader, b"second"));
    if !before {
        harness.run(100);
        assert!(harness.acknowledged.contains(&b"second".to_vec()));
    }
    harness.crash(leader);
    harness.elect(5_000);
    harness.commit(b"third", 5_000);
    harness.start(leader);
    harness.run(2_000);
    harness.check_acknowledged();
    let expected = harness.history.clone();
    assert!(harness.nodes.iter().all(|node| node.applied == expected));
}

#[test]
fn leader_cut_off_for_an_hour_neither_commits_nor_claims_to_be_confirmed() {
    let mut harness = formed(3);
    let leader = harness.leader().expect("a leader exists");
    harness.isolate(leader, true);
    harness.propose(leader, b"lost");
    harness.run(3_600_000);
    let now = harness.now;
    let core = harness.nodes[leader].core.as_ref().expect("the keeper runs");
    assert!(!core.is_confirmed(now), "a keeper that heard no majority says so");
    assert!(!core.is_leader(), "a leader without a majority steps down");
    assert!(!harness.acknowledged.contains(&b"lost".to_vec()));
    harness.commit(b"elsewhere", 5_000);
    harness.isolate(leader, false);
    harness.run(3_000);
    assert!(!harness.history.contains(&b"lost".to_vec()));
}

#[test]
fn frozen_leader_thaws_into_a_newer_term() {
    let mut harness = formed(4);
    let leader = harness.leader().expect("a leader exists");
    harness.nodes[leader].frozen = true;
    harness.run(10_000);
    harness.commit(b"meanwhile", 5_000);
    harness.nodes[leader].frozen = false;
    harness.propose(leader, b"thawed");
    harness.run(3_000);
    harness.check_acknowledged();
    let expected = harness.history.clone();
    assert!(harness.nodes.iter().all(|node| node.applied == expected));
}

#[test]
fn wiped_keeper_does_not_vote_before_it_is_replaced() {
    let mut harness = formed(5);
    let leader = harness.leader().expect("a leader exists");
    let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    harness.commit(b"acknowledged by all", 5_000);
    harness.crash(leader);
    harness.wipe(others[0]);
    harness.run(20_000);
    assert!(harness.leader().is_none(), "one keeper with a log and an empty one are no majority");
    harness.start(leader);
    harness.elect(5_000);
    harness.run(5_000);
    harness.check_acknowledged();
    let status = harness.nodes[leader].core.as_ref().expect("the keeper runs").status(harness.now);
    assert_eq!(status.membership.voters().count(), 3, "the wiped keeper counts again once it is caught up");
}

#[test]
fn second_loss_right_after_the_repair() {
    let mut harness = formed(6);
    for round in 0..6_u8 {
        harness.commit(&[b'r', round], 10_000);
        let leader = harness.elect(5_000);
        let victim = (leader + 1 + usize::from(round) % 2) % 3;
        harness.wipe(victim);
        wait_for_voters(&mut harness, 3);
        harness.check_acknowledged();
    }
    let expected = harness.history.clone();
    harness.run(2_000);
    assert!(harness.nodes.iter().all(|node| node.applied == expected));
}

fn wait_for_voters(harness: &mut Harness, count: usize) {
    for _ in 0..1_000 {
        harness.run(20);
        let Some(leader) = harness.leader() else { continue };
        let status = harness.nodes[leader].core.as_ref().expect("the keeper runs").status(harness.now);
        let settled = status.membership.members.iter().all(|member| {
            let current = harness.nodes.iter().find(|node| node.name == member.identity.name);
            current.is_some_and(|node| node.incarnation == member.identity.incarnation.0)
        });
        if settled && status.membership.voters().count() == count {
            return;
        }
    }
    let statuses: Vec<_> =
        harness.nodes.iter().map(|node| node.core.as_ref().map(|core| core.status(harness.now))).collect();
    panic!("the group was not repaired: {statuses:#?}");
}

#[test]
fn all_restarted_at_once() {
    let mut harness = formed(7);
    for node in 0..3 {
        harness.crash(node);
    }
    for node in 0..3 {
        harness.start(node);
    }
    harness.commit(b"after", 5_000);
    assert_eq!(harness.history, vec![b"first".to_vec(), b"after".to_vec()]);
}

#[test]
fn far_behind_follower_gets_a_snapshot() {
    let mut harness = formed(8);
    let leader = harness.leader().expect("a leader exists");
    let behind = (leader + 1) % 3;
    harness.crash(behind);
    for number in 0..50_u8 {
        harness.commit(&[b'n', number], 5_000);
    }
    let leader = harness.elect(5_000);
    harness.compact(leader);
    harness.start(behind);
    harness.run(3_000);
    assert_eq!(harness.nodes[behind].applied, harness.history);
}

#[test]
fn an_operator_can_recover_a_group_that_lost_two_of_three() {
    let mut harness = formed(9);
    harness.commit(b"kept", 5_000);
    let leader = harness.leader().expect("a leader exists");
    for node in (0..3).filter(|node| *node != leader) {
        harness.wipe(node);
    }
    harness.run(10_000);
    assert!(harness.leader().is_none());
    harness.feed(leader, QuorumEvent::RecoverAlone);
    wait_for_voters(&mut harness, 3);
    harness.commit(b"again", 5_000);
    harness.run(2_000);
    assert!(harness.nodes.iter().all(|node| node.applied == harness.history));
    assert!(harness.history.contains(&b"kept".to_vec()));
}

#[test]
fn a_wiped_group_shows_no_leader_while_one_is_missing() {
    let mut harness = formed(10);
    harness.crash(0);
    harness.wipe(1);
    harness.wipe(2);
    harness.run(10_000);
    assert!(harness.leader().is_none());
    let roles: Vec<QuorumRole> = harness.nodes[1..]
        .iter()
        .map(|node| node.core.as_ref().expect("the keeper runs").status(harness.now).role)
        .collect();
    assert_eq!(roles, vec![QuorumRole::Unformed; 2]);
}

#[test]
fn a_wiped_keeper_counts_only_once_it_is_caught_up() {
    let mut harness = formed(11);
    let leader = harness.leader().expect("a leader exists");
    let wiped = (leader + 1) % 3;
    harness.wipe(wiped);
    let counts = |harness: &Harness| {
        let status = harness.nodes[leader].core.as_ref().expect("the keeper runs").status(harness.now);
        let current = harness.nodes[wiped].incarnation;
        let mut members = status.membership.members.into_iter();
        members.find(|member| member.identity.incarnation.0 == current).map(|member| member.voter)
    };
    while counts(&harness).is_none() {
        harness.run(10);
    }
    harness.isolate(wiped, true);
    harness.run(5_000);
    assert_eq!(counts(&harness), Some(false), "nothing is durable there yet");
    harness.isolate(wiped, false);
    harness.run(2_000);
    assert_eq!(counts(&harness), Some(true));
}
