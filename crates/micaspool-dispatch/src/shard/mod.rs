//! The state machine of one shard.
//!
//! A step has three parts: take the event in, wake what was waiting for time to pass, and give
//! every free slot to the lowest-ranked customer that may use it. After each step no slot is free
//! that a waiting ticket may use.

mod advice;
mod choice;
mod cold;
mod come_back;
mod copies;
mod customers;
mod doors;
mod endpoints;
mod engine;
mod evacuation;
mod evidence;
mod flow;
mod grants;
mod holders;
mod joining;
mod lag;
mod overdue;
mod pace;
mod parts;
mod pauses;
mod prefixes;
mod rate;
mod reading;
mod reports;
mod retries;
mod routers;
mod service_time;
mod sharing;
mod status;
mod suspects;
mod tickets;
mod tolerance;
mod tries;
mod waits;

pub use flow::CustomerFlow;
pub use status::{CustomerStatus, EndpointClosure, EndpointStatus, PaceStatus, ShardStatus, SuspectStatus};

use crate::action::ShardAction;
use crate::event::{GrantFate, SessionId, ShardEvent, ShardPolicy};
use crate::options::ShardOptions;
use copies::CopyCounts;
use customers::CustomerTable;
use endpoints::EndpointTable;
use grants::RunningGrant;
use micaspool_fair::{Rank, RankIndex};
use micaspool_types::{Cost, HallMask, HallName, Moment, OrderNumber, RequestId, Revision};
use pace::GrantPace;
use prefixes::PrefixMemory;
use rate::FadingRate;
use retries::RetryBudgets;
use routers::RouterTable;
use sharing::RemoteTotals;
use std::collections::{BTreeSet, HashMap};
use suspects::SuspectWatch;
use tickets::WaitingTicket;
use tries::FirstTries;
use waits::EngineWaits;

/// One shard: every waiting ticket and every slot of one service in one region.
#[derive(Debug)]
pub struct ShardCore {
    options: ShardOptions,
    revision: Revision,
    idle_credit: Cost,
    halls: Vec<HallName>,
    /// For each hall the highest rank that was served there; idle customers start from it.
    floors: Vec<Rank>,
    customers: CustomerTable,
    endpoints: EndpointTable,
    routers: RouterTable,
    waiting: HashMap<RequestId, WaitingTicket>,
    /// Which of them wait for an engine that is not free.
    waits: EngineWaits,
    /// The waiting tickets that may not wait for ever, by the moment at which they are refused.
    overdue: BTreeSet<(Moment, RequestId)>,
    running: HashMap<RequestId, RunningGrant>,
    index: RankIndex,
    prefixes: PrefixMemory,
    retries: RetryBudgets,
    first_tries: FirstTries,
    remote: RemoteTotals,
    suspects: SuspectWatch,
    copies: CopyCounts,
    pace: GrantPace,
    /// The cost that is delivered to all customers.
    delivered: FadingRate,
    next_order: OrderNumber,
    /// When all tickets are looked at again in any case.
    fill_due: Moment,
    /// True when a ticket has left a queue without a grant, so that one behind it may be looked at.
    moved_up: bool,
    /// Before this moment they are not, whatever may have changed for them.
    next_round: Moment,
    /// Counts the times that all tickets were looked at, whatever they had chosen before.
    choice_round: u64,
    /// Until when a new shard collects what routers hold; `None` once it grants.
    recovering_until: Option<Moment>,
}

impl ShardCore {
    /// A shard that knows nothing yet and grants nothing before its recovery window has passed.
    pub fn new(now: Moment, options: ShardOptions) -> ShardCore {
        ShardCore {
            revision: Revision(0),
            idle_credit: Cost(0),
            halls: Vec::new(),
            floors: Vec::new(),
            customers: CustomerTable::new(options.cost_ceiling),
            endpoints: EndpointTable::new(options.tolerated_breaks, options.first_share),
            routers: RouterTable::default(),
            waiting: HashMap::new(),
            waits: EngineWaits::default(),
            overdue: BTreeSet::new(),
            running: HashMap::new(),
            index: RankIndex::default(),
            prefixes: PrefixMemory::new(options.prefix_capacity),
            retries: RetryBudgets::default(),
            first_tries: FirstTries::default(),
            remote: RemoteTotals::default(),
            suspects: SuspectWatch::new(options.quarantine),
            copies: CopyCounts::default(),
            pace: GrantPace::new(now),
            delivered: FadingRate::default(),
            next_order: OrderNumber(1),
            fill_due: now,
            moved_up: false,
            next_round: now,
            choice_round: 0,
            recovering_until: Some(now + options.recovery_window),
            options,
        }
    }

    /// Takes one event in and adds what follows from it to `actions`.
    pub fn step(&mut self, now: Moment, event: ShardEvent, actions: &mut Vec<ShardAction>) {
        if let Some(session) = session_of(&event) {
            if !self.routers.hear(session, now) {
                actions.push(ShardAction::Rejoin { session });
                return;
            }
        }
        if self.routers.end_rests(now) || changes_eligibility(&event) {
            self.fill_due = self.fill_due.min(now.max(self.next_round));
        }
        self.take(now, event, actions);
        self.end_recovery(now);
        self.endpoints.wake(now);
        self.fill_if_due(now, actions);
        self.refuse_overdue(now, actions);
        self.fill_if_due(now, actions);
    }

