//! Single faults of a closed group, in virtual time.

mod harness;

use harness::Harness;
use micaspool_quorum::{EntryPayload, Envelope, LogIndex, PeerBody, PeerMessage, QuorumEvent, QuorumRole};
use micaspool_types::Term;
use test_case::test_case;

fn formed_group(seed: u64) -> Harness {
    let mut harness = Harness::new(3, seed);
    harness.elect(5_000);
    harness.commit(b"first", 5_000);
    harness
}

#[test]
fn first_group_needs_every_configured_keeper() {
    let mut harness = Harness::new(3, 1);
    harness.crash(2);
    harness.run_for(5_000);
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
    let mut harness = formed_group(2);
    let leader = harness.leader().expect("a leader exists");
    assert!(harness.propose(leader, b"second"));
    if !before {
        harness.run_for(100);
        assert!(harness.acknowledged.contains(&b"second".to_vec()));
    }
    harness.crash(leader);
    harness.elect(5_000);
    harness.commit(b"third", 5_000);
    harness.start(leader);
    harness.run_for(2_000);
    harness.check_acknowledged();
    let expected = harness.history.clone();
    assert!(harness.nodes.iter().all(|node| node.applied == expected));
}

#[test]
fn leader_partitioned_for_an_hour_neither_commits_nor_reports_confirmed() {
    let mut harness = formed_group(3);
    let leader = harness.leader().expect("a leader exists");
    harness.isolate(leader, true);
    harness.propose(leader, b"lost");
    harness.run_for(3_600_000);
    let now = harness.now;
    let core = harness.nodes[leader].core.as_ref().expect("the keeper runs");
    assert!(!core.is_confirmed(now), "a keeper without contact with a majority is not confirmed");
    assert!(!core.is_leader(), "a leader without a majority steps down");
    assert!(!harness.acknowledged.contains(&b"lost".to_vec()));
    harness.commit(b"elsewhere", 5_000);
    harness.isolate(leader, false);
    harness.run_for(3_000);
    assert!(!harness.history.contains(&b"lost".to_vec()));
}

#[test]
fn paused_leader_resumes_in_a_newer_term() {
    let mut harness = formed_group(4);
    let leader = harness.leader().expect("a leader exists");
    harness.nodes[leader].paused = true;
    harness.run_for(10_000);
    harness.commit(b"meanwhile", 5_000);
    harness.nodes[leader].paused = false;
    harness.propose(leader, b"thawed");
    harness.run_for(3_000);
    harness.check_acknowledged();
    let expected = harness.history.clone();
    assert!(harness.nodes.iter().all(|node| node.applied == expected));
}

#[test]
fn wiped_keeper_does_not_vote_before_it_is_replaced() {
    let mut harness = formed_group(5);
    let leader = harness.leader().expect("a leader exists");
    let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    harness.commit(b"acknowledged by all", 5_000);
    harness.crash(leader);
    harness.wipe(others[0]);
    harness.run_for(20_000);
    assert!(harness.leader().is_none(), "a keeper with a log and an empty one are no majority");
    harness.start(leader);
    harness.elect(5_000);
    harness.run_for(5_000);
    harness.check_acknowledged();
    let status = harness.nodes[leader].core.as_ref().expect("the keeper runs").status(harness.now);
    assert_eq!(status.membership.voters().count(), 3, "the wiped keeper is a voter again after catching up");
}

#[test]
fn disk_loss_right_after_each_repair() {
    let mut harness = formed_group(6);
    for round in 0..6_u8 {
        harness.commit(&[b'r', round], 10_000);
        let leader = harness.elect(5_000);
        let victim = (leader + 1 + usize::from(round) % 2) % 3;
        harness.wipe(victim);
        wait_for_voters(&mut harness, 3);
        harness.check_acknowledged();
    }
    let expected = harness.history.clone();
    harness.run_for(2_000);
    assert!(harness.nodes.iter().all(|node| node.applied == expected));
}

fn wait_for_voters(harness: &mut Harness, count: usize) {
    for _ in 0..1_000 {
        harness.run_for(20);
        let Some(leader) = harness.leader() else { continue };
        let status = harness.nodes[leader].core.as_ref().expect("the keeper runs").status(harness.now);
        let is_repaired = status.membership.members.iter().all(|member| {
            let current = harness.nodes.iter().find(|node| node.name == member.identity.name);
            current.is_some_and(|node| node.incarnation == member.identity.incarnation.0)
        });
        if is_repaired && status.membership.voters().count() == count {
            return;
        }
    }
    let statuses: Vec<_> =
        harness.nodes.iter().map(|node| node.core.as_ref().map(|core| core.status(harness.now))).collect();
    panic!("the group was not repaired: {statuses:#?}");
}

