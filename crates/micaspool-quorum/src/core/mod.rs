//! The consensus state machine of one keeper.

mod election;
mod forming;
mod group;
mod leaving;
mod progress;
mod refusals;
mod replication;
mod startup;

use crate::log::EntryLog;
use crate::message::{PeerBody, PeerMessage};
use crate::options::QuorumOptions;
use crate::output::{Envelope, QuorumEvent, QuorumOutput};
use crate::types::{
    EntryPayload, GroupMembership, HardState, KeeperIdentity, LogEntry, LogIndex, LogSnapshot, RestoredState,
};
use election::ElectionState;
use forming::FormingState;
use leaving::LeavingState;
use micaspool_types::{InstanceName, Moment, Term};
use progress::LeaderState;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use refusals::RefusalState;

use startup::StartupState;
use std::fmt;
use std::time::Duration;

/// The role of a keeper in its group.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum QuorumRole {
    /// The keeper belongs to no group yet.
    Unformed,
    /// The keeper follows a leader, or waits for one.
    Follower,
    /// The keeper asks for votes.
    Candidate,
    /// The keeper leads the group.
    Leader,
}

/// The reason why an entry could not be proposed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ProposeError {
    /// This keeper is not the leader. Contains the leader, if this keeper knows one.
    NotLeader(Option<InstanceName>),
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposeError::NotLeader(Some(leader)) => {
                write!(f, "this keeper is not the leader; send the command to {leader}")
            }
            ProposeError::NotLeader(None) => {
                f.write_str("this keeper knows no leader; try another keeper or retry later")
            }
        }
    }
}

impl std::error::Error for ProposeError {}

/// The state of a keeper as shown to operators.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct QuorumStatus {
    /// The role in the group.
    pub role: QuorumRole,
    /// The current term.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<InstanceName>,
    /// The last committed entry.
    pub commit: LogIndex,
    /// The last entry of the log.
    pub last: LogIndex,
    /// The latest membership, committed or not.
    pub membership: GroupMembership,
    /// Whether this keeper has had contact with a majority within the election timeout, directly as
    /// the leader or through the leader. See [`QuorumCore::is_confirmed`].
    pub confirmed: bool,
}

/// The role with the state that it needs.
#[derive(Debug)]
enum RoleState {
    Follower,
    Candidate(ElectionState),
    Leader(LeaderState),
}

/// The consensus state machine of one keeper. It performs no I/O: see [`QuorumCore::step`] and
/// [`QuorumCore::take_output`].
#[derive(Debug)]
pub struct QuorumCore {
    options: QuorumOptions,
    identity: KeeperIdentity,
    hard: HardState,
    log: EntryLog,
    /// The last committed entry.
    commit: LogIndex,
    /// The last entry that was put into `output.committed`.
    applied: LogIndex,
    role: RoleState,
    /// The leader of the current term, if known.
    leader: Option<KeeperIdentity>,
    /// When the last message of a leader arrived.
    leader_last_contact: Option<Moment>,
    /// When the next pre-vote starts, unless the deadline is reset before.
    election_deadline: Moment,
    forming: FormingState,
    startup: StartupState,
    leaving: LeavingState,
    refusals: RefusalState,
    rng: ChaCha8Rng,
    output: QuorumOutput,
    /// Whether `hard` has changed since the last output.
    hard_dirty: bool,
    /// The last entry of this keeper's log that is durable.
    saved: LogIndex,
}

