//! To which of its ranked dispatchers a router speaks.
//!
//! A router uses the first that it can reach. While it uses a lower-ranked one it watches the higher-ranked
//! ones, and moves once the best of those that answer has done so for the whole hold-down time.
//!
//! The load this is made for is a whole fleet that returns at once: all dispatchers were gone, each
//! router serves with its last resort, and each reaches the returning dispatchers in an order of
//! its own. Moving to the first that answers would start a shard on each of them, and all routers
//! would move a second time. So a dispatcher that was lost has to answer for a while first, and the
//! best of those that answer is waited for. What is known of a candidate from elsewhere is used
//! instead of asking it: 295 routers that each ask four candidates for two services twice a second
//! are 4,720 calls a second on new connections, more than five dispatchers with 0.3 of a core bear.

use micaspool_types::{stable_hash, InstanceName, Moment};
use std::time::Duration;

/// Times of a [`CandidateChoice`].
#[derive(Clone, Copy, Debug)]
pub struct ChoiceOptions {
    /// The first pause before an unreachable candidate is tried again; it doubles.
    pub initial_backoff: Duration,
    /// The longest pause.
    pub max_backoff: Duration,
    /// For how long a higher-ranked candidate must answer before the router moves to it.
    pub hold_down: Duration,
    /// The same for a router that uses its last resort, which serves worse than any other.
    pub last_resort_hold_down: Duration,
    /// For how long a router that has just started waits for better candidates that it has not
    /// heard of yet.
    pub startup_wait: Duration,
    /// For how long a followed candidate is lost before its stream is given up as well.
    pub loss_timeout: Duration,
    /// How often higher-ranked candidates are asked.
    pub probe_interval: Duration,
}

impl Default for ChoiceOptions {
    fn default() -> Self {
        ChoiceOptions {
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
            hold_down: Duration::from_secs(2),
            last_resort_hold_down: Duration::from_millis(600),
            startup_wait: Duration::from_millis(300),
            loss_timeout: Duration::from_millis(500),
            probe_interval: Duration::from_millis(500),
        }
    }
}

/// Over how long the moves of all routers are spread, so that a dispatcher does not take in a whole
/// fleet within one of its time slices.
const SWITCH_SPREAD: Duration = Duration::from_millis(500);

impl ChoiceOptions {
    /// The defaults with hold-down times that differ from router to router.
    pub fn spread_for(router: &InstanceName) -> ChoiceOptions {
        const PARTS: u64 = 64;
        let part = stable_hash(router.as_str().bytes()) % PARTS;
        let extra = SWITCH_SPREAD * u32::try_from(part).unwrap_or(0) / u32::try_from(PARTS).unwrap_or(1);
        let options = ChoiceOptions::default();
        ChoiceOptions {
            hold_down: options.hold_down + extra,
            last_resort_hold_down: options.last_resort_hold_down + extra,
            ..options
        }
    }
}

/// What another stream to the same process tells of a candidate.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CandidateHealth {
    /// No try has come to an end yet.
    Pending,
    /// The process speaks to this router.
    Answering,
    /// It should have spoken and has not; it is used on, and no router moves to it. When all dispatchers lose
    /// power, a router finds out that its own is gone before the others count as lost; tried one after the
    /// other until they were back, they took in 182, 66, 30 and 14 of 295 routers.
    Unresponsive,
    /// The process is not reached, or no more.
    Lost,
}

/// How a router knows whether a candidate answers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CandidateKind {
    /// It asks.
    Probed,
    /// Another stream to the same process tells.
    Observed(CandidateHealth),
    /// It is inside the router's own process and always answers; it comes last.
    LastResort,
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
    kind: CandidateKind,
    failures: u32,
    retry_at: Moment,
    answering_since: Option<Moment>,
    lost_since: Option<Moment>,
    /// True once it was lost: what returns has to answer for a while before it is used.
    was_lost: bool,
    probe_at: Moment,
}

impl CandidateState {
    fn new(now: Moment, kind: CandidateKind) -> CandidateState {
        let mut state = CandidateState {
            kind: CandidateKind::Probed,
            failures: 0,
            retry_at: Moment(0),
            answering_since: None,
            lost_since: None,
            was_lost: false,
            probe_at: Moment(0),
        };
        state.update_kind(now, kind);
        state
    }

    /// Takes in what is known from elsewhere.
    fn update_kind(&mut self, now: Moment, kind: CandidateKind) {
        self.kind = kind;
        match kind {
            CandidateKind::Observed(CandidateHealth::Answering) => {
                self.answering_since.get_or_insert(now);
                self.lost_since = None;
            }
            CandidateKind::Observed(CandidateHealth::Lost) => {
                self.answering_since = None;
                self.lost_since.get_or_insert(now);
                self.was_lost = true;
            }
            _ => {}
        }
    }

    /// True when it answers as far as is known at this moment.
    fn is_answering(&self) -> bool {
        self.answering_since.is_some() && self.kind != CandidateKind::Observed(CandidateHealth::Unresponsive)
    }

    fn has_answered_for(&self, now: Moment, time: Duration) -> bool {
        self.is_answering() && self.answering_since.is_some_and(|since| now.since(since) >= time)
    }

