//! The in-memory state of this router for one shard.
//!
//! A dispatcher that starts without state is rebuilt from it.

use super::lease::LeaseTerms;
use super::unanswered::UnansweredTickets;
use super::ShardClientOptions;
use async_std::channel::Sender;
use micaspool_clock::BootInstant;
use micaspool_dispatch::{
    GrantOutcome, HeldGrant, HeldLevel, QueueFill, RefusalReason, RequestThrottle, RequestTicket,
    RouterHello, RunStart, SessionWatch, StreamOrigins, WatchOptions, WatchStep,
};
use micaspool_fair::ServiceLevel;
use micaspool_quarantine::{CrashTable, QuarantineOptions};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{
    AdviceRecord, Cost, CustomerName, EndpointName, Moment, OrderNumber, Refusal, RefusalKind, RequestId,
    SoftwareVersion,
};
use micaspool_wire::convert::{
    advice_message, crash_record, first_event_message, origin_message, refusal_reason, request_bytes,
    request_id, settle_message, submit_message,
};
use micaspool_wire::v1::{self, router_message::Body};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The maximum age of the service levels in a hello. A customer that was idle for longer starts from the level of the
/// others in any case.
const LEVEL_MAX_AGE: Duration = Duration::from_secs(60);
/// The maximum number of remembered requests during which endpoints crashed, in total and per customer. A hello with
/// all of them is about 25 KB.
const CRASH_CAPACITY: (usize, usize) = (256, 64);
/// How many sent heartbeats are remembered. A lease starts when the heartbeat that its grant names was sent.
const MAX_HEARTBEATS: usize = 64;

fn crash_options() -> QuarantineOptions {
    let (total, per_customer) = CRASH_CAPACITY;
    QuarantineOptions::builder().capacity(total, per_customer).build()
}

/// The outcome of waiting for a grant.
pub(super) type WaitResult = Result<LeaseTerms, Refusal>;

/// A waiting request and the channel to its waiter.
#[derive(Debug)]
pub(super) struct WaitingEntry {
    pub ticket: RequestTicket,
    /// The trace context of the wait; empty if there is none.
    pub traceparent: String,
    pub waiter: Sender<WaitResult>,
    /// When the request was submitted.
    pub submitted_at: Moment,
}

/// How long a dispatcher keeps its router without messages, and without answers.
#[derive(Debug, Clone, Copy)]
pub(super) struct DispatcherDelays {
    pub silence: Duration,
    pub answer: Duration,
}

/// The last known service level of a customer.
#[derive(Debug)]
struct KnownLevel {
    level: ServiceLevel,
    order: OrderNumber,
    updated_at: BootInstant,
}

/// The requests, grants and service levels of one shard that this router holds.
#[derive(Debug)]
pub(super) struct ShardState {
    waiting: HashMap<RequestId, WaitingEntry>,
    running: HashMap<RequestId, HeldGrant>,
    levels: HashMap<CustomerName, KnownLevel>,
    link: Option<Sender<v1::RouterMessage>>,
    unlinked_since: Option<BootInstant>,
    /// The numbers of the newest heartbeats and the times at which they were sent.
    heartbeats: VecDeque<(u64, BootInstant)>,
    next_heartbeat: u64,
    /// Tells whether the dispatcher of the current stream is lost.
    watch: SessionWatch,
    unanswered: UnansweredTickets,
    /// Decides which requests are refused without asking the dispatcher.
    throttle: RequestThrottle,
    start: BootInstant,
    /// The requests during which endpoints crashed: those seen by this router, and those reported by dispatchers.
    crashes: CrashTable,
    /// The streams that this router has begun to pass on.
    streams: StreamOrigins,
}

