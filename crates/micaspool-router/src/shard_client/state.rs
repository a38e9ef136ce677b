//! Everything that this router holds of one shard, in memory only.
//!
//! A dispatcher that starts empty is rebuilt from this.

use super::lease::LeaseTerms;
use super::ShardClientOptions;
use async_std::channel::Sender;
use micaspool_clock::BootInstant;
use micaspool_dispatch::{
    GrantOutcome, HeldGrant, HeldTotal, RefusalReason, RequestThrottle, RequestTicket, RouterHello,
};
use micaspool_fair::ServiceLevel;
use micaspool_quarantine::{CrashTable, QuarantineOptions};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{
    AdviceRecord, Cost, CustomerName, EndpointName, Moment, OrderNumber, Refusal, RefusalKind, RequestId,
};
use micaspool_wire::convert::{
    advice_message, crash_record, refusal_reason, request_bytes, request_id, settle_message, submit_message,
};
use micaspool_wire::v1::{self, router_message::Body};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Levels that are older than this are not told to a new dispatcher: a customer that was idle for
/// so long starts from the others' level in any case.
const TOTAL_MAX_AGE: Duration = Duration::from_secs(60);
/// The most requests under which endpoints ended that a router remembers, in all and of one customer. A hello of all
/// is some 25 KB.
const CRASH_CAPACITY: (usize, usize) = (256, 64);
/// How many heartbeats are remembered, to anchor leases.
const MAX_HEARTBEATS: usize = 64;

fn crash_options() -> QuarantineOptions {
    let (total, per_customer) = CRASH_CAPACITY;
    QuarantineOptions::builder().capacity(total, per_customer).build()
}

/// What a waiting request gets.
pub(super) type WaitResult = Result<LeaseTerms, Refusal>;

/// A waiting request and whoever waits for it.
#[derive(Debug)]
pub(super) struct WaitingEntry {
    pub ticket: RequestTicket,
    /// The trace that the wait belongs to; empty for none.
    pub traceparent: String,
    pub waiter: Sender<WaitResult>,
}

#[derive(Debug)]
struct KnownTotal {
    level: ServiceLevel,
    order: OrderNumber,
    updated_at: BootInstant,
}

/// The requests, grants and levels of one shard that this router holds.
#[derive(Debug)]
pub(super) struct ShardState {
    waiting: HashMap<RequestId, WaitingEntry>,
    running: HashMap<RequestId, HeldGrant>,
    totals: HashMap<CustomerName, KnownTotal>,
    link: Option<Sender<v1::RouterMessage>>,
    unlinked_since: Option<BootInstant>,
    /// The newest heartbeats and when each was sent.
    heartbeats: VecDeque<(u64, BootInstant)>,
    next_heartbeat: u64,
    last_pulse: BootInstant,
    /// Decides which requests are not taken to the dispatcher.
    throttle: RequestThrottle,
    start: BootInstant,
    /// The requests of this router under which endpoints ended, and what dispatchers told of others'.
    crashes: CrashTable,
    /// Since when the dispatcher has said nothing though a ticket was sent to it.
    unanswered_since: Option<BootInstant>,
}

impl ShardState {
    pub fn new(now: BootInstant) -> ShardState {
        ShardState {
            waiting: HashMap::new(),
            running: HashMap::new(),
            totals: HashMap::new(),
            link: None,
            unlinked_since: Some(now),
            heartbeats: VecDeque::new(),
            next_heartbeat: 1,
            last_pulse: now,
            throttle: RequestThrottle::default(),
            start: now,
            crashes: CrashTable::new(crash_options()),
            unanswered_since: None,
        }
    }

    pub fn is_linked(&self) -> bool {
        self.link.is_some()
    }

