//! The state machine of one keeper.

mod election;
mod forming;
mod group;
mod replication;

use crate::log::EntryLog;
use crate::message::{PeerBody, PeerMessage};
use crate::options::QuorumOptions;
use crate::output::{Envelope, QuorumEvent, QuorumOutput};
use crate::types::{
    EntryPayload, GroupMembership, HardState, KeeperIdentity, LogEntry, LogIndex, LogSnapshot, RestoredState,
};
use election::ElectionState;
use forming::FormingState;
use micaspool_types::{InstanceName, Moment, Term};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use replication::LeaderState;
use std::fmt;
use std::time::Duration;

/// What a keeper is to its group.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum QuorumRole {
    /// It belongs to no group yet.
    Unformed,
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks for votes.
    Candidate,
    /// It leads.
    Leader,
}

/// Why an entry was not taken.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ProposeError {
    /// This keeper does not lead; the one named does, as far as it knows.
    NotLeader(Option<InstanceName>),
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposeError::NotLeader(Some(leader)) => write!(f, "this keeper does not lead; ask {leader}"),
            ProposeError::NotLeader(None) => {
                f.write_str("this keeper knows no leader; ask another or come back")
            }
        }
    }
}

impl std::error::Error for ProposeError {}

/// What operators see of a keeper.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct QuorumStatus {
    /// Its role.
    pub role: QuorumRole,
    /// Its term.
    pub term: Term,
    /// The leader that it knows.
    pub leader: Option<InstanceName>,
    /// The newest committed entry.
    pub commit: LogIndex,
    /// The last entry.
    pub last: LogIndex,
    /// The group.
    pub membership: GroupMembership,
    /// True when a majority was heard within the election timeout, directly or through the leader.
    pub confirmed: bool,
}

/// The state of the role.
#[derive(Debug)]
enum RoleState {
    Follower,
    Candidate(ElectionState),
    Leader(LeaderState),
}

/// One keeper's part of the replicated log.
#[derive(Debug)]
pub struct QuorumCore {
    options: QuorumOptions,
    identity: KeeperIdentity,
    hard: HardState,
    log: EntryLog,
    commit: LogIndex,
    /// The last entry that was handed out as committed.
    applied: LogIndex,
    role: RoleState,
    leader: Option<KeeperIdentity>,
    /// When the leader was last heard.
    leader_last_contact: Option<Moment>,
    election_deadline: Moment,
    forming: FormingState,
    rng: ChaCha8Rng,
    output: QuorumOutput,
    hard_dirty: bool,
    /// Our last entry that is durable.
    saved: LogIndex,
}

impl QuorumCore {
    /// A keeper that continues from what it read back. `seed` spreads election times.
    pub fn new(now: Moment, options: QuorumOptions, restored: RestoredState, seed: u64) -> QuorumCore {
        let log = EntryLog::new(restored.snapshot, restored.entries);
        let start = log.snapshot().index;
        let mut core = QuorumCore {
            identity: restored.identity,
            hard: restored.hard,
            commit: start,
            applied: start,
            role: RoleState::Follower,
            leader: None,
            leader_last_contact: None,
            election_deadline: now,
            forming: FormingState::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            output: QuorumOutput::default(),
            hard_dirty: false,
            saved: log.last_index(),
            log,
            options,
        };
        core.reset_election(now);
        core
    }

    /// Takes an event in; what follows from it waits in [`QuorumCore::take_output`].
    pub fn step(&mut self, now: Moment, event: QuorumEvent) {
        match event {
            QuorumEvent::Tick => self.tick(now),
            QuorumEvent::Message(message) => self.receive(now, message),
            QuorumEvent::Saved => self.handle_saved(now),
            QuorumEvent::Compact(index, data) => self.compact(index, data),
            QuorumEvent::RecoverAlone => self.recover_alone(now),
        }
    }

    /// Adds an entry when this keeper leads, and gives its position and term.
    ///
    /// The entry counts once it is handed out as committed with the same term.
    pub fn propose(&mut self, now: Moment, payload: EntryPayload) -> Result<(LogIndex, Term), ProposeError> {
        if !matches!(self.role, RoleState::Leader(_)) {
            let leader = self.leader.as_ref().map(|leader| leader.name.clone());
            return Err(ProposeError::NotLeader(leader));
        }
        let index = self.append_entry(payload);
        self.replicate_idle(now);
        Ok((index, self.hard.term))
    }

    /// What the driver must do now.
    pub fn take_output(&mut self) -> QuorumOutput {
        if self.hard_dirty {
            self.output.save.hard = Some(self.hard.clone());
            self.hard_dirty = false;
        }
        std::mem::take(&mut self.output)
    }

    /// The number of entries after the newest snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Who this keeper is.
    pub fn identity(&self) -> &KeeperIdentity {
        &self.identity
    }

    /// True when this keeper leads and heard a majority within the election timeout, or follows
    /// a leader that it heard within that time.
    pub fn is_confirmed(&self, now: Moment) -> bool {
        match &self.role {
            RoleState::Leader(state) => {
                state.has_majority(now, &self.identity, self.log.membership(), &self.options)
            }
            RoleState::Follower => self
                .leader_last_contact
                .is_some_and(|contact| now.since(contact) < self.options.election_timeout),
            RoleState::Candidate(_) => false,
        }
    }

