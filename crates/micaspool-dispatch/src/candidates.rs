//! Chooses which of its ranked dispatchers a router connects to.
//!
//! A router uses the first candidate that it can reach. While it uses a lower-ranked one, it watches
//! the higher-ranked ones and switches once the best of those that answer has done so for the whole
//! hold-down time.
//!
//! The hold-down is designed for the return of all dispatchers at once. Until then each router uses its
//! last resort, and each reaches the returning dispatchers in a different order. If routers connected
//! to the first one that answers, each dispatcher would start a shard and all routers would have to
//! switch again. A lost dispatcher therefore has to answer for some time before it is used, and routers
//! wait for the best of those that answer. If the health of a candidate is known from another stream,
//! it is not probed: 295 routers that each probe four candidates for two services twice a second make
//! 4,720 calls per second on new connections, more than five dispatchers with 0.3 of a core can handle.

use micaspool_types::{stable_hash, InstanceName, Moment};
use std::time::Duration;

/// Timing of a [`CandidateChoice`].
#[derive(Clone, Copy, Debug)]
pub struct ChoiceOptions {
    /// The backoff after the first failure of a candidate; it doubles with each further one.
    pub initial_backoff: Duration,
    /// The longest backoff.
    pub max_backoff: Duration,
    /// How long a higher-ranked candidate must answer before the router switches to it.
    pub hold_down: Duration,
    /// The same time for a router on its last resort, which serves worse than any other candidate.
    pub last_resort_hold_down: Duration,
    /// How long a router that has just started waits for higher-ranked candidates that are still
    /// pending.
    pub startup_wait: Duration,
    /// How long an observed candidate must be lost before the stream to it is given up.
    pub loss_timeout: Duration,
    /// The interval between probes of higher-ranked candidates.
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

/// The period over which routers spread their switches, so that a dispatcher does not accept a whole
/// fleet within one scheduler time slice.
const SWITCH_SPREAD: Duration = Duration::from_millis(500);

impl ChoiceOptions {
    /// The default options with hold-down times that vary by router.
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

/// The health of a candidate, observed on another stream to the same process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CandidateHealth {
    /// No attempt to reach it has completed yet.
    Pending,
    /// The process sends messages to this router.
    Answering,
    /// A message from it is overdue. A router that uses it stays, and no router switches to it. When
    /// all dispatchers lose power, a router notices the loss of its own before the others count as
    /// lost. When routers then tried the others one after the other until they were back, these took in
    /// 182, 66, 30 and 14 of 295 routers.
    Unresponsive,
    /// The process can't be reached, or no longer.
    Lost,
}

/// How a router learns whether a candidate answers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CandidateKind {
    /// The router probes it.
    Probed,
    /// The router observes another stream to the same process.
    Observed(CandidateHealth),
    /// It runs inside the router's own process and always answers; it is ranked last.
    LastResort,
}

/// The next step of a router in the choice of its dispatcher.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ChoiceStep {
    /// Open a stream to the candidate of this rank.
    Connect(usize),
    /// Probe the candidate of this rank and keep the current stream.
    Probe(usize),
    /// Do nothing before this moment.
    Wait(Moment),
}

#[derive(Clone, Copy, Debug)]
struct CandidateState {
    kind: CandidateKind,
    failures: u32,
    retry_at: Moment,
    answering_since: Option<Moment>,
    lost_since: Option<Moment>,
    /// True once it was lost; it then has to answer for some time before it is used.
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

    /// Updates the kind and what follows from an observed health.
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

    /// True if it answers according to the latest information.
    fn is_answering(&self) -> bool {
        self.answering_since.is_some() && self.kind != CandidateKind::Observed(CandidateHealth::Unresponsive)
    }

    fn has_answered_for(&self, now: Moment, time: Duration) -> bool {
        self.is_answering() && self.answering_since.is_some_and(|since| now.since(since) >= time)
    }

    /// When a router without a stream may use it; `None` if that is not known yet.
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

/// Chooses among ranked candidates; the caller reports the result of each step.
#[derive(Clone, Debug)]
pub struct CandidateChoice {
    options: ChoiceOptions,
    started_at: Moment,
    candidates: Vec<CandidateState>,
    current: Option<usize>,
}

impl CandidateChoice {
    /// Creates a choice among `count` candidates, all of which are probed.
    pub fn new(count: usize, options: ChoiceOptions) -> CandidateChoice {
        CandidateChoice::with_kinds(Moment(0), vec![CandidateKind::Probed; count], options)
    }

    /// Creates a choice among candidates of these kinds, in order of rank.
    pub fn with_kinds(now: Moment, kinds: Vec<CandidateKind>, options: ChoiceOptions) -> CandidateChoice {
        let candidates = kinds.into_iter().map(|kind| CandidateState::new(now, kind)).collect();
        CandidateChoice { options, started_at: now, candidates, current: None }
    }

    /// Replaces the list of candidates. Each entry has the candidate's previous rank, if any, and its
    /// kind. The state of known candidates is kept; the current one is dropped if it is no longer
    /// listed.
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

    /// The rank of the candidate in use.
    pub fn current(&self) -> Option<usize> {
        self.current
    }

    /// True if the process of the current candidate has been lost for long enough to leave it.
    pub fn has_lost_current(&self, now: Moment) -> bool {
        let lost = self.current.and_then(|rank| self.candidates[rank].lost_since);
        lost.is_some_and(|since| now.since(since) >= self.options.loss_timeout)
    }

    /// The next step.
    pub fn next(&self, now: Moment) -> ChoiceStep {
        match self.current {
            None => self.next_connect(now),
            Some(rank) => self.next_switch(now, rank),
        }
    }

    /// Records that the stream to this candidate is open.
    pub fn connected(&mut self, rank: usize) {
        self.candidates[rank].failures = 0;
        self.candidates[rank].answering_since = None;
        self.current = Some(rank);
    }

    /// Records that the candidate could not be reached, or that its stream ended.
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

    /// Records that the candidate asked the router to reconnect, which is not a failure.
    pub fn left(&mut self, rank: usize) {
        if self.current == Some(rank) {
            self.current = None;
        }
    }

    /// Records the result of a probe.
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

    /// The higher-ranked candidate to switch to now. This is the best one that answers; another one is
    /// chosen only if it has answered for twice the hold-down time while the best one has not answered
    /// without interruption.
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
