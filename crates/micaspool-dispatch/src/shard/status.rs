//! The observable state of a shard, for operators and tests.

use super::counters::CustomerCounters;
use super::endpoints::EndpointIndex;
use super::routers::RouterIndex;
use super::ShardCore;
use crate::intake::IntakeStatus;
use micaspool_engine::{DecodeRate, PrefillRate};
use micaspool_fair::{CustomerIndex, ServiceLevel};
use micaspool_quarantine::{CrashRecord, RequestStanding};
use micaspool_types::{CustomerName, EndpointName, HallMask, Moment, Revision};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// The state of one customer in a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerStatus {
    /// The name of the customer.
    pub name: CustomerName,
    /// The number of waiting requests.
    pub waiting: usize,
    /// The number of running requests.
    pub running: u32,
    /// The number of routers through which its waiting and running requests came.
    pub routers: usize,
    /// The customer's level; the gap between two waiting customers is the difference of their levels.
    pub level: ServiceLevel,
    /// How far the level is below the highest level served in the customer's halls.
    pub behind: ServiceLevel,
    /// Counters of granted and refused tickets.
    pub counters: CustomerCounters,
}

/// The state of one endpoint in a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    /// The name of the endpoint.
    pub name: EndpointName,
    /// Slots held by grants of this shard.
    pub busy: u32,
    /// Slots used by others.
    pub foreign: u32,
    /// The number of slots.
    pub slots: u32,
    /// Why it takes no new work; `None` while it is open.
    pub closure: Option<EndpointClosure>,
    /// True if it can take a request now.
    pub free: bool,
    /// True while its engine has too much queued prefill work for another prompt.
    pub prefill_limited: bool,
    /// Successive failures.
    pub failures: u32,
    /// True while it is cold and its next request is not due.
    pub cold_limited: bool,
    /// How much longer it is treated as cold; zero if it is warm.
    pub cold: Duration,
    /// How many routers it has asked to rest.
    pub resting_routers: usize,
    /// The prefill rate of its engine; `None` for other endpoints.
    pub prefill: Option<PrefillStatus>,
}

/// Why an endpoint takes no new work, regardless of its slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointClosure {
    /// The settings do not contain it or mark it as leaving.
    Settings,
    /// The platform lists it as leaving.
    Listed,
    /// It reported that it is draining, or announced that it is leaving.
    Draining,
    /// An operator has evacuated its data hall.
    Evacuated,
    /// It failed, refused a request or could not be reached, and is paused.
    Paused,
}

impl EndpointClosure {
    /// The name used in logs.
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

/// What a shard has learnt about the prefill rate of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillStatus {
    /// Tokens per millisecond, including the effect of concurrent requests.
    pub tokens_per_milli: f64,
    /// The time from a grant to the first event without prefill.
    pub latency: Duration,
    /// The age of the latest observation; `None` while the rate is assumed.
    pub age: Option<Duration>,
    /// Mean deviation of observations from the rate, relative to the expected time.
    pub spread: f64,
    /// The learnt or assumed time of a decode step without prefill; `None` while unknown.
    pub step: Option<Duration>,
}

/// A request that is suspected or quarantined because endpoints crashed while running it.
#[derive(Clone, Debug, PartialEq)]
pub struct SuspectStatus {
    /// The standing of the request.
    pub standing: RequestStanding,
    /// How much longer it is quarantined; zero if it is not.
    pub remaining: Duration,
    /// The crashes recorded for it.
    pub record: CrashRecord,
}

/// The copies of cached prompt parts between engines since the shard started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CacheCopyStatus {
    /// Grants that named an engine to copy from.
    pub grants: u64,
    /// The tokens that were to be copied.
    pub tokens: u64,
    /// First events that came as late as if nothing had been copied.
    pub missed: u64,
    /// Suspensions of engines as sources after repeated misses.
    pub suspensions: u64,
    /// The learnt duration of copies as a multiple of the one that follows from the settings of the engines.
    pub slowdown: f64,
}