impl QuorumCore {
    /// Creates a keeper from its persistent state. `seed` randomises the election timeouts.
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
            startup: StartupState::new(now, &options),
            leaving: LeavingState::default(),
            refusals: RefusalState::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            output: QuorumOutput::default(),
            hard_dirty: false,
            saved: log.last_index(),
            log,
            options,
        };
        core.reset_election_deadline(now);
        core
    }

    /// Processes an event. The effects are collected until [`QuorumCore::take_output`] is called.
    pub fn step(&mut self, now: Moment, event: QuorumEvent) {
        match event {
            QuorumEvent::Tick => self.tick(now),
            QuorumEvent::Message(message) => self.receive(now, message),
            QuorumEvent::Saved => self.handle_saved(now),
            QuorumEvent::Compact(index, data) => self.compact(index, data),
            QuorumEvent::RecoverAlone => self.recover_alone(now),
            QuorumEvent::Leave => self.begin_leaving(now),
            QuorumEvent::Refused(name) => self.handle_refused(now, name),
        }
    }

    /// Appends an entry if this keeper leads, and returns its position and term.
    ///
    /// The entry is committed once it appears in [`QuorumOutput::committed`] with this term. An entry of
    /// another term at that position means that the proposed one was lost.
    pub fn propose(&mut self, now: Moment, payload: EntryPayload) -> Result<(LogIndex, Term), ProposeError> {
        if !matches!(self.role, RoleState::Leader(_)) {
            let leader = self.leader.as_ref().map(|leader| leader.name.clone());
            return Err(ProposeError::NotLeader(leader));
        }
        let index = self.append_entry(payload);
        self.replicate_idle(now);
        Ok((index, self.hard.term))
    }

    /// Returns the effects of all events since the last call.
    pub fn take_output(&mut self) -> QuorumOutput {
        if self.hard_dirty {
            self.output.save.hard = Some(self.hard.clone());
            self.hard_dirty = false;
        }
        std::mem::take(&mut self.output)
    }

    /// Returns the number of entries after the latest snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Returns the identity of this keeper.
    pub fn identity(&self) -> &KeeperIdentity {
        &self.identity
    }

    /// Returns whether this keeper leads and has had contact with a majority within the election
    /// timeout, or follows a leader that it has had contact with in that time.
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

    /// Returns whether this keeper leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// Returns the state as shown to operators.
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

    /// Returns whether this keeper belongs to a group.
    pub fn is_formed(&self) -> bool {
        !self.log.membership().members.is_empty()
    }

    fn tick(&mut self, now: Moment) {
        self.tick_leaving(now);
        if self.leave_outcome().is_some() && !self.is_leader() {
            return;
        }
        if !self.log.membership().is_voter(&self.identity) {
            self.announce(now);
        }
        if self.is_leader() {
            self.tick_leader(now);
        } else if self.log.membership().is_voter(&self.identity) {
            self.tick_startup(now);
            if now >= self.election_deadline {
                self.begin_pre_vote(now);
            }
        }
    }

    /// Handles a message by its kind. Announcements, `Form`, pre-votes, startup probes and requests to leave do not affect
    /// the term. A reply to a startup probe does only during the startup; any other message with a newer term makes this
    /// keeper adopt it.
    fn receive(&mut self, now: Moment, message: PeerMessage) {
        let PeerMessage { from, term, body } = message;
        self.remember_sender(&from);
        self.refusals.clear(&from.name);
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
            PeerBody::StartupProbe => return self.handle_startup_probe(now, &from),
            PeerBody::StartupReply { hears_leader, last, last_term } => {
                return self.handle_startup_reply(now, from, term, hears_leader, (last_term, last));
            }
            PeerBody::Leave => return self.handle_leave(now, &from),
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
            PeerBody::LeaveReply { outcome } => self.handle_leave_reply(term, outcome),
            PeerBody::TimeoutNow => self.handle_timeout_now(now, &from, term),
            _ => {}
        }
    }

    /// Processes the content of an `Append` or `Install` from the current leader.
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

    /// Adopts a newer term as a follower that has not voted yet.
    fn enter_term(&mut self, now: Moment, term: Term) {
        self.hard = HardState { term, vote: None };
        self.hard_dirty = true;
        self.become_follower(now, None);
        self.note_term_at_startup(now);
    }

    fn become_follower(&mut self, now: Moment, leader: Option<KeeperIdentity>) {
        self.role = RoleState::Follower;
        self.leader = leader;
        self.reset_election_deadline(now);
    }

    /// Restarts the election timeout with a new random length.
    fn reset_election_deadline(&mut self, now: Moment) {
        let min_timeout = self.options.election_timeout;
        let max_jitter = u64::try_from(min_timeout.as_micros()).unwrap_or(u64::MAX);
        let jitter = self.rng.random_range(0..=max_jitter);
        self.election_deadline = now + min_timeout + Duration::from_micros(jitter);
    }

    /// Appends an entry of the current term to the log and to the save batch.
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

    /// Adds the entries up to the commit index to `output.committed`.
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