#[test]
fn all_restarted_at_once() {
    let mut harness = formed_group(7);
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
    let mut harness = formed_group(8);
    let leader = harness.leader().expect("a leader exists");
    let behind = (leader + 1) % 3;
    harness.crash(behind);
    for number in 0..50_u8 {
        harness.commit(&[b'n', number], 5_000);
    }
    let leader = harness.elect(5_000);
    harness.compact(leader);
    harness.start(behind);
    harness.run_for(3_000);
    assert_eq!(harness.nodes[behind].applied, harness.history);
}

#[test]
fn an_operator_can_recover_a_group_that_lost_two_of_three() {
    let mut harness = formed_group(9);
    harness.commit(b"kept", 5_000);
    let leader = harness.leader().expect("a leader exists");
    for node in (0..3).filter(|node| *node != leader) {
        harness.wipe(node);
    }
    harness.run_for(10_000);
    assert!(harness.leader().is_none());
    harness.inject_event(leader, QuorumEvent::RecoverAlone);
    wait_for_voters(&mut harness, 3);
    harness.commit(b"again", 5_000);
    harness.run_for(2_000);
    assert!(harness.nodes.iter().all(|node| node.applied == harness.history));
    assert!(harness.history.contains(&b"kept".to_vec()));
}

#[test]
fn wiped_group_has_no_leader_while_one_keeper_is_down() {
    let mut harness = formed_group(10);
    harness.crash(0);
    harness.wipe(1);
    harness.wipe(2);
    harness.run_for(10_000);
    assert!(harness.leader().is_none());
    let roles: Vec<QuorumRole> = harness.nodes[1..]
        .iter()
        .map(|node| node.core.as_ref().expect("the keeper runs").status(harness.now).role)
        .collect();
    assert_eq!(roles, vec![QuorumRole::Unformed; 2]);
}

#[test]
fn wiped_keeper_becomes_a_voter_only_after_catching_up() {
    let mut harness = formed_group(11);
    let leader = harness.leader().expect("a leader exists");
    let wiped = (leader + 1) % 3;
    harness.wipe(wiped);
    let is_voter = |harness: &Harness| {
        let status = harness.nodes[leader].core.as_ref().expect("the keeper runs").status(harness.now);
        let current = harness.nodes[wiped].incarnation;
        let mut members = status.membership.members.into_iter();
        members.find(|member| member.identity.incarnation.0 == current).map(|member| member.voter)
    };
    while is_voter(&harness).is_none() {
        harness.run_for(10);
    }
    harness.isolate(wiped, true);
    harness.run_for(5_000);
    assert_eq!(is_voter(&harness), Some(false), "nothing is durable there yet");
    harness.isolate(wiped, false);
    harness.run_for(2_000);
    assert_eq!(is_voter(&harness), Some(true));
}

// Guards against members that begin to save only when the leader has, so that a slow disk costs twice its time.
#[test]
fn entries_are_sent_before_the_leader_has_saved_them_and_votes_are_not() {
    let mut harness = Harness::new(3, 1);
    let leader = harness.elect(5_000);
    harness.run_for(500);
    let now = harness.now;
    let core = harness.nodes[leader].core.as_mut().expect("the leader runs");
    core.propose(now, EntryPayload::Command(b"entry".to_vec())).expect("it leads");
    let mut output = core.take_output();
    assert!(!output.save.append.is_empty());
    let is_append = |envelope: &Envelope| matches!(envelope.message.body, PeerBody::Append { .. });
    let early = output.take_early_messages();
    assert!(early.len() == 2 && early.iter().all(is_append), "{early:?}");
    let from = harness.nodes[leader].core.as_ref().expect("it runs").identity().clone();
    let voter = harness.nodes[(leader + 1) % 3].core.as_mut().expect("it runs");
    let vote = PeerBody::Vote { last: LogIndex(100), last_term: Term(100) };
    voter.step(now, QuorumEvent::Message(PeerMessage { from, term: Term(101), body: vote }));
    let mut output = voter.take_output();
    assert!(output.save.hard.is_some() && output.send.len() == 1);
    assert_eq!(output.take_early_messages(), []);
}