/// The state of a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardStatus {
    /// The revision of the settings in force.
    pub revision: Revision,
    /// True while a new shard collects the state held by routers.
    pub recovering: bool,
    /// The number of routers that have joined.
    pub routers: usize,
    /// The number of waiting tickets.
    pub waiting: usize,
    /// The number of waiting tickets that wait for a busy engine of their choice.
    pub awaiting: usize,
    /// The number of engines that they wait for.
    pub awaited_engines: usize,
    /// The number of running grants.
    pub running: usize,
    /// The number of passes over all waiting tickets.
    pub passes: u64,
    /// Copies of cached prompt parts between engines; `None` if they copy none.
    pub copies: Option<CacheCopyStatus>,
    /// The number of engines that get no prompt because their streams would break their pauses.
    pub pause_limited: usize,
    /// The customers with waiting or running requests, or with any tickets since the shard started.
    pub customers: Vec<CustomerStatus>,
    /// The endpoints.
    pub endpoints: Vec<EndpointStatus>,
    /// The suspected and quarantined requests.
    pub suspects: Vec<SuspectStatus>,
    /// How late the shard is with its inputs, which its driver observes.
    pub intake: IntakeStatus,
}

impl EndpointStatus {
    /// True if it may take new work once it has a slot.
    pub fn is_open(&self) -> bool {
        self.closure.is_none()
    }
}

impl PrefillStatus {
    fn of(now: Moment, rate: &PrefillRate, decode: &DecodeRate) -> PrefillStatus {
        PrefillStatus {
            tokens_per_milli: rate.tokens_per_milli(),
            latency: rate.latency(),
            age: rate.last_observed_at().map(|observed_at| now.since(observed_at)),
            spread: rate.spread(),
            step: decode.per_step().map(|micros| Duration::from_micros(micros as u64)),
        }
    }
}

impl ShardCore {
    /// The state of the shard at a moment.
    pub fn status(&self, now: Moment) -> ShardStatus {
        let routers = self.routers_by_customer();
        let customers = self.customers.indices().filter_map(|customer| {
            self.customer_status(customer, routers.get(&customer).map_or(0, HashSet::len))
        });
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
            prefill_limited: state.prefill_limited,
            failures: state.failures,
            cold_limited: state.availability.cold.limited,
            cold: if state.availability.cold.is_cold(now) {
                state.availability.cold.until().since(now)
            } else {
                Duration::ZERO
            },
            resting_routers: rests.get(&index).copied().unwrap_or_default(),
            prefill: state
                .engine
                .as_ref()
                .map(|engine| PrefillStatus::of(now, engine.rate(), engine.decode())),
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
            passes: self.pass_number,
            copies: self.endpoints.copy_link.status(),
            pause_limited: self.endpoints.iter().filter(|state| state.pause_limited).count(),
            customers: customers.collect(),
            endpoints: endpoints.collect(),
            suspects: self.suspects.suspected(now),
            intake: IntakeStatus::default(),
        }
    }

    /// The state of a customer; `None` if it never had a ticket here.
    fn customer_status(&self, customer: CustomerIndex, routers: usize) -> Option<CustomerStatus> {
        let state = self.customers.get(customer);
        if state.queue.is_empty() && state.running == 0 && state.counters == CustomerCounters::default() {
            return None;
        }
        let level = state.level(self.options.policy.as_ref());
        let served = self.highest_served(state.halls).unwrap_or_default();
        Some(CustomerStatus {
            name: state.name.clone(),
            waiting: state.queue.len(),
            running: state.running,
            routers,
            level,
            behind: ServiceLevel(served.0.saturating_sub(level.0)),
            counters: state.counters,
        })
    }

    /// The routers of the waiting and running requests of each customer.
    fn routers_by_customer(&self) -> HashMap<CustomerIndex, HashSet<RouterIndex>> {
        let mut routers: HashMap<CustomerIndex, HashSet<RouterIndex>> = HashMap::new();
        let waiting = self.waiting.values().map(|ticket| (ticket.customer, ticket.router));
        let running = self.running.values().map(|grant| (grant.customer, grant.router));
        for (customer, router) in waiting.chain(running) {
            routers.entry(customer).or_default().insert(router);
        }
        routers
    }

    /// The halls that the customers with waiting tickets may use.
    pub fn waiting_halls(&self) -> HallMask {
        let waiting = self.customers.iter().filter(|state| !state.queue.is_empty());
        waiting.fold(HallMask::EMPTY, |halls, state| halls.union(state.halls))
    }

    /// The number of waiting tickets.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// True if a free slot and an eligible ticket remain, which no step leaves behind. A ticket that
    /// waits for a busy engine chooses again within 20 ms, or once that engine is free.
    pub fn has_idle_slot(&self, now: Moment) -> bool {
        self.recovering_until.is_none() && self.next_grant(now).is_some()
    }
}
