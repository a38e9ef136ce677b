//! The first election after a start.
//!
//! After a power loss all voters start at about the same time, and none of them has a leader. A voter that has heard no
//! leader since its start therefore probes the others and begins a pre-vote as soon as all voters have answered and nobody
//! hears a leader. Probes start no term and grant nothing; pre-votes and votes decide as in any other election.
//!
//! While a voter has not answered, it could be a leader that counts on answers, or on a vote, that this voter gave before.
//! It counts on them for an election timeout, and what is read from it meanwhile is taken as confirmed by a majority. So a
//! majority of answers is enough only when an election timeout has passed since the start and since the latest vote.
//!
//! Answers of all voters are enough at once only while no newer term has begun and no vote has been given since the start. A
//! candidate of a newer term that answers that it hears no leader may be elected right afterwards.

use super::{QuorumCore, RoleState};
use crate::message::PeerBody;
use crate::options::QuorumOptions;
use crate::types::{GroupMembership, KeeperIdentity, LogIndex};
use micaspool_types::{Moment, Term};
use rand::Rng;
use std::collections::HashMap;
use std::time::Duration;

/// The interval of the first probes. It doubles up to the heartbeat interval, so that a voter without a majority causes
/// no more messages than a leader.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// An answer counts for this long. Two probes may be lost meanwhile.
const ANSWER_VALIDITY: Duration = Duration::from_millis(300);
/// The delay for each voter with a better claim to lead. It covers the messages of an election and the sync of a vote to
/// disk, so that votes are rarely split.
const RANK_DELAY: Duration = Duration::from_millis(25);
/// The delay until the next attempt after a first pre-vote or vote without a leader. It doubles up to the election
/// timeout, since another attempt discards the votes of one that is merely slow.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The latest reply of a voter to a probe. It shows that messages pass in both directions.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartupAnswer {
    at: Moment,
    hears_leader: bool,
    last: (Term, LogIndex),
}

/// What a voter knows about the others until it hears a leader for the first time since its start.
#[derive(Debug)]
pub(super) struct StartupState {
    /// Until when another voter may be a leader that counts on this one without its knowledge.
    relied_on_until: Moment,
    /// Whether a newer term has begun, or this voter has voted, since the start.
    term_noted: bool,
    /// Whether no leader has been heard since the start.
    active: bool,
    answers: HashMap<KeeperIdentity, StartupAnswer>,
    next_probe: Moment,
    probe_interval: Duration,
    /// Since when the answers have allowed an election. Voters with a better claim still go first.
    eligible_since: Option<Moment>,
    /// No attempt begins before this moment.
    held_until: Moment,
    /// The delay after the next attempt, without jitter.
    retry_delay: Duration,
}

impl StartupState {
    pub fn new(now: Moment, options: &QuorumOptions) -> StartupState {
        StartupState {
            relied_on_until: now + options.election_timeout,
            term_noted: false,
            active: true,
            answers: HashMap::new(),
            next_probe: now,
            probe_interval: FIRST_PROBE_INTERVAL,
            eligible_since: None,
            held_until: now,
            retry_delay: FIRST_RETRY_DELAY,
        }
    }

    /// Ends the startup, because a leader is known.
    pub fn finish(&mut self) {
        self.active = false;
        self.answers.clear();
    }

    /// Delays the next attempt, because one is under way, and requires new answers for it. `jitter` is between 0 and 1;
    /// `limit` bounds the delay before jitter.
    fn hold(&mut self, now: Moment, jitter: f64, limit: Duration) {
        self.answers.clear();
        self.eligible_since = None;
        self.held_until = now + self.retry_delay + self.retry_delay.mul_f64(jitter / 2.0);
        self.retry_delay = (self.retry_delay * 2).min(limit);
    }

    /// Returns the answer of a voter unless it is too old.
    fn recent_answer(&self, now: Moment, voter: &KeeperIdentity) -> Option<&StartupAnswer> {
        self.answers.get(voter).filter(|answer| now.since(answer.at) <= ANSWER_VALIDITY)
    }

    /// Returns whether probes are due and, if so, schedules the next ones. `limit` bounds their interval.
    fn take_due_probe(&mut self, now: Moment, limit: Duration) -> bool {
        if !self.active || now < self.next_probe {
            return false;
        }
        self.next_probe = now + self.probe_interval;
        self.probe_interval = (self.probe_interval * 2).min(limit);
        true
    }

