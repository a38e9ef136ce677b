//! What operators and tests may see of a shard.

use super::counters::CustomerCounters;
use super::customers::CustomerState;
use super::endpoints::EndpointIndex;
use super::prefill::PrefillRate;
use super::ShardCore;
use micaspool_fair::ServiceLevel;
use micaspool_quarantine::{CrashRecord, RequestStanding};
use micaspool_types::{CustomerName, EndpointName, HallMask, Moment, Revision};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// One customer in a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerStatus {
    /// The name of the customer.
    pub name: CustomerName,
    /// Its waiting requests.
    pub waiting: usize,
    /// Its running requests.
    pub running: u32,
    /// Its level; the gap between two waiting customers is the difference of theirs.
    pub level: ServiceLevel,
    /// How far that is below the highest level that was served in its halls.
    pub behind: ServiceLevel,
    /// What became of its tickets.
    pub counters: CustomerCounters,
}

/// One endpoint in a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    /// The name of the endpoint.
    pub name: EndpointName,
    /// Grants that hold a slot.
    pub busy: u32,
    /// Slots that something else uses.
    pub foreign: u32,
    /// All slots.
    pub slots: u32,
    /// Why it takes nothing new; `None` while it is open.
    pub closure: Option<EndpointClosure>,
    /// True when it has a free slot and little enough to read.
    pub free: bool,
    /// True while its engine has too much to read to get more.
    pub reading: bool,
    /// Failures in a row.
    pub failures: u32,
    /// True while it is cold and its next request is not due.
    pub spaced: bool,
    /// How much longer it is taken for cold; zero for one that is warm.
    pub cold: Duration,
    /// How many routers it asked for rest.
    pub resting_routers: usize,
    /// How fast its engine reads; `None` for other endpoints.
    pub pace: Option<PrefillStatus>,
}

/// Why an endpoint takes nothing new, whatever its slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointClosure {
    /// Settings do not name it, or say that it leaves.
    Settings,
    /// The platform lists it as leaving.
    Listed,
    /// It said so itself.
    Draining,
    /// Its data hall is evacuated by an operator's order.
    Evacuated,
    /// It failed, refused or could not be reached, and is left alone for a while.
    Paused,
}

impl EndpointClosure {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointClosure::Settings => "settings",
            EndpointClosure::Listed => "listed",
            EndpointClosure::Draining => "draining",
            EndpointClosure::Evacuated => "evacuated",
            EndpointClosure::Paused => "paused",
        }
    }
}

/// What a shard has learnt of how fast an engine reads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillStatus {
    /// Tokens a millisecond, with what runs beside.
    pub tokens_per_milli: f64,
    /// From a grant to the first event, apart from reading.
    pub latency: Duration,
    /// The age of the newest observation; `None` while the pace is assumed.
    pub age: Option<Duration>,
    /// How far observations lie from the pace, as a mean part of what was expected.
    pub spread: f64,
}

/// A request under which several endpoints ended.
#[derive(Clone, Debug, PartialEq)]
pub struct SuspectStatus {
    /// How it stands.
    pub standing: RequestStanding,
    /// How long it is shut out yet; zero for one that is not.
    pub remaining: Duration,
    /// The endpoints that ended under it.
    pub record: CrashRecord,
}

/// A whole shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardStatus {
    /// The revision of the settings in force.
    pub revision: Revision,
    /// True while the shard collects what routers hold.
    pub recovering: bool,
    /// The routers that have joined.
    pub routers: usize,
    /// All waiting tickets.
    pub waiting: usize,
    /// The waiting tickets that wait for one engine, which is not free.
    pub awaiting: usize,
    /// The engines that they wait for.
    pub awaited_engines: usize,
    /// All running grants.
    pub running: usize,
    /// How often all waiting tickets were looked at, whatever they had chosen before.
    pub rounds: u64,
    /// The customers that wait or run.
    pub customers: Vec<CustomerStatus>,
    /// The endpoints.
    pub endpoints: Vec<EndpointStatus>,
    /// The requests that are suspected of ending endpoints, or shut out.
    pub suspects: Vec<SuspectStatus>,
}

impl EndpointStatus {
    /// True when it may take new work once it has a slot.
    pub fn is_open(&self) -> bool {
        self.closure.is_none()
    }
}

impl PrefillStatus {
    fn of(now: Moment, pace: &PrefillRate) -> PrefillStatus {
        PrefillStatus {
            tokens_per_milli: pace.tokens_per_milli(),
            latency: pace.latency(),
            age: pace.newest().map(|newest| now.since(newest)),
            spread: pace.spread(),
        }
    }
}

impl ShardCore {
    /// The state of the shard.
    pub fn status(&self, now: Moment) -> ShardStatus {
        let customers = self.customers.iter().filter_map(|state| self.customer_status(state));
        let mut rests: HashMap<EndpointIndex, usize> = HashMap::new();
        self.routers.resting(now).for_each(|endpoint| *rests.entry(endpoint).or_default() += 1);
        let indexed = self.endpoints.indices().zip(self.endpoints.iter());
        let endpoints = indexed.map(|(index, state)| EndpointStatus {
            name: state.name.clone(),
            busy: state.busy,
            foreign: state.foreign,
            slots: state.slots,
            closure: state.closure(),
            free: state.is_free(),
            reading: state.reading,
            failures: state.failures,
            spaced: state.availability.cold.spaced,
            cold: if state.availability.cold.is_cold(now) {
                state.availability.cold.until().since(now)
            } else {
                Duration::ZERO
            },
            resting_routers: rests.get(&index).copied().unwrap_or_default(),
            pace: state.engine.as_ref().map(|engine| PrefillStatus::of(now, engine.pace())),
        });
        let awaited = || self.waiting.values().filter_map(|ticket| ticket.waits_for.get());
        let engines: HashSet<EndpointIndex> = awaited().map(|choice| choice.engine).collect();
        ShardStatus {
            revision: self.revision,
            recovering: self.recovering_until.is_some(),
            routers: self.routers.count(),
            waiting: self.waiting.len(),
            awaiting: awaited().count(),
            awaited_engines: engines.len(),
            running: self.running.len(),
            rounds: self.pass_number,
            customers: customers.collect(),
            endpoints: endpoints.collect(),
            suspects: self.suspects.suspected(now),
        }
    }

    /// The state of a customer that has, or had, a ticket here.
    fn customer_status(&self, state: &CustomerState) -> Option<CustomerStatus> {
        if state.queue.is_empty() && state.running == 0 && state.counters == CustomerCounters::default() {
            return None;
        }
        let level = state.level(self.options.policy.as_ref());
        let served = self.highest_served(state.halls).unwrap_or_default();
        Some(CustomerStatus {
            name: state.name.clone(),
            waiting: state.queue.len(),
            running: state.running,
            level,
            behind: ServiceLevel(served.0.saturating_sub(level.0)),
            counters: state.counters,
        })
    }

    /// The halls that some waiting ticket may use.
    pub fn waiting_halls(&self) -> HallMask {
        let waiting = self.customers.iter().filter(|state| !state.queue.is_empty());
        waiting.fold(HallMask::EMPTY, |halls, state| halls.union(state.halls))
    }

    /// The number of waiting tickets.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// True when a slot is free that a waiting ticket would use, which no step leaves behind. A ticket that
    /// has chosen to wait for a busy engine decides anew within 20 ms, or once that engine is free.
    pub fn has_idle_slot(&self, now: Moment) -> bool {
        self.recovering_until.is_none() && self.next_grant(now).is_some()
    }
}