    /// When something will be due without any event.
    pub fn next_wake(&self) -> Option<Moment> {
        let overdue = self.overdue.first().map(|(at, _)| *at);
        [overdue, self.endpoints.next_wake(), self.routers.next_rest_end()].into_iter().flatten().min()
    }

    fn take(&mut self, now: Moment, event: ShardEvent, actions: &mut Vec<ShardAction>) {
        match event {
            ShardEvent::Policy(policy) => self.adopt(now, policy, actions),
            ShardEvent::Joined(session, hello) => self.join(now, session, hello, actions),
            ShardEvent::Left(session) => self.routers.detach(session),
            ShardEvent::Goodbye(session) => self.dismiss(now, session),
            ShardEvent::Submit(session, ticket) => self.submit(now, session, ticket, actions),
            ShardEvent::Cancel(session, request) => self.cancel(now, session, request),
            ShardEvent::Progress(session, request, delivered) => {
                self.progress(now, session, request, delivered, actions)
            }
            ShardEvent::Settle(session, request, cost, fate) => {
                self.settle(now, session, request, cost, fate, actions)
            }
            ShardEvent::Heartbeat(session, number) => {
                self.routers.beat(session, number);
                actions.push(ShardAction::Pulse { session, heartbeat: number });
            }
            ShardEvent::Advised(session, advice) => self.heed(now, session, &advice, actions),
            ShardEvent::Load(report) => {
                self.endpoints.report(now, &report);
                self.hear_report(now, &report, actions);
            }
            ShardEvent::Unreachable(endpoint) => self.endpoints.fail_probe(now, &endpoint),
            ShardEvent::Listed(leaving) => self.endpoints.list_leaving(&leaving),
            ShardEvent::Cache(news) => self.learn_cache(&news),
            ShardEvent::Shared(totals) => self.take_shared(&totals),
            ShardEvent::Tick => {
                self.expire(now);
                self.expire_suspects(now, actions);
            }
            ShardEvent::Lift(digest) => self.lift_suspicion(now, digest, actions),
            ShardEvent::Wake => {}
            ShardEvent::Stop => self.ask_all_to_rejoin(actions),
        }
    }

    /// Puts newer settings in force; older ones are ignored.
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
        self.refuse_evacuated(now, actions);
    }

    fn remap_floors(&mut self, halls: &[HallName]) {
        let highest = self.floors.iter().copied().max().unwrap_or_default();
        let floor_of = |name: &HallName| match self.halls.iter().position(|hall| hall == name) {
            Some(position) => self.floors[position],
            None => highest,
        };
        self.floors = halls.iter().map(floor_of).collect();
    }

    /// Frees what belongs to routers that were silent for longer than the lease.
    fn expire(&mut self, now: Moment) {
        for router in self.routers.expired(now, self.options.lease) {
            for request in self.routers.forget(router) {
                self.drop_waiting(request);
                self.end_grant(now, request, None, GrantFate::Abandoned);
            }
        }
        self.endpoints.forget_old_reports(now);
        self.pace.pass(now);
    }

    fn end_recovery(&mut self, now: Moment) {
        let Some(until) = self.recovering_until else { return };
        let all_joined = !self.options.expected_routers.is_empty()
            && self.routers.all_joined(&self.options.expected_routers);
        if now >= until || all_joined {
            self.recovering_until = None;
            self.fill_due = now;
            self.narrow_levels();
        }
    }

    fn dismiss(&mut self, now: Moment, session: SessionId) {
        if let Some(router) = self.routers.by_session(session) {
            for request in self.routers.forget(router) {
                self.drop_waiting(request);
                self.end_grant(now, request, None, GrantFate::Abandoned);
            }
        }
    }

    fn ask_all_to_rejoin(&mut self, actions: &mut Vec<ShardAction>) {
        actions.extend(self.routers.sessions().map(|session| ShardAction::Rejoin { session }));
    }

    /// The lowest level at which a customer that comes back from idle time may start.
    fn floor_for(&self, halls: HallMask) -> Option<Rank> {
        if let Some(rank) = self.index.lowest_rank(halls) {
            return Some(rank);
        }
        halls.indices().filter_map(|hall| self.floors.get(hall)).copied().min()
    }
}

/// True for events after which tickets may run that could not before, though no endpoint has become
/// free.
fn changes_eligibility(event: &ShardEvent) -> bool {
    matches!(event, ShardEvent::Policy(_) | ShardEvent::Joined(..) | ShardEvent::Cache(_))
}

/// The stream that an event came from, when it must be a known one.
fn session_of(event: &ShardEvent) -> Option<SessionId> {
    match event {
        ShardEvent::Goodbye(session)
        | ShardEvent::Submit(session, _)
        | ShardEvent::Cancel(session, _)
        | ShardEvent::Progress(session, _, _)
        | ShardEvent::Settle(session, _, _, _)
        | ShardEvent::Heartbeat(session, _)
        | ShardEvent::Advised(session, _) => Some(*session),
        _ => None,
    }
}