    /// Returns whether this voter, whose log ends with `last`, is to begin an election now.
    fn is_due(
        &mut self,
        now: Moment,
        own: &KeeperIdentity,
        last: (Term, LogIndex),
        membership: &GroupMembership,
    ) -> bool {
        if !self.active || now < self.held_until {
            return false;
        }
        let answers: Vec<(&KeeperIdentity, &StartupAnswer)> = membership
            .voters()
            .filter(|voter| *voter != own)
            .filter_map(|voter| Some((voter, self.recent_answer(now, voter)?)))
            .collect();
        let reached = answers.len() + 1;
        let is_eligible = reached >= membership.majority()
            && (now >= self.relied_on_until || (!self.term_noted && reached == membership.voters().count()))
            && !answers.iter().any(|(_, answer)| answer.hears_leader);
        if !is_eligible {
            self.eligible_since = None;
            return false;
        }
        let is_better = |(voter, answer): &&(&KeeperIdentity, &StartupAnswer)| {
            has_better_claim((voter, answer.last), (own, last))
        };
        let rank = answers.iter().filter(is_better).count();
        let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        now.since(*self.eligible_since.get_or_insert(now)) >= delay
    }
}

/// Returns whether a voter has a better claim to lead than another: a log that is more up to date or, if the logs are equal, the
/// lower name.
fn has_better_claim(
    (voter, last): (&KeeperIdentity, (Term, LogIndex)),
    (other, other_last): (&KeeperIdentity, (Term, LogIndex)),
) -> bool {
    last > other_last || (last == other_last && voter < other)
}

impl QuorumCore {
    /// Probes the other voters if this is due, and begins a pre-vote if that is due. Called for voters that do not lead.
    pub(super) fn tick_startup(&mut self, now: Moment) {
        if self.startup.take_due_probe(now, self.options.heartbeat) {
            self.send_to_voters(&PeerBody::StartupProbe);
        }
        self.elect_at_startup(now);
    }

    /// Replies to a probe. If the sender has not replied to this keeper yet, its stream has probably been opened only
    /// now, and it is probed at once.
    pub(super) fn handle_startup_probe(&mut self, now: Moment, from: &KeeperIdentity) {
        if self.may_vote() {
            let hears_leader = self.hears_leader(now);
            let (last_term, last) = self.last_entry();
            self.send(&from.name, PeerBody::StartupReply { hears_leader, last, last_term });
        }
        let membership = self.log.membership();
        let are_voters = membership.is_voter(from) && membership.is_voter(&self.identity);
        if self.startup.active && are_voters && self.startup.recent_answer(now, from).is_none() {
            self.send(&from.name, PeerBody::StartupProbe);
        }
    }

    pub(super) fn handle_startup_reply(
        &mut self,
        now: Moment,
        from: KeeperIdentity,
        term: Term,
        hears_leader: bool,
        last: (Term, LogIndex),
    ) {
        if !self.startup.active || !self.log.membership().is_voter(&from) {
            return;
        }
        // A pre-vote for a term that a voter has seen already would be refused by that voter. An election of that term may
        // be under way, so it is adopted with a pause.
        if term > self.hard.term {
            self.enter_term(now, term);
        }
        self.startup.answers.insert(from, StartupAnswer { at: now, hears_leader, last });
        self.elect_at_startup(now);
    }

    fn elect_at_startup(&mut self, now: Moment) {
        let membership = self.log.membership();
        let may_stand = !self.is_leader() && membership.is_voter(&self.identity);
        let last = self.last_entry();
        if !may_stand || !self.startup.is_due(now, &self.identity, last, membership) {
            return;
        }
        self.begin_pre_vote(now);
    }

    /// Gives way to a voter with a better claim to whom a pre-vote has been granted, so that two candidates do not split the
    /// votes. A pre-vote of this keeper that is under way ends.
    pub(super) fn yield_at_startup(&mut self, now: Moment, to: &KeeperIdentity, last: (Term, LogIndex)) {
        if self.startup.active && has_better_claim((to, last), (&self.identity, self.last_entry())) {
            self.abandon_pre_vote();
            self.hold_startup(now);
        }
    }

    /// Notes that a newer term has begun or that this keeper has voted. Somebody may lead in that term now and count on the
    /// votes of it.
    pub(super) fn note_term_at_startup(&mut self, now: Moment) {
        self.startup.term_noted = true;
        self.startup.relied_on_until = now + self.options.election_timeout;
        self.hold_startup(now);
    }

    /// Delays the next attempt of the startup while this keeper stands for election or has voted.
    pub(super) fn hold_startup(&mut self, now: Moment) {
        if self.startup.active {
            let jitter = self.rng.random_range(0.0..1.0);
            self.startup.hold(now, jitter, self.options.election_timeout);
        }
    }

    /// Returns whether this keeper leads or has had contact with a leader within the election timeout.
    pub(super) fn hears_leader(&self, now: Moment) -> bool {
        let has_contact = |contact| now.since(contact) < self.options.election_timeout;
        matches!(self.role, RoleState::Leader(_)) || self.leader_last_contact.is_some_and(has_contact)
    }
}