impl ShardState {
    pub fn new(now: BootInstant) -> ShardState {
        ShardState {
            waiting: HashMap::new(),
            running: HashMap::new(),
            levels: HashMap::new(),
            link: None,
            unlinked_since: Some(now),
            heartbeats: VecDeque::new(),
            next_heartbeat: 1,
            watch: SessionWatch::new(Moment(0), WatchOptions::default()),
            unanswered: UnansweredTickets::default(),
            throttle: RequestThrottle::default(),
            start: now,
            crashes: CrashTable::new(crash_options()),
            streams: StreamOrigins::default(),
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

    /// Starts using a new stream. Messages sent from now on follow the hello.
    pub fn attach_link(&mut self, link: Sender<v1::RouterMessage>) {
        self.link = Some(link);
        let now = self.current_moment();
        // The hello contains the waiting tickets, and the dispatcher answers those without an order number.
        let waiting = self.waiting.iter().filter(|(_, entry)| entry.ticket.order.is_none());
        let sent = waiting.map(|(request, entry)| (*request, entry.ticket.customer.clone()));
        self.unanswered.replace(now, sent);
        self.watch = SessionWatch::new(now, WatchOptions::default());
        self.watch.note_message(now, !self.unanswered.is_empty());
    }

    /// Records that the dispatcher has accepted the stream.
    pub fn confirm_link(&mut self) {
        self.unlinked_since = None;
        let now = self.current_moment();
        self.watch.note_message(now, !self.unanswered.is_empty());
    }

    /// Records that the stream has ended.
    pub fn unlink(&mut self) {
        self.link = None;
        self.unlinked_since.get_or_insert_with(BootInstant::now);
    }

    /// Returns what to do next about the dispatcher of the current stream.
    pub fn next_watch_step(&self) -> WatchStep {
        self.watch.next(self.current_moment())
    }

    /// Returns when the watch is due, as an offset from now.
    pub fn time_until_watch(&self) -> Duration {
        match self.next_watch_step() {
            WatchStep::Wait(until) => until.since(self.current_moment()),
            _ => Duration::ZERO,
        }
    }

    /// Records that the router looked at the stream this much later than it meant to.
    pub fn note_own_delay(&mut self, delay: Duration) {
        self.watch.note_own_delay(delay);
    }

    /// Returns how long nothing has been heard from the dispatcher, and how long its oldest ticket has been
    /// unanswered.
    pub fn delays(&self) -> DispatcherDelays {
        let now = self.current_moment();
        DispatcherDelays { silence: self.watch.silent_for(now), answer: self.unanswered.oldest_age(now) }
    }

    /// Returns how long the oldest ticket of a customer has been unanswered.
    pub fn answer_delay(&self, customer: &CustomerName) -> Duration {
        self.unanswered.oldest_age_of(self.current_moment(), customer)
    }

    pub fn build_hello(&mut self, options: &ShardClientOptions, advice: Vec<AdviceRecord>) -> RouterHello {
        self.levels.retain(|_, known| known.updated_at.elapsed() < LEVEL_MAX_AGE);
        let levels = self.levels.iter().map(|(customer, known)| HeldLevel {
            customer: customer.clone(),
            level: known.level,
            order: known.order,
        });
        let now = self.current_moment();
        self.crashes.expire(now);
        self.streams.expire(now);
        RouterHello {
            streams: self.streams.list(now),
            crashes: self.crashes.records(now),
            router: options.router.clone(),
            incarnation: options.incarnation,
            waiting: self.waiting.values().map(|entry| entry.ticket.clone()).collect(),
            running: self.running.values().cloned().collect(),
            levels: levels.collect(),
            advice,
            heartbeat: self.allocate_heartbeat(),
        }
    }

    /// Sends a numbered heartbeat.
    pub fn send_heartbeat(&mut self) {
        let number = self.allocate_heartbeat();
        self.send(Body::Heartbeat(v1::Heartbeat { number, ..v1::Heartbeat::default() }));
        let now = self.current_moment();
        self.watch.note_heartbeat(now);
    }

    /// Reports an endpoint's advice. It is sent in a heartbeat without a number, because a dispatcher that doesn't
    /// support advice would close the stream on an unknown message.
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

    /// Returns the trace context of a waiting request; empty if there is none.
    pub fn traceparent_of(&self, request: &[u8]) -> String {
        let entry = request_id(request).ok().and_then(|request| self.waiting.get(&request));
        entry.map(|entry| entry.traceparent.clone()).unwrap_or_default()
    }

    /// Returns the current time as an offset from the creation of this state.
    pub fn current_moment(&self) -> Moment {
        Moment(0) + self.start.elapsed()
    }

    /// Refuses a new request that the dispatcher would probably refuse.
    pub fn check_throttle(&mut self, customer: &CustomerName) -> Result<(), Refusal> {
        let now = self.current_moment();
        let admitted = self.throttle.admit(now, customer, rand::random());
        admitted.map_err(|wait| Refusal::not_run(RefusalKind::Throttled).after(wait))
    }

    pub fn add_waiting(&mut self, entry: WaitingEntry) {
        let submit = v1::Submit { traceparent: entry.traceparent.clone(), ..submit_message(&entry.ticket) };
        let (request, customer) = (entry.ticket.request, entry.ticket.customer.clone());
        self.waiting.insert(request, entry);
        self.send(Body::Submit(submit));
        if self.link.is_some() {
            let now = self.current_moment();
            self.unanswered.note_sent(now, request, customer);
            self.watch.note_ticket(now);
        }
    }

    /// Cancels a waiting request, or returns its grant unused. A grant that arrives later is returned too.
    pub fn cancel(&mut self, request: RequestId) {
        self.unanswered.forget(request);
        if self.waiting.remove(&request).is_some() {
            self.send(Body::Cancel(v1::Cancel { request: request_bytes(request) }));
        } else if self.running.remove(&request).is_some() {
            self.send_settle(request, Cost(0), GrantOutcome::Unsent);
        }
    }

    /// Reports the cost that a running request has delivered so far, and what is known of its first event.
    pub fn progress(&mut self, request: RequestId, delivered: Cost, start: RunStart) {
        if let Some(origin) = &start.origin {
            let now = self.current_moment();
            self.streams.expire(now);
            self.streams.record(now, origin);
        }
        if let Some(grant) = self.running.get_mut(&request) {
            grant.delivered = delivered;
            self.send(Body::Progress(v1::Progress {
                request: request_bytes(request),
                delivered: delivered.0,
                began: start.origin.as_ref().map(origin_message),
                first_event: start.first_event.as_ref().map(first_event_message),
            }));
        }
    }

    /// Ends a grant and reports its cost and outcome.
    pub fn settle(&mut self, request: RequestId, cost: Cost, outcome: GrantOutcome) {
        if let Some(grant) = self.running.remove(&request) {
            self.record_outcome(&grant, outcome);
            self.send_settle(request, cost, outcome);
        }
    }

    /// Remembers requests during which an endpoint seems to have crashed, so that the next hello carries them.
    fn record_outcome(&mut self, grant: &HeldGrant, outcome: GrantOutcome) {
        let Some(digest) = grant.digest else { return };
        let now = self.current_moment();
        match outcome {
            GrantOutcome::Severed => {
                self.crashes.record_crash(now, digest, &grant.customer, &grant.endpoint);
            }
            GrantOutcome::Done => {
                self.crashes.clear(now, digest);
            }
            _ => {}
        }
    }

    /// Replaces the crash record of a request by the dispatcher's.
    fn apply_crash_record(&mut self, message: v1::CrashRecord) {
        let now = self.current_moment();
        match crash_record(message) {
            Ok(update) => self.crashes.replace(now, &update),
            Err(error) => record(&events::WIRE_MALFORMED, &[field("error", &error)]),
        }
    }

    fn send_settle(&mut self, request: RequestId, cost: Cost, outcome: GrantOutcome) {
        self.send(Body::Settle(settle_message(request, cost, outcome)));
    }

    /// Handles a message from the dispatcher. Returns false if the dispatcher asks for a new session.
    pub fn handle_message(&mut self, message: v1::DispatcherMessage) -> bool {
        use v1::dispatcher_message::Body as FromDispatcher;
        self.note_answer(&message);
        match message.body {
            Some(FromDispatcher::Accepted(accepted)) => self.handle_accepted(&accepted),
            Some(FromDispatcher::Grant(grant)) => self.handle_grant(&grant),
            Some(FromDispatcher::Refused(refused)) => self.handle_refused(&refused),
            Some(FromDispatcher::CrashRecord(record)) => self.apply_crash_record(record),
            Some(FromDispatcher::Moved(_)) => return false,
            Some(FromDispatcher::Pulse(_)) | None => {}
        }
        true
    }

    /// Records that a message came, and which ticket it answers.
    fn note_answer(&mut self, message: &v1::DispatcherMessage) {
        use v1::dispatcher_message::Body as FromDispatcher;
        let answered = match &message.body {
            Some(FromDispatcher::Accepted(accepted)) => Some(&accepted.request),
            Some(FromDispatcher::Grant(grant)) => Some(&grant.request),
            Some(FromDispatcher::Refused(refused)) => Some(&refused.request),
            _ => None,
        };
        if let Some(request) = answered.and_then(|request| request_id(request).ok()) {
            match is_without_turn(message) {
                true => self.unanswered.forget(request),
                false => self.unanswered.note_answered(request),
            }
        }
        let now = self.current_moment();
        self.watch.note_message(now, !self.unanswered.is_empty());
    }

    fn handle_accepted(&mut self, accepted: &v1::Accepted) {
        let entry = request_id(&accepted.request).ok().and_then(|request| self.waiting.get_mut(&request));
        let Some(entry) = entry else { return };
        entry.ticket.order = Some(OrderNumber(accepted.order));
        let (submitted_at, customer) = (entry.submitted_at, entry.ticket.customer.clone());
        self.note_queue_fill(submitted_at, &customer, accepted.queue_fill_percent);
    }

    fn note_queue_fill(&mut self, submitted_at: Moment, customer: &CustomerName, percent: Option<u32>) {
        if let Some(percent) = percent {
            self.throttle.note_queue_fill(submitted_at, customer, QueueFill(percent));
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
        self.note_queue_fill(entry.submitted_at, &entry.ticket.customer, grant.queue_fill_percent);
        self.update_level(&entry.ticket.customer, ServiceLevel(grant.level), order);
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
            // A name that can't be parsed only costs a prefill.
            cache_source: EndpointName::parse(&grant.cache_source).ok(),
            order,
            bound_version: grant.bound_version.as_deref().map(SoftwareVersion::new),
            expires: self.heartbeat_sent_at(grant.heartbeat).map(|at| at + lease),
        };
        if entry.waiter.try_send(Ok(terms)).is_err() {
            self.settle(request, Cost(0), GrantOutcome::Unsent);
        }
    }

    /// Updates a customer's service level, unless a newer and higher one is known.
    fn update_level(&mut self, customer: &CustomerName, level: ServiceLevel, order: OrderNumber) {
        let is_known =
            self.levels.get(customer).is_some_and(|known| known.order > order && known.level > level);
        if !is_known {
            self.levels.insert(customer.clone(), KnownLevel { level, order, updated_at: BootInstant::now() });
        }
    }

    /// Returns when a heartbeat was sent. A lease is measured from that time by this router's own clock.
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
            RefusalReason::NoEndpoint => RefusalKind::NoEndpoint,
            RefusalReason::VersionGone => RefusalKind::VersionGone,
            RefusalReason::StreamUnknown => RefusalKind::StreamUnknown,
        };
        let wait = Duration::from_millis(refused.retry_after_millis);
        let now = self.current_moment();
        let is_for_load = matches!(
            kind,
            RefusalKind::Overloaded | RefusalKind::CustomerBacklogFull | RefusalKind::FleetBacklogFull
        );
        if is_for_load {
            self.throttle.note_refused(now, &entry.ticket.customer, wait);
        }
        self.note_queue_fill(entry.submitted_at, &entry.ticket.customer, refused.queue_fill_percent);
        let refusal = match kind {
            // Coming back does not help.
            RefusalKind::VersionGone | RefusalKind::StreamUnknown => Refusal::not_run(kind),
            _ => Refusal::not_run(kind).after(wait),
        };
        let _ = entry.waiter.try_send(Err(refusal));
    }

    fn send(&mut self, body: Body) {
        if let Some(link) = &self.link {
            let _ = link.try_send(v1::RouterMessage { body: Some(body) });
        }
    }
}

/// Returns true if the message refuses a ticket for which the dispatcher has no room. Such a refusal comes at once and says
/// nothing of the tickets that were sent before.
fn is_without_turn(message: &v1::DispatcherMessage) -> bool {
    use v1::dispatcher_message::Body as FromDispatcher;
    match &message.body {
        Some(FromDispatcher::Refused(refused)) => refusal_reason(&refused.kind) == RefusalReason::ShardFull,
        _ => false,
    }
}
