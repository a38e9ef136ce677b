//! The log of one follower, beside a leader that is played.

mod harness;

use harness::{Disk, Harness};
use micaspool_quorum::{
    EntryPayload, GroupMember, GroupMembership, KeeperIdentity, LogEntry, LogIndex, LogSnapshot,
    OpenGroupOptions, PeerBody, PeerMessage, QuorumCore, QuorumEvent, QuorumOptions, QuorumStatus,
    RestoredState,
};
use micaspool_types::{Incarnation, InstanceName, Moment, Term};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TERM: Term = Term(3);

fn identity(number: u64) -> KeeperIdentity {
    let name = InstanceName::parse(&format!("keeper-{number}")).expect("the name is well-formed");
    KeeperIdentity { name, incarnation: Incarnation(number) }
}

fn membership() -> GroupMembership {
    let members = (0..3).map(|number| GroupMember { identity: identity(number), voter: true });
    GroupMembership { members: members.collect() }
}

/// A leader that is played: it appends, commits, compacts, and sends what it has at any moment.
struct PlayedLeader {
    last: u64,
    commit: u64,
    /// Everything that it has sent, which may arrive late, twice and in any order.
    sent: Vec<PeerBody>,
}

impl PlayedLeader {
    fn step(&mut self, rng: &mut ChaCha8Rng, now: Moment) {
        self.last += rng.random_range(0..3);
        self.commit = rng.random_range(self.commit..=self.last);
        let body = if rng.random_range(0..4) == 0 {
            let index = LogIndex(rng.random_range(0..=self.commit));
            let term = if index.0 == 0 { Term(0) } else { TERM };
            let snapshot = LogSnapshot { index, term, membership: membership(), data: Vec::new() };
            PeerBody::Install { snapshot, sent_at: now }
        } else {
            let prev = rng.random_range(0..=self.last);
            let count = rng.random_range(0..=self.last - prev);
            let entry = |index| LogEntry { index: LogIndex(index), term: TERM, payload: EntryPayload::Blank };
            PeerBody::Append {
                prev: LogIndex(prev),
                prev_term: if prev == 0 { Term(0) } else { TERM },
                entries: (prev + 1..=prev + count).map(entry).collect(),
                commit: LogIndex(self.commit),
                sent_at: now,
            }
        };
        self.sent.push(body);
    }
}

fn follower() -> QuorumCore {
    let configured = (0..3).map(|number| identity(number).name).collect();
    let options =
        QuorumOptions { open_group: Some(OpenGroupOptions::tolerating(1)), ..QuorumOptions::new(configured) };
    let snapshot = LogSnapshot { membership: membership(), ..LogSnapshot::default() };
    let restored =
        RestoredState { identity: identity(1), hard: Default::default(), snapshot, entries: Vec::new() };
    QuorumCore::new(Moment(1_000_000), options, restored, 7)
}

// Guards against a log that gets shorter than what was acknowledged in the same term.
#[test]
fn what_a_follower_acknowledged_stays_in_its_files() {
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut leader = PlayedLeader { last: 0, commit: 0, sent: Vec::new() };
        let (mut core, mut disk) = (follower(), Disk::default());
        let mut acknowledged = LogIndex(0);
        for round in 0..40_u64 {
            let now = Moment(1_000_000 + round * 10_000);
            leader.step(&mut rng, now);
            for _ in 0..rng.random_range(0..4) {
                let body = leader.sent.choose(&mut rng).expect("something was sent").clone();
                let message = PeerMessage { from: identity(0), term: TERM, body };
                core.step(now, QuorumEvent::Message(message));
            }
            let output = core.take_output();
            disk.save(output.save);
            core.step(now, QuorumEvent::Saved);
            for envelope in output.send {
                if let PeerBody::AppendReply { accepted: true, matched, .. } = envelope.message.body {
                    acknowledged = acknowledged.max(matched);
                }
            }
            assert!(disk.last_index() >= acknowledged, "seed {seed}, round {round}: {acknowledged:?}");
            assert_eq!(disk.last_index(), core.status(now).last, "seed {seed}, round {round}");
        }
    }
}

