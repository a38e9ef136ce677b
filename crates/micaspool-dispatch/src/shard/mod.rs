//! The state machine of one shard.
//!
//! A step applies an event, handles what has become due, and assigns every free slot to the
//! lowest-ranked customer that may use it. After each step no slot is free that a waiting ticket may
//! use.

mod advice;
mod arrivals;
mod availability;
mod cache_sources;
mod caller_attempts;
mod choice;
mod cold;
mod copies;
mod copy_link;
mod counters;
mod customers;
mod endpoints;
mod engine;
mod engine_queues;
mod evidence;
mod fatal_parts;
mod grant_throughput;
mod grants;
mod holders;
mod idle_engines;
mod joining;
mod kind_queues;
mod level_floor;
mod overdue;
mod part_requests;
mod parts;
mod pauses;
mod placement;
mod prefixes;
mod rate;
mod reports;
mod retries;
mod retry_after;
mod router_clock;
mod routers;
mod scarcity;
mod service_model;
mod service_time;
mod sharing;
mod status;
mod stream_pauses;
mod streams;
mod suspects;
mod tickets;
mod tolerance;
mod totals;

pub use counters::CustomerCounters;
pub use idle_engines::IdleEngine;
pub use status::{
    CacheCopyStatus, CustomerStatus, EndpointClosure, EndpointStatus, PrefillStatus, ShardStatus,
    SuspectStatus,
};

use crate::action::ShardAction;
use crate::event::{GrantOutcome, SessionId, ShardEvent, ShardPolicy};
use crate::options::ShardOptions;
use crate::stream_origins::StreamOrigins;
use caller_attempts::FirstAttempts;
use copies::CopyCounts;
use customers::CustomerTable;
use endpoints::EndpointTable;
use engine_queues::EngineQueues;
use foldhash::HashMap;
use grant_throughput::GrantThroughput;
use grants::RunningGrant;
use micaspool_fair::{Rank, RankIndex};
use micaspool_types::{Cost, HallMask, HallName, Moment, OrderNumber, RequestId, Revision};
use part_requests::PartRequests;
use prefixes::PrefixIndex;
use rate::DecayingRate;
use retries::RetryBudgets;
use routers::RouterTable;
use sharing::RemoteTotals;
use std::collections::BTreeSet;
use suspects::SuspectTracker;
use tickets::WaitingTicket;

/// One shard: all waiting tickets and all slots of one service in one region.
#[derive(Debug)]
pub struct ShardCore {
    options: ShardOptions,
    revision: Revision,
    idle_credit: Cost,
    halls: Vec<HallName>,
    /// The highest rank served in each hall; customers that were idle start relative to it.
    floors: Vec<Rank>,
    customers: CustomerTable,
    endpoints: EndpointTable,
    routers: RouterTable,
    waiting: HashMap<RequestId, WaitingTicket>,
    /// The waiting tickets that chose a busy engine, by engine.
    engine_queues: EngineQueues,
    /// The waiting tickets with a limited wait, by the moment at which they are refused.
    overdue: BTreeSet<(Moment, RequestId)>,
    running: HashMap<RequestId, RunningGrant>,
    index: RankIndex,
    prefixes: PrefixIndex,
    retries: RetryBudgets,
    first_attempts: FirstAttempts,
    remote: RemoteTotals,
    suspects: SuspectTracker,
    copies: CopyCounts,
    part_requests: PartRequests,
    /// Which software versions began the streams that callers may take up.
    origins: StreamOrigins,
    throughput: GrantThroughput,
    /// The rate of cost delivered to all customers.
    delivered: DecayingRate,
    next_order: OrderNumber,
    /// When the next pass over all tickets is due.
    next_pass_due: Moment,
    /// True if a ticket has left a queue without a grant, which may make a later one a candidate.
    queue_advanced: bool,
    /// An event that makes tickets eligible triggers a pass no earlier than this.
    earliest_pass: Moment,
    /// The number of passes over all tickets so far.
    pass_number: u64,
    /// Until when a new shard collects the state held by routers; `None` once it grants.
    recovering_until: Option<Moment>,
}