    pub fn counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.running.len())
    }

    pub fn unreachable_for(&self) -> Duration {
        self.unlinked_since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Takes a new stream into use; what is sent from here on follows the hello.
    pub fn attach_link(&mut self, link: Sender<v1::RouterMessage>) {
        self.link = Some(link);
        self.last_pulse = BootInstant::now();
        // The hello has the tickets that wait; those without a place in the order get one.
        let is_asking = self.waiting.values().any(|entry| entry.ticket.order.is_none());
        self.unanswered_since = is_asking.then(BootInstant::now);
    }

    /// Notes that the dispatcher has taken the stream.
    pub fn confirm_link(&mut self) {
        self.unlinked_since = None;
        self.last_pulse = BootInstant::now();
    }

    /// Notes that the stream is gone.
    pub fn unlink(&mut self) {
        self.link = None;
        self.unlinked_since.get_or_insert_with(BootInstant::now);
    }

    /// How long the dispatcher has not answered a heartbeat.
    pub fn time_since_pulse(&self) -> Duration {
        self.last_pulse.elapsed()
    }

    /// How long the dispatcher has said nothing at all since a ticket was sent to it, which it answers
    /// at once: that it waits, with a grant, or with a refusal.
    pub fn unanswered_for(&self) -> Duration {
        self.unanswered_since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    pub fn build_hello(&mut self, options: &ShardClientOptions, advice: Vec<AdviceRecord>) -> RouterHello {
        self.totals.retain(|_, total| total.updated_at.elapsed() < TOTAL_MAX_AGE);
        let totals = self.totals.iter().map(|(customer, total)| HeldTotal {
            customer: customer.clone(),
            level: total.level,
            order: total.order,
        });
        let now = self.current_moment();
        self.crashes.expire(now);
        RouterHello {
            crashes: self.crashes.records(now),
            router: options.router.clone(),
            incarnation: options.incarnation,
            waiting: self.waiting.values().map(|entry| entry.ticket.clone()).collect(),
            running: self.running.values().cloned().collect(),
            totals: totals.collect(),
            advice,
            heartbeat: self.allocate_heartbeat(),
        }
    }

    /// Sends a heartbeat.
    pub fn send_heartbeat(&mut self) {
        let number = self.allocate_heartbeat();
        self.send(Body::Heartbeat(v1::Heartbeat { number, ..v1::Heartbeat::default() }));
    }

    /// Says what an endpoint asked of this router. It stands beside a heartbeat without a number, since a dispatcher
    /// that does not know of it would close the stream on a message of its own.
    pub fn report_advice(&mut self, advice: &AdviceRecord) {
        let advice = vec![advice_message(advice)];
        self.send(Body::Heartbeat(v1::Heartbeat { advice, ..v1::Heartbeat::default() }));
    }

    fn allocate_heartbeat(&mut self) -> u64 {
        let number = self.next_heartbeat;
        self.next_heartbeat += 1;
        self.heartbeats.push_back((number, BootInstant::now()));
        if self.heartbeats.len() > MAX_HEARTBEATS {
            self.heartbeats.pop_front();
        }
        number
    }

    /// The trace that a request's wait belongs to.
    pub fn traceparent_of(&self, request: &[u8]) -> String {
        let entry = request_id(request).ok().and_then(|request| self.waiting.get(&request));
        entry.map(|entry| entry.traceparent.clone()).unwrap_or_default()
    }

    /// The time since the start, as the throttle counts it.
    fn current_moment(&self) -> Moment {
        Moment(0) + self.start.elapsed()
    }

    /// Refuses a new request that the dispatcher would most probably refuse.
    pub fn check_throttle(&mut self, customer: &CustomerName) -> Result<(), Refusal> {
        let now = self.current_moment();
        let admitted = self.throttle.admit(now, customer, rand::random());
        admitted.map_err(|wait| Refusal::not_run(RefusalKind::Throttled).after(wait))
    }

    pub fn add_waiting(&mut self, entry: WaitingEntry) {
        let submit = v1::Submit { traceparent: entry.traceparent.clone(), ..submit_message(&entry.ticket) };
        self.waiting.insert(entry.ticket.request, entry);
        self.send(Body::Submit(submit));
        if self.link.is_some() {
            self.unanswered_since.get_or_insert_with(BootInstant::now);
        }
    }

    /// Forgets a waiting request. A grant that comes later is given back.
    pub fn cancel(&mut self, request: RequestId) {
        if self.waiting.remove(&request).is_some() {
            self.send(Body::Cancel(v1::Cancel { request: request_bytes(request) }));
        } else if self.running.remove(&request).is_some() {
            self.send_settle(request, Cost(0), GrantOutcome::Unsent);
        }
    }

    /// Says how much a running request has delivered.
    pub fn progress(&mut self, request: RequestId, delivered: Cost) {
        if let Some(grant) = self.running.get_mut(&request) {
            grant.delivered = delivered;
            self.send(Body::Progress(v1::Progress {
                request: request_bytes(request),
                delivered: delivered.0,
            }));
        }
    }

    /// Ends a grant.
    pub fn settle(&mut self, request: RequestId, cost: Cost, fate: GrantOutcome) {
        if let Some(grant) = self.running.remove(&request) {
            self.record_outcome(&grant, fate);
            self.send_settle(request, cost, fate);
        }
    }

    /// Remembers under which requests endpoints seem to have ended, so that the next dispatcher hears of it.
    fn record_outcome(&mut self, grant: &HeldGrant, fate: GrantOutcome) {
        let Some(digest) = grant.digest else { return };
        let now = self.current_moment();
        match fate {
            GrantOutcome::Severed => {
                self.crashes.note_crash(now, digest, &grant.customer, &grant.endpoint);
            }
            GrantOutcome::Done => {
                self.crashes.clear(now, digest);
            }
            _ => {}
        }
    }

    fn apply_crash_record(&mut self, message: v1::CrashRecord) {
        let now = self.current_moment();
        match crash_record(message) {
            Ok(update) => self.crashes.replace(now, &update),
            Err(error) => record(&events::WIRE_MALFORMED, &[field("error", &error)]),
        }
    }

    fn send_settle(&mut self, request: RequestId, cost: Cost, fate: GrantOutcome) {
        self.send(Body::Settle(settle_message(request, cost, fate)));
    }

    /// Takes a message of the dispatcher; false when the router shall connect anew.
    pub fn handle_message(&mut self, message: v1::DispatcherMessage) -> bool {
        use v1::dispatcher_message::Body as FromDispatcher;
        self.unanswered_since = None;
        match message.body {
            Some(FromDispatcher::Accepted(accepted)) => self.handle_accepted(&accepted),
            Some(FromDispatcher::Grant(grant)) => self.handle_grant(&grant),
            Some(FromDispatcher::Refused(refused)) => self.handle_refused(&refused),
            Some(FromDispatcher::CrashRecord(record)) => self.apply_crash_record(record),
            Some(FromDispatcher::Pulse(_)) => self.last_pulse = BootInstant::now(),
            Some(FromDispatcher::Moved(_)) => return false,
            None => {}
        }
        true
    }

    fn handle_accepted(&mut self, accepted: &v1::Accepted) {
        let entry = request_id(&accepted.request).ok().and_then(|request| self.waiting.get_mut(&request));
        if let Some(entry) = entry {
            entry.ticket.order = Some(OrderNumber(accepted.order));
        }
    }

    fn handle_grant(&mut self, grant: &v1::Grant) {
        let (Ok(request), Ok(endpoint)) = (request_id(&grant.request), EndpointName::parse(&grant.endpoint))
        else {
            return;
        };
        let Some(entry) = self.waiting.remove(&request) else {
            if !self.running.contains_key(&request) {
                self.send_settle(request, Cost(0), GrantOutcome::Unsent);
            }
            return;
        };
        let order = OrderNumber(grant.order);
        let now = self.current_moment();
        self.throttle.note_granted(now, &entry.ticket.customer);
        self.update_total(&entry.ticket.customer, ServiceLevel(grant.level), order);
        let held_grant = HeldGrant {
            request,
            customer: entry.ticket.customer.clone(),
            digest: entry.ticket.digest,
            endpoint: endpoint.clone(),
            estimate: Cost(grant.estimate),
            delivered: Cost(0),
            order,
        };
        self.running.insert(request, held_grant);
        let lease = Duration::from_millis(grant.lease_millis);
        let terms = LeaseTerms {
            endpoint,
            order,
            expires: self.heartbeat_sent_at(grant.heartbeat).map(|at| at + lease),
        };
        if entry.waiter.try_send(Ok(terms)).is_err() {
            self.settle(request, Cost(0), GrantOutcome::Unsent);
        }
    }

    fn update_total(&mut self, customer: &CustomerName, level: ServiceLevel, order: OrderNumber) {
        let known = self.totals.get(customer).is_some_and(|total| total.order > order && total.level > level);
        if !known {
            self.totals.insert(customer.clone(), KnownTotal { level, order, updated_at: BootInstant::now() });
        }
    }

    /// When a heartbeat was sent; a lease runs from then by this router's own clock.
    fn heartbeat_sent_at(&self, number: u64) -> Option<BootInstant> {
        self.heartbeats.iter().find(|(known, _)| *known == number).map(|(_, at)| *at)
    }

    fn handle_refused(&mut self, refused: &v1::Refused) {
        let entry = request_id(&refused.request).ok().and_then(|request| self.waiting.remove(&request));
        let Some(entry) = entry else { return };
        let kind = match refusal_reason(&refused.kind) {
            RefusalReason::CustomerFull => RefusalKind::CustomerBacklogFull,
            RefusalReason::ShardFull => RefusalKind::FleetBacklogFull,
            RefusalReason::RetryBudget => RefusalKind::RetriesExhausted,
            RefusalReason::Overdue => RefusalKind::Overloaded,
            RefusalReason::Quarantined => RefusalKind::Quarantined,
            RefusalReason::CopyRunning => RefusalKind::CopyRunning,
            RefusalReason::EndpointsRest => RefusalKind::EndpointsRest,
            RefusalReason::HallsEvacuated => RefusalKind::HallsEvacuated,
        };
        let wait = Duration::from_millis(refused.retry_after_millis);
        let now = self.current_moment();
        if matches!(kind, RefusalKind::Overloaded | RefusalKind::CustomerBacklogFull) {
            self.throttle.note_refused(now, &entry.ticket.customer, wait);
        }
        let _ = entry.waiter.try_send(Err(Refusal::not_run(kind).after(wait)));
    }

    fn send(&mut self, body: Body) {
        if let Some(link) = &self.link {
            let _ = link.try_send(v1::RouterMessage { body: Some(body) });
        }
    }
}