    /// True when this keeper leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// What operators see.
    pub fn status(&self, now: Moment) -> QuorumStatus {
        let role = match &self.role {
            _ if !self.is_formed() => QuorumRole::Unformed,
            RoleState::Follower => QuorumRole::Follower,
            RoleState::Candidate(_) => QuorumRole::Candidate,
            RoleState::Leader(_) => QuorumRole::Leader,
        };
        QuorumStatus {
            role,
            term: self.hard.term,
            leader: self.leader.as_ref().map(|leader| leader.name.clone()),
            commit: self.commit,
            last: self.log.last_index(),
            membership: self.log.membership().clone(),
            confirmed: self.is_confirmed(now),
        }
    }

    /// True when this keeper belongs to a group.
    pub fn is_formed(&self) -> bool {
        !self.log.membership().members.is_empty()
    }

    fn tick(&mut self, now: Moment) {
        if !self.log.membership().is_voter(&self.identity) {
            self.announce(now);
        }
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_deadline && self.log.membership().is_voter(&self.identity) {
            self.begin_pre_vote(now);
        }
    }

    fn receive(&mut self, now: Moment, message: PeerMessage) {
        let PeerMessage { from, term, body } = message;
        self.remember_sender(&from);
        match body {
            PeerBody::Announce { empty, members } => return self.handle_announce(now, from, empty, members),
            PeerBody::Form { membership } => return self.adopt_group(now, membership),
            PeerBody::PreVote { next, last, last_term } => {
                self.readmit_removed(now, &from);
                return self.handle_pre_vote(now, &from, next, (last_term, last));
            }
            PeerBody::PreVoteReply { next, granted } => {
                return self.handle_pre_vote_reply(now, from, next, granted)
            }
            _ => {}
        }
        if term > self.hard.term {
            self.enter_term(now, term);
        }
        match body {
            PeerBody::Vote { last, last_term } => self.handle_vote(now, &from, term, (last_term, last)),
            PeerBody::VoteReply { granted } => self.handle_vote_reply(now, from, term, granted),
            PeerBody::Append { sent_at, .. } | PeerBody::Install { sent_at, .. } => {
                let accepted = self.accept_leader(now, &from, term, sent_at);
                self.handle_leader_message(&from, body, accepted);
            }
            PeerBody::AppendReply { accepted, matched, sent_at } => {
                self.handle_append_reply(now, &from, term, accepted, matched, sent_at);
            }
            _ => {}
        }
    }

    /// Takes over what an accepted leader sent.
    fn handle_leader_message(&mut self, from: &KeeperIdentity, body: PeerBody, accepted: bool) {
        match body {
            PeerBody::Append { prev, prev_term, entries, commit, sent_at } if accepted => {
                self.accept_entries(from, (prev, prev_term), entries, commit, sent_at);
            }
            PeerBody::Install { snapshot, sent_at } if accepted => {
                self.accept_snapshot(from, snapshot, sent_at)
            }
            _ => {}
        }
    }

    /// Moves to a newer term as a follower without a vote.
    fn enter_term(&mut self, now: Moment, term: Term) {
        self.hard = HardState { term, vote: None };
        self.hard_dirty = true;
        self.become_follower(now, None);
    }

    fn become_follower(&mut self, now: Moment, leader: Option<KeeperIdentity>) {
        self.role = RoleState::Follower;
        self.leader = leader;
        self.reset_election(now);
    }

    fn reset_election(&mut self, now: Moment) {
        let min_timeout = self.options.election_timeout;
        let max_jitter = u64::try_from(min_timeout.as_micros()).unwrap_or(u64::MAX);
        let jitter = self.rng.random_range(0..=max_jitter);
        self.election_deadline = now + min_timeout + Duration::from_micros(jitter);
    }

    /// Adds an entry of this term to the log and to what must be saved.
    fn append_entry(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index().next();
        let entry = LogEntry { index, term: self.hard.term, payload };
        self.output.save.append.push(entry.clone());
        self.log.append(entry);
        index
    }

    fn send(&mut self, to: &InstanceName, body: PeerBody) {
        let message = PeerMessage { from: self.identity.clone(), term: self.hard.term, body };
        self.output.send.push(Envelope { to: to.clone(), message });
    }

    /// Hands out the entries up to the commit index.
    fn emit_committed(&mut self) {
        while self.applied < self.commit {
            let next = self.applied.next();
            let entry = self.log.get(next).expect("committed entries after the snapshot are in the log");
            self.output.committed.push(entry.clone());
            self.applied = next;
        }
    }

    fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        if index <= self.log.snapshot().index || index > self.applied {
            return;
        }
        let term = self.log.term_at(index).expect("applied entries after the snapshot are in the log");
        let membership = self.log.membership_at(index).clone();
        let snapshot = LogSnapshot { index, term, membership, data };
        self.log.compact(snapshot.clone());
        self.output.save.snapshot = Some(snapshot);
    }

    fn handle_saved(&mut self, now: Moment) {
        self.saved = self.log.last_index();
        if self.is_leader() {
            self.advance_commit(now);
        }
    }
}