impl ShardCore {
    /// Creates an empty shard, which grants nothing until its recovery window ends.
    pub fn new(now: Moment, options: ShardOptions) -> ShardCore {
        ShardCore {
            revision: Revision(0),
            idle_credit: Cost(0),
            halls: Vec::new(),
            floors: Vec::new(),
            customers: CustomerTable::new(options.cost_ceiling),
            endpoints: EndpointTable::new(options.tolerated_breaks, options.initial_share),
            routers: RouterTable::default(),
            waiting: HashMap::default(),
            engine_queues: EngineQueues::default(),
            overdue: BTreeSet::new(),
            running: HashMap::default(),
            index: RankIndex::default(),
            prefixes: PrefixIndex::new(options.prefix_capacity),
            retries: RetryBudgets::default(),
            first_attempts: FirstAttempts::default(),
            remote: RemoteTotals::default(),
            suspects: SuspectTracker::new(options.quarantine),
            copies: CopyCounts::default(),
            part_requests: PartRequests::default(),
            origins: StreamOrigins::default(),
            throughput: GrantThroughput::new(now),
            delivered: DecayingRate::default(),
            next_order: OrderNumber(1),
            next_pass_due: now,
            queue_advanced: false,
            earliest_pass: now,
            pass_number: 0,
            recovering_until: Some(now + options.recovery_window),
            options,
        }
    }

