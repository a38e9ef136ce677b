//! Drives a [`ShardCore`] directly with constructed routers, endpoints and customers.

use micaspool_dispatch::{
    ColdStartLimits, EndpointSpec, EngineTraits, GenerationOutline, GrantOutcome, HeldGrant, HeldLevel,
    IdleEngine, LoadReport, RefusalReason, RequestTicket, RouterHello, SessionId, ShardAction, ShardCore,
    ShardCustomer, ShardEvent, ShardOptions, ShardPolicy,
};
use micaspool_fair::ServiceLevel;
use micaspool_types::{
    Cost, CustomerName, EndpointName, HallLimit, HallMask, HallName, Incarnation, InstanceName, Moment,
    OrderNumber, RequestId, Revision, SoftwareVersion, VersionLimit, Weight,
};
use std::collections::HashMap;
use std::time::Duration;

pub const ALL_HALLS: u32 = 0b111;

pub fn customer(name: &str) -> CustomerName {
    CustomerName::parse(name).expect("valid name")
}

pub fn endpoint(number: usize) -> EndpointName {
    EndpointName::parse(&format!("e{number}")).expect("valid name")
}

pub fn request_id(number: u128) -> RequestId {
    RequestId(number)
}

pub fn ticket(number: u128, name: &str, hint: u64) -> RequestTicket {
    RequestTicket {
        request: request_id(number),
        customer: customer(name),
        digest: None,
        hint: Cost(hint),
        priority: 5,
        attempt: 0,
        avoid: None,
        prefixes: Vec::new(),
        prefix_tokens: Vec::new(),
        prompt_tokens: Cost(0),
        objective: None,
        patience: None,
        order: None,
        halls: HallLimit::Anywhere,
        versions: VersionLimit::Any,
        generation: GenerationOutline::default(),
    }
}

pub fn ordered_ticket(number: u128, name: &str, order: u64) -> RequestTicket {
    RequestTicket { order: Some(OrderNumber(order)), ..ticket(number, name, 10) }
}

pub fn hello(router: &str, incarnation: u64) -> RouterHello {
    RouterHello {
        router: InstanceName::parse(router).expect("valid name"),
        incarnation: Incarnation(incarnation),
        waiting: Vec::new(),
        running: Vec::new(),
        levels: Vec::new(),
        crashes: Vec::new(),
        streams: Vec::new(),
        advice: Vec::new(),
        heartbeat: 1,
    }
}

pub fn held_grant(number: u128, name: &str, endpoint_number: usize, order: u64) -> HeldGrant {
    HeldGrant {
        request: request_id(number),
        customer: customer(name),
        digest: None,
        endpoint: endpoint(endpoint_number),
        estimate: Cost(10),
        delivered: Cost(0),
        order: OrderNumber(order),
    }
}

pub fn held_level(name: &str, level: u64, order: u64) -> HeldLevel {
    HeldLevel { customer: customer(name), level: ServiceLevel(level), order: OrderNumber(order) }
}

/// The fields of a [`ShardAction::Grant`] that tests compare.
#[derive(Debug, Clone, PartialEq)]
pub struct ObservedGrant {
    pub session: SessionId,
    pub request: RequestId,
    pub endpoint: EndpointName,
    pub order: OrderNumber,
}

/// A shard core, the actions that it has returned and the current time that is passed to it.
#[derive(Debug)]
pub struct ShardHarness {
    pub now: Moment,
    pub core: ShardCore,
    pub actions: Vec<ShardAction>,
    pub policy: ShardPolicy,
    /// The tickets that were refused or left waiting beside an engine that could have begun them in time.
    pub idle_engines: Vec<IdleMoment>,
    /// The tickets submitted so far.
    submitted: HashMap<RequestId, (SessionId, RequestTicket)>,
}

/// A ticket beside an engine that could have begun it in time.
#[derive(Debug, Clone, PartialEq)]
pub struct IdleMoment {
    pub at: Moment,
    /// How long the ticket had waited when it was refused; `None` if it is left waiting.
    pub refused_after: Option<Duration>,
    pub found: IdleEngine,
}

impl ShardHarness {
    /// Creates a shard past its recovery window, with endpoints `e0`, `e1`, ... in halls 0, 1, 2, 0, ...,
    /// and customers that may use every hall.
    pub fn new(endpoints: usize, slots: u32, customers: &[&str]) -> ShardHarness {
        let mut harness = ShardHarness::recovering(endpoints, slots, customers, ShardOptions::default());
        harness.advance(1_000);
        harness
    }

    /// Creates a shard that has just started and is within its recovery window.
    pub fn recovering(
        endpoints: usize,
        slots: u32,
        customers: &[&str],
        options: ShardOptions,
    ) -> ShardHarness {
        let now = Moment::from_millis(1_000);
        let specs = (0..endpoints).map(|number| EndpointSpec {
            name: endpoint(number),
            hall: number % 3,
            slots,
            version: SoftwareVersion::default(),
            leaving: false,
            evacuated: false,
            cold: Duration::ZERO,
            memory_tokens: 0,
        });
        let named = customers.iter().map(|name| ShardCustomer {
            name: customer(name),
            weight: Weight::ONE,
            halls: HallMask(ALL_HALLS),
            max_waiting: 1_000,
        });
        let policy = ShardPolicy {
            revision: Revision(1),
            idle_credit: Cost(0),
            planned_pace: 0.0,
            cold: ColdStartLimits::default(),
            engine: EngineTraits::default(),
            halls: (0..3).map(|number| HallName::parse(&format!("h{number}")).expect("valid name")).collect(),
            endpoints: specs.collect(),
            customers: named.collect(),
        };
        let core = ShardCore::new(now, options);
        let mut harness = ShardHarness {
            now,
            core,
            actions: Vec::new(),
            policy: policy.clone(),
            idle_engines: Vec::new(),
            submitted: HashMap::new(),
        };
        harness.step(ShardEvent::Policy(policy));
        harness
    }

