//! To which dispatcher a router speaks for a service.
//!
//! Candidates are ranked by rendezvous hashing over the instances that run a dispatcher, so that
//! routers that reach the same ones choose the same one without talking to each other. A router
//! uses the first that it can reach. While it uses a lower-ranked one it tries the higher-ranked
//! ones, and moves once one of them has answered for the whole hold-down time.

use micaspool_types::{rendezvous_score, InstanceName, Moment, ServiceName};
use std::time::Duration;

/// The dispatchers for a service, the first choice first.
pub fn rank_candidates(service: &ServiceName, dispatchers: &[InstanceName]) -> Vec<InstanceName> {
    let mut ranked: Vec<(u64, InstanceName)> = dispatchers
        .iter()
        .map(|name| (rendezvous_score(service.as_str(), name.as_str()), name.clone()))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.dedup();
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// Times of a [`CandidateChoice`].
#[derive(Clone, Copy, Debug)]
pub struct ChoiceOptions {
    /// The first pause before an unreachable candidate is tried again; it doubles.
    pub first_pause: Duration,
    /// The longest pause.
    pub longest_pause: Duration,
    /// For how long a higher-ranked candidate must answer before the router moves to it.
    pub hold_down: Duration,
    /// How often higher-ranked candidates are tried.
    pub probe_interval: Duration,
}

impl Default for ChoiceOptions {
    fn default() -> Self {
        ChoiceOptions {
            first_pause: Duration::from_millis(50),
            longest_pause: Duration::from_secs(1),
            hold_down: Duration::from_secs(2),
            probe_interval: Duration::from_millis(500),
        }
    }
}

/// What a router should do about its dispatcher.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ChoiceStep {
    /// Open a stream to the candidate of this rank.
    Connect(usize),
    /// See whether the candidate of this rank answers, and keep the present stream.
    Probe(usize),
    /// Nothing before this moment.
    Wait(Moment),
}

#[derive(Clone, Copy, Debug)]
struct CandidateState {
    failures: u32,
    not_before: Moment,
    answering_since: Option<Moment>,
    probe_at: Moment,
}

/// Chooses among ranked candidates; the caller reports what came of each step.
#[derive(Clone, Debug)]
pub struct CandidateChoice {
    options: ChoiceOptions,
    candidates: Vec<CandidateState>,
    current: Option<usize>,
}

impl CandidateChoice {
    /// A choice among this many candidates.
    pub fn new(count: usize, options: ChoiceOptions) -> CandidateChoice {
        let fresh =
            CandidateState { failures: 0, not_before: Moment(0), answering_since: None, probe_at: Moment(0) };
        CandidateChoice { options, candidates: vec![fresh; count], current: None }
    }

    /// The rank of the candidate that is used now.
    pub fn current(&self) -> Option<usize> {
        self.current
    }

    /// What to do next.
    pub fn next(&self, now: Moment) -> ChoiceStep {
        match self.current {
            None => self.next_connect(now),
            Some(rank) => self.next_probe(now, rank),
        }
    }

    /// The stream to this candidate is open.
    pub fn connected(&mut self, rank: usize) {
        self.candidates[rank].failures = 0;
        self.candidates[rank].answering_since = None;
        self.current = Some(rank);
    }

    /// The candidate could not be reached, or its stream ended.
    pub fn failed(&mut self, now: Moment, rank: usize) {
        let state = &mut self.candidates[rank];
        let pause = self.options.first_pause * (1 << state.failures.min(8));
        state.failures += 1;
        state.not_before = now + pause.min(self.options.longest_pause);
        state.answering_since = None;
        if self.current == Some(rank) {
            self.current = None;
        }
    }

    /// The candidate asked to be connected to again; it has not failed.
    pub fn left(&mut self, rank: usize) {
        if self.current == Some(rank) {
            self.current = None;
        }
    }

    /// A probe of this candidate has ended.
    pub fn probed(&mut self, now: Moment, rank: usize, answered: bool) {
        let state = &mut self.candidates[rank];
        state.probe_at = now + self.options.probe_interval;
        state.answering_since = match (answered, state.answering_since) {
            (false, _) => None,
            (true, since) => Some(since.unwrap_or(now)),
        };
    }

    fn next_connect(&self, now: Moment) -> ChoiceStep {
        let ready = self.candidates.iter().position(|state| state.not_before <= now);
        match ready {
            Some(rank) => ChoiceStep::Connect(rank),
            None => {
                ChoiceStep::Wait(self.candidates.iter().map(|state| state.not_before).min().unwrap_or(now))
            }
        }
    }

    fn next_probe(&self, now: Moment, rank: usize) -> ChoiceStep {
        let better = &self.candidates[..rank];
        let settled = |state: &CandidateState| {
            state.answering_since.is_some_and(|since| now.since(since) >= self.options.hold_down)
        };
        if let Some(target) = better.iter().position(settled) {
            return ChoiceStep::Connect(target);
        }
        if let Some(target) = better.iter().position(|state| state.probe_at <= now) {
            return ChoiceStep::Probe(target);
        }
        let next = better.iter().map(|state| state.probe_at).min();
        ChoiceStep::Wait(next.unwrap_or(now + self.options.probe_interval))
    }
}