    /// Applies one event and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Moment, event: ShardEvent, actions: &mut Vec<ShardAction>) {
        if let Some(session) = source_session(&event) {
            if !self.routers.note_contact(session, now) {
                actions.push(ShardAction::Rejoin { session });
                return;
            }
        }
        if self.routers.end_rests(now) || changes_eligibility(&event) {
            self.next_pass_due = self.next_pass_due.min(now.max(self.earliest_pass));
        }
        self.apply(now, event, actions);
        self.end_recovery(now, actions);
        self.endpoints.wake(now);
        self.grant_if_due(now, actions);
        self.refuse_overdue(now, actions);
        self.grant_if_due(now, actions);
    }

    /// When the next step is needed without an event; `None` if nothing is scheduled.
    pub fn next_wake(&self) -> Option<Moment> {
        let overdue = self.overdue.first().map(|(at, _)| *at);
        [overdue, self.endpoints.next_wake(), self.routers.next_rest_end()].into_iter().flatten().min()
    }

    fn apply(&mut self, now: Moment, event: ShardEvent, actions: &mut Vec<ShardAction>) {
        match event {
            ShardEvent::Policy(policy) => self.adopt(now, policy, actions),
            ShardEvent::Joined(session, hello) => self.join(now, session, hello, actions),
            ShardEvent::Left(session) => self.routers.detach(session),
            ShardEvent::Goodbye(session) => self.remove_router(now, session),
            ShardEvent::Submit(session, ticket) => self.submit(now, session, ticket, actions),
            ShardEvent::Cancel(session, request) => self.cancel(now, session, request),
            ShardEvent::Progress(session, request, delivered) => {
                self.progress(now, session, request, delivered, None, actions)
            }
            ShardEvent::Began(session, request, delivered, start) => {
                start.origin.iter().for_each(|origin| self.origins.record(now, origin));
                let timing = start.first_event.and_then(|first| self.run_timing(now, session, first));
                self.progress(now, session, request, delivered, timing, actions)
            }
            ShardEvent::Settle(session, request, cost, outcome) => {
                self.settle(now, session, request, cost, outcome, actions)
            }
            ShardEvent::Heartbeat(session, number) => {
                self.routers.note_heartbeat(session, number);
                actions.push(ShardAction::Pulse { session, heartbeat: number });
            }
            ShardEvent::Advised(session, advice) => self.apply_advice(now, session, &advice, actions),
            ShardEvent::Load(report) => {
                self.endpoints.report(now, &report);
                self.note_load_response(now, &report, actions);
            }
            ShardEvent::Unreachable(endpoint) => self.endpoints.fail_probe(now, &endpoint),
            ShardEvent::Listed(leaving) => self.endpoints.set_listed(&leaving),
            ShardEvent::Cache(update) => self.apply_cache_update(&update),
            ShardEvent::Shared(totals) => self.apply_region_totals(&totals),
            ShardEvent::Tick => {
                self.expire(now);
                self.expire_suspects(now, actions);
            }
            ShardEvent::Lift(digest) => self.lift_suspicion(now, digest, actions),
            ShardEvent::Wake => {}
            ShardEvent::Stop => self.ask_all_to_rejoin(actions),
        }
    }

    /// Applies settings unless they are older than those in force.
    fn adopt(&mut self, now: Moment, policy: ShardPolicy, actions: &mut Vec<ShardAction>) {
        if policy.revision < self.revision {
            return;
        }
        self.revision = policy.revision;
        self.idle_credit = policy.idle_credit;
        self.remap_floors(&policy.halls);
        self.endpoints.adopt(now, &policy);
        self.halls = policy.halls;
        let present = self.endpoints.halls_present();
        for customer in self.customers.indices() {
            self.unindex(customer);
        }
        self.customers.adopt(&policy.customers, present, self.options.policy.as_ref());
        for customer in self.customers.indices() {
            self.reindex(customer);
        }
        self.refuse_unplaceable(now, actions);
    }

    fn remap_floors(&mut self, halls: &[HallName]) {
        let highest = self.floors.iter().copied().max().unwrap_or_default();
        let floor_of = |name: &HallName| match self.halls.iter().position(|hall| hall == name) {
            Some(position) => self.floors[position],
            None => highest,
        };
        self.floors = halls.iter().map(floor_of).collect();
    }

    /// Drops the tickets and grants of routers that were silent for longer than the lease.
    fn expire(&mut self, now: Moment) {
        for router in self.routers.expired(now, self.options.lease) {
            for request in self.routers.forget(router) {
                self.drop_waiting(request);
                self.end_grant(now, request, None, GrantOutcome::Abandoned);
            }
        }
        self.origins.expire(now);
        self.endpoints.expire_reports(now);
        self.endpoints.forget_warm(now);
        self.endpoints.copy_link.fade(now);
        self.throughput.advance(now);
        self.update_scarcity(now);
    }

    fn end_recovery(&mut self, now: Moment, actions: &mut Vec<ShardAction>) {
        let Some(until) = self.recovering_until else { return };
        let all_joined = !self.options.expected_routers.is_empty()
            && self.routers.all_joined(&self.options.expected_routers);
        if now >= until || all_joined {
            self.recovering_until = None;
            self.next_pass_due = now;
            self.cap_recovered_levels();
            self.resolve_waiting(now, actions);
        }
    }

    fn remove_router(&mut self, now: Moment, session: SessionId) {
        if let Some(router) = self.routers.by_session(session) {
            for request in self.routers.forget(router) {
                self.drop_waiting(request);
                self.end_grant(now, request, None, GrantOutcome::Abandoned);
            }
        }
    }

    fn ask_all_to_rejoin(&mut self, actions: &mut Vec<ShardAction>) {
        actions.extend(self.routers.sessions().map(|session| ShardAction::Rejoin { session }));
    }

    /// The lowest rank at which a customer that was idle may start.
    fn floor_for(&self, halls: HallMask) -> Option<Rank> {
        if let Some(rank) = self.index.lowest_rank(halls) {
            return Some(rank);
        }
        halls.indices().filter_map(|hall| self.floors.get(hall)).copied().min()
    }
}

/// True for events that may make tickets eligible without an endpoint becoming free.
fn changes_eligibility(event: &ShardEvent) -> bool {
    matches!(event, ShardEvent::Policy(_) | ShardEvent::Joined(..) | ShardEvent::Cache(_))
}

/// The session of an event that is only accepted from a known session; `None` for other events.
fn source_session(event: &ShardEvent) -> Option<SessionId> {
    match event {
        ShardEvent::Goodbye(session)
        | ShardEvent::Submit(session, _)
        | ShardEvent::Cancel(session, _)
        | ShardEvent::Progress(session, _, _)
        | ShardEvent::Began(session, _, _, _)
        | ShardEvent::Settle(session, _, _, _)
        | ShardEvent::Heartbeat(session, _)
        | ShardEvent::Advised(session, _) => Some(*session),
        _ => None,
    }
}