    /// Feeds one event to the core and asserts that no eligible ticket waits beside a free slot. Notes
    /// the tickets that break the property of `idle_engines`.
    pub fn step(&mut self, event: ShardEvent) {
        if let ShardEvent::Submit(session, ticket) = &event {
            self.submitted.insert(ticket.request, (*session, ticket.clone()));
        }
        let known = self.actions.len();
        self.core.step(self.now, event, &mut self.actions);
        assert!(!self.core.has_idle_slot(self.now), "an eligible ticket waits beside a free slot");
        self.note_idle_engines(known);
    }

    /// Notes the tickets refused or left waiting beside an engine that could have begun them in time. The
    /// actions from `known` on are those of the current step.
    fn note_idle_engines(&mut self, known: usize) {
        let refused = self.actions[known..].iter().filter_map(|action| match action {
            ShardAction::Refuse { request, reason: RefusalReason::Overdue, objective, waited, .. } => {
                let (session, ticket) = self.submitted.get(request)?;
                let remaining = objective.map(|objective| objective.saturating_sub(*waited));
                let found = self.core.idle_engine_of_refused(self.now, *session, ticket, remaining)?;
                Some(IdleMoment { at: self.now, refused_after: Some(*waited), found })
            }
            _ => None,
        });
        let waiting = self.core.idle_engine(self.now);
        let waiting = waiting.map(|found| IdleMoment { at: self.now, refused_after: None, found });
        let noted: Vec<IdleMoment> = refused.chain(waiting).collect();
        self.idle_engines.extend(noted);
    }

    /// Asserts that no ticket was refused or left waiting beside an engine that could have begun it in time.
    pub fn assert_no_idle_engine(&self) {
        let refused = self.idle_engines.iter().filter(|moment| moment.refused_after.is_some()).count();
        let waiting = self.idle_engines.len() - refused;
        let first = self.idle_engines.first();
        assert!(
            first.is_none(),
            "{refused} refused and {waiting} left waiting beside a free engine, first {first:?}"
        );
    }

    /// Changes the policy and applies it as a new revision.
    pub fn update_policy(&mut self, change: impl FnOnce(&mut ShardPolicy)) {
        change(&mut self.policy);
        self.policy.revision = Revision(self.policy.revision.0 + 1);
        self.step(ShardEvent::Policy(self.policy.clone()));
    }

    pub fn join(&mut self, session: u64, hello: RouterHello) {
        self.step(ShardEvent::Joined(SessionId(session), hello));
    }

    pub fn submit(&mut self, session: u64, ticket: RequestTicket) {
        self.step(ShardEvent::Submit(SessionId(session), ticket));
    }

    pub fn settle(&mut self, session: u64, request: u128, cost: u64, outcome: GrantOutcome) {
        self.step(ShardEvent::Settle(SessionId(session), request_id(request), Cost(cost), outcome));
    }

    pub fn report_load(&mut self, endpoint_number: usize, running: u32, draining: bool) {
        let report = LoadReport {
            endpoint: endpoint(endpoint_number),
            running,
            waiting: 0,
            draining,
            requested_at: self.now,
        };
        self.step(ShardEvent::Load(report));
    }

    /// Advances time in ticks of 50 ms, with a heartbeat from each session in `alive` at every tick.
    pub fn advance_with_heartbeats(&mut self, millis: u64, alive: &[u64]) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = (self.now + Duration::from_millis(50)).min(end);
            for session in alive {
                self.step(ShardEvent::Heartbeat(SessionId(*session), 1));
            }
            self.step(ShardEvent::Tick);
        }
    }

    /// Advances time in ticks of 50 ms without heartbeats.
    pub fn advance(&mut self, millis: u64) {
        self.advance_with_heartbeats(millis, &[]);
    }

    /// Returns the grants since the last call and clears all recorded actions.
    pub fn take_grants(&mut self) -> Vec<ObservedGrant> {
        let grants = self.actions.iter().filter_map(|action| match action {
            ShardAction::Grant { session, request, endpoint, order, .. } => Some(ObservedGrant {
                session: *session,
                request: *request,
                endpoint: endpoint.clone(),
                order: *order,
            }),
            _ => None,
        });
        let grants = grants.collect();
        self.actions.clear();
        grants
    }

    /// Returns the refusals since the actions were last cleared.
    pub fn refusals(&self) -> Vec<(u128, RefusalReason)> {
        let refused = self.actions.iter().filter_map(|action| match action {
            ShardAction::Refuse { request, reason, .. } => Some((request.0, *reason)),
            _ => None,
        });
        refused.collect()
    }

    /// Returns the requests granted since the last call and clears all recorded actions.
    pub fn take_granted_requests(&mut self) -> Vec<u128> {
        self.take_grants().iter().map(|grant| grant.request.0).collect()
    }

    /// Counts the requests to rejoin since the actions were last cleared.
    pub fn rejoin_count(&self) -> usize {
        self.actions.iter().filter(|action| matches!(action, ShardAction::Rejoin { .. })).count()
    }
}