    /// When a router without a stream may use it; `None` while that can't be said.
    fn usable_at(&self, options: &ChoiceOptions) -> Option<Moment> {
        match self.kind {
            CandidateKind::Observed(CandidateHealth::Answering) if self.was_lost => {
                let settled = self.answering_since? + options.last_resort_hold_down;
                Some(settled.max(self.retry_at))
            }
            CandidateKind::Observed(
                CandidateHealth::Pending | CandidateHealth::Unresponsive | CandidateHealth::Lost,
            ) => None,
            _ => Some(self.retry_at),
        }
    }
}

/// Chooses among ranked candidates; the caller reports what came of each step.
#[derive(Clone, Debug)]
pub struct CandidateChoice {
    options: ChoiceOptions,
    started_at: Moment,
    candidates: Vec<CandidateState>,
    current: Option<usize>,
}

impl CandidateChoice {
    /// A choice among this many candidates, all of which have to be asked.
    pub fn new(count: usize, options: ChoiceOptions) -> CandidateChoice {
        CandidateChoice::of(Moment(0), vec![CandidateKind::Probed; count], options)
    }

    /// A choice among candidates of these kinds, in the order of their rank.
    pub fn of(now: Moment, kinds: Vec<CandidateKind>, options: ChoiceOptions) -> CandidateChoice {
        let candidates = kinds.into_iter().map(|kind| CandidateState::new(now, kind)).collect();
        CandidateChoice { options, started_at: now, candidates, current: None }
    }

    /// Takes a changed list over: each candidate's rank before, and what is known of it now. What was
    /// seen of a candidate stays with it; the present one is dropped when it is no longer listed.
    pub fn update(&mut self, now: Moment, changes: &[(Option<usize>, CandidateKind)]) {
        let state = |(before, kind): &(Option<usize>, CandidateKind)| match before {
            Some(rank) => {
                let mut state = self.candidates[*rank];
                state.update_kind(now, *kind);
                state
            }
            None => CandidateState::new(now, *kind),
        };
        let candidates = changes.iter().map(state).collect();
        let current = self.current;
        self.current = current.and_then(|rank| changes.iter().position(|(before, _)| *before == Some(rank)));
        self.candidates = candidates;
    }

    /// The rank of the candidate that is used now.
    pub fn current(&self) -> Option<usize> {
        self.current
    }

    /// True when the process of the present candidate has been lost for long enough to leave it.
    pub fn has_lost_current(&self, now: Moment) -> bool {
        let lost = self.current.and_then(|rank| self.candidates[rank].lost_since);
        lost.is_some_and(|since| now.since(since) >= self.options.loss_timeout)
    }

    /// What to do next.
    pub fn next(&self, now: Moment) -> ChoiceStep {
        match self.current {
            None => self.next_connect(now),
            Some(rank) => self.next_switch(now, rank),
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
        let backoff = self.options.initial_backoff * (1 << state.failures.min(8));
        state.failures += 1;
        state.retry_at = now + backoff.min(self.options.max_backoff);
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
        let startup_deadline = self.started_at + self.options.startup_wait;
        let mut next = None;
        for (rank, state) in self.candidates.iter().enumerate() {
            let pending = state.kind == CandidateKind::Observed(CandidateHealth::Pending);
            if pending && now < startup_deadline {
                return ChoiceStep::Wait(startup_deadline);
            }
            match state.usable_at(&self.options) {
                Some(at) if at <= now => return ChoiceStep::Connect(rank),
                Some(at) => next = Some(next.map_or(at, |earlier: Moment| earlier.min(at))),
                None => {}
            }
        }
        ChoiceStep::Wait(next.unwrap_or(now + self.options.probe_interval))
    }

    fn next_switch(&self, now: Moment, rank: usize) -> ChoiceStep {
        let better = &self.candidates[..rank];
        if let Some(target) = self.better_candidate(now, rank) {
            return ChoiceStep::Connect(target);
        }
        let is_probed = |state: &&CandidateState| state.kind == CandidateKind::Probed;
        let probe_due = |state: &CandidateState| is_probed(&state) && state.probe_at <= now;
        if let Some(target) = better.iter().position(probe_due) {
            return ChoiceStep::Probe(target);
        }
        let next = better.iter().filter(is_probed).map(|state| state.probe_at).min();
        ChoiceStep::Wait(next.unwrap_or(now + self.options.probe_interval))
    }

    /// The better candidate to move to now. The best of those that answer is waited for, unless it
    /// keeps coming and going while another one has answered for twice the time.
    fn better_candidate(&self, now: Moment, rank: usize) -> Option<usize> {
        let hold_down = match self.candidates[rank].kind {
            CandidateKind::LastResort => self.options.last_resort_hold_down,
            _ => self.options.hold_down,
        };
        let better = &self.candidates[..rank];
        let best = better.iter().position(CandidateState::is_answering)?;
        if better[best].has_answered_for(now, hold_down) {
            return Some(best);
        }
        better.iter().position(|state| state.has_answered_for(now, hold_down * 2))
    }
}