// Guards against a frozen follower that stays behind for good, so that the next lost disk ends the group.
#[test]
fn a_follower_that_wakes_to_entries_and_an_older_snapshot_catches_up() {
    for seed in 0..300 {
        let mut harness = Harness::open(3, seed);
        let leader = harness.elect(5_000);
        harness.commit(b"first", 5_000);
        let (frozen, other) = ((leader + 1) % 3, (leader + 2) % 3);
        harness.freeze(frozen);
        for round in 0..harness.rng.random_range(1..5_u8) {
            harness.propose(leader, &[b'a', round]);
            let pause = harness.rng.random_range(0..15) * 10;
            harness.run_for(pause);
            if harness.rng.random_range(0..2) == 0 {
                harness.compact(leader);
            }
            harness.propose(leader, &[b'b', round]);
        }
        harness.run_for(250);
        harness.thaw(frozen);
        harness.run_for(4_300);
        assert_eq!(harness.nodes[frozen].applied, harness.history, "seed {seed}");
        harness.wipe(other);
        harness.elect(5_000);
        harness.commit(b"second", 5_000);
        harness.check_acknowledged();
    }
}

// Guards against a follower that is rejected for good, and counted, after its disk lost what it had synced.
#[test]
fn a_follower_whose_files_lost_their_end_gets_it_again() {
    for seed in 0..100 {
        let mut harness = Harness::open(3, seed);
        let leader = harness.elect(5_000);
        for number in 0..6_u8 {
            harness.commit(&[number], 5_000);
        }
        let (damaged, other) = ((leader + 1) % 3, (leader + 2) % 3);
        harness.run_for(500);
        harness.crash(damaged);
        let lost = harness.rng.random_range(1..5);
        let entries = &mut harness.nodes[damaged].disk.entries;
        entries.truncate(entries.len() - lost);
        harness.start(damaged);
        harness.run_for(1_000);
        assert_eq!(harness.nodes[damaged].applied, harness.history, "seed {seed}");
        harness.crash(other);
        harness.commit(b"with the repaired one", 5_000);
        harness.check_acknowledged();
    }
}

// Guards against rejections and messages that answer each other without a pause.
#[test]
fn a_follower_that_always_rejects_gets_a_message_per_heartbeat() {
    let mut harness = Harness::open(3, 1);
    let leader = harness.elect(5_000);
    harness.commit(b"first", 5_000);
    let rejecting = harness.nodes[(leader + 1) % 3].name.clone();
    let now = harness.now;
    let core = harness.nodes[leader].core.as_mut().expect("the leader runs");
    let QuorumStatus { term, membership, .. } = core.status(now);
    let from = membership.member_named(&rejecting).expect("it is a member").identity.clone();
    let mut sent = 0;
    for _ in 0..1_000 {
        let body = PeerBody::AppendReply { accepted: false, matched: LogIndex(1), sent_at: now };
        let message = PeerMessage { from: from.clone(), term, body };
        core.step(now, QuorumEvent::Message(message));
        sent += core.take_output().send.len();
    }
    assert!(sent <= 1, "{sent} messages at once");
}

// Guards against an entry that counts as durable at a member that has lost it since.
#[test]
fn an_acceptance_that_comes_after_a_later_rejection_does_not_count() {
    let mut harness = Harness::open(3, 1);
    let leader = harness.elect(5_000);
    harness.commit(b"first", 5_000);
    harness.run_for(500);
    let member = harness.nodes[(leader + 1) % 3].name.clone();
    let now = harness.now;
    let later = Moment(now.0 + 10_000);
    let core = harness.nodes[leader].core.as_mut().expect("the leader runs");
    let (entry, term) = core.propose(now, EntryPayload::Command(b"second".to_vec())).expect("it leads");
    core.take_output();
    core.step(now, QuorumEvent::Saved);
    let from = core.status(now).membership.member_named(&member).expect("it is a member").identity.clone();
    let before = LogIndex(entry.0 - 1);
    for (accepted, matched, sent_at) in [(false, before, later), (true, entry, now)] {
        let body = PeerBody::AppendReply { accepted, matched, sent_at };
        core.step(later, QuorumEvent::Message(PeerMessage { from: from.clone(), term, body }));
    }
    assert_eq!(core.status(later).commit, before);
}
