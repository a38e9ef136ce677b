//! The waiting tickets of one customer, in one queue for each kind.
//!
//! Kinds share what their customer is served in proportion to what they ask for, as in start-time fair
//! queueing (Goyal, Vin and Cheng): each kind has a tag, the service it has received divided by its
//! demand, and the kind with the lowest tag is next. A kind whose tickets tolerate a long wait may have a
//! long queue without delaying the other kinds.
//!
//! The order of service changes only when a ticket is queued, removed or granted, never with time alone:
//! otherwise a ticket could become a candidate for a free endpoint without a step that tries it.

use super::customers::QueuePlace;
use super::rate::DecayingRate;
use micaspool_types::{Moment, RequestId};
use std::collections::btree_map;
use std::collections::BTreeMap;
use std::iter::Peekable;
use std::time::Duration;

/// The maximum number of kinds of a customer, which bounds the cost of a decision. Tickets of further kinds
/// join the kind with the nearest objective.
const MAX_KINDS: usize = 8;
/// Time constant of a kind's demand in milliseconds: long enough to cover several tickets of a kind with a
/// few per second, so that shares do not follow single arrivals.
const DEMAND_MILLIS: u64 = 2_000;
/// How far ahead arrivals of other kinds are predicted from their demand, in seconds.
const PREDICTION_SECONDS: f64 = DEMAND_MILLIS as f64 / 1_000.0;
/// How far the tag of a kind may be ahead, in seconds of its demand. A single ticket weighs at most this
/// much, since its own arrival counts as demand over `DEMAND_MILLIS`.
const MAX_LEAD: f64 = DEMAND_MILLIS as f64 / 1_000.0;
/// How far the tag of a kind may be behind, in seconds of its demand: enough for a burst of a kind with few
/// tickets, too little to keep other kinds waiting beyond their objectives.
const MAX_LAG: f64 = 0.5;
/// The minimum demand, in load per second, by which service is divided.
const MIN_DEMAND: f64 = 1.0;

/// What distinguishes the queues of a customer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct TicketKind {
    priority: u8,
    /// The objective of the first attempt in milliseconds; the maximum for none.
    objective_millis: u32,
}

impl TicketKind {
    /// The only kind of a service without engines.
    pub const SINGLE: TicketKind = TicketKind { priority: 0, objective_millis: u32::MAX };

    /// The kind of a ticket whose first attempt had this objective.
    pub fn of(priority: u8, objective: Option<Duration>) -> TicketKind {
        let millis = objective.and_then(|objective| u32::try_from(objective.as_millis()).ok());
        TicketKind { priority, objective_millis: millis.unwrap_or(u32::MAX) }
    }

    /// Orders kinds by similarity to this one: first those of its priority, by their objectives.
    fn distance(self, other: TicketKind) -> (u8, u32) {
        (self.priority.abs_diff(other.priority), self.objective_millis.abs_diff(other.objective_millis))
    }
}

#[derive(Debug)]
struct QueuedTicket {
    request: RequestId,
    load: u64,
}

/// The waiting tickets of one kind.
#[derive(Debug)]
struct KindQueue {
    kind: TicketKind,
    tickets: BTreeMap<QueuePlace, QueuedTicket>,
    /// The load of the tickets.
    load: u64,
    demand: DecayingRate<DEMAND_MILLIS>,
    /// The demand by which service is divided, in load per second.
    weight: f64,
    /// Service received, in seconds of demand.
    tag: f64,
}

impl KindQueue {
    fn new(kind: TicketKind, tag: f64) -> KindQueue {
        KindQueue {
            kind,
            tickets: BTreeMap::new(),
            load: 0,
            demand: DecayingRate::default(),
            weight: MIN_DEMAND,
            tag,
        }
    }

    fn update_weight(&mut self, now: Moment) {
        self.weight = self.demand.per_second(now).max(MIN_DEMAND);
    }
}

/// The queues of one customer.
#[derive(Debug, Default)]
pub(super) struct KindQueues {
    kinds: Vec<KindQueue>,
    /// The number of tickets in all queues.
    len: usize,
    /// The load of all queues: prompt tokens, or requests without any.
    load: u64,
    /// The highest tag at which a ticket was granted.
    granted_tag: f64,
}

impl KindQueues {
    /// The number of waiting tickets.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True without waiting tickets.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The load of the waiting tickets: prompt tokens, or requests without any.
    pub fn load(&self) -> u64 {
        self.load
    }

    /// True if there are waiting tickets of more than one kind.
    pub fn is_mixed(&self) -> bool {
        self.kinds.iter().filter(|queue| !queue.tickets.is_empty()).nth(1).is_some()
    }

    /// The first place by priority and arrival.
    pub fn first_place(&self) -> Option<QueuePlace> {
        self.kinds.iter().filter_map(|queue| queue.tickets.first_key_value()).map(|(place, _)| *place).min()
    }

    /// The kind whose queue takes tickets of this kind. A new kind replaces the one without waiting tickets
    /// that has the least demand once there are [`MAX_KINDS`].
    pub fn resolve(&mut self, now: Moment, kind: TicketKind) -> TicketKind {
        if self.position(kind).is_some() {
            return kind;
        }
        if self.kinds.len() < MAX_KINDS {
            self.kinds.push(KindQueue::new(kind, self.granted_tag));
            return kind;
        }
        let unused = self.kinds.iter_mut().filter(|queue| queue.tickets.is_empty());
        let demand = |queue: &KindQueue| queue.demand.per_second(now);
        if let Some(queue) = unused.min_by(|left, right| demand(left).total_cmp(&demand(right))) {
            *queue = KindQueue::new(kind, self.granted_tag);
            return kind;
        }
        let kinds = self.kinds.iter().map(|queue| queue.kind);
        kinds.min_by_key(|other| kind.distance(*other)).unwrap_or(kind)
    }

    /// Adds the load of a submitted ticket to the demand of its resolved kind.
    pub fn note_demand(&mut self, now: Moment, kind: TicketKind, load: u64) {
        if let Some(position) = self.position(kind) {
            self.kinds[position].demand.add(now, load);
        }
    }

    /// Adds a ticket to the queue of its resolved kind. Returns true if it is not the last one there.
    pub fn insert(&mut self, now: Moment, place: QueuePlace, load: u64) -> bool {
        let lowest_tag = self.granted_tag - MAX_LAG;
        let Some(position) = self.position(place.kind) else { return false };
        let queue = &mut self.kinds[position];
        if queue.tickets.is_empty() {
            queue.tag = queue.tag.max(lowest_tag);
            queue.update_weight(now);
        }
        queue.tickets.insert(place, QueuedTicket { request: place.request, load });
        queue.load += load;
        self.len += 1;
        self.load += load;
        queue.tickets.last_key_value().is_some_and(|(last, _)| *last != place)
    }

    /// Removes a ticket. Returns false if it is not queued.
    pub fn remove(&mut self, place: &QueuePlace) -> bool {
        let Some(position) = self.position(place.kind) else { return false };
        let queue = &mut self.kinds[position];
        let Some(ticket) = queue.tickets.remove(place) else { return false };
        queue.load -= ticket.load;
        self.len -= 1;
        self.load -= ticket.load;
        true
    }

    /// Charges a granted ticket to its kind, and brings the weights of all kinds up to date.
    pub fn charge(&mut self, now: Moment, kind: TicketKind, load: u64) {
        let Some(position) = self.position(kind) else { return };
        let queue = &mut self.kinds[position];
        self.granted_tag = self.granted_tag.max(queue.tag);
        queue.tag += load as f64 / queue.weight;
        let tags = self.granted_tag - MAX_LAG..=self.granted_tag + MAX_LEAD;
        for queue in &mut self.kinds {
            queue.update_weight(now);
            queue.tag = queue.tag.clamp(*tags.start(), *tags.end());
        }
    }

    /// The tickets in the order in which they are served.
    pub fn in_service_order(&self) -> ServiceOrder<'_> {
        let cursor = |position: usize| {
            let queue = self.kinds.get(position).filter(|queue| !queue.tickets.is_empty())?;
            Some(Cursor { tickets: queue.tickets.iter().peekable(), tag: queue.tag, weight: queue.weight })
        };
        ServiceOrder { cursors: std::array::from_fn(cursor) }
    }

    /// The expected time until a new ticket of the kind is next, if the customer is served a load of `rate`
    /// per second; [`Duration::MAX`] if it never is.
    ///
    /// Before it come the tickets of its own queue and, of each other kind of its priority, what waits
    /// or arrives until then, but at most what that kind is served before its tag has passed that of the
    /// new ticket. Kinds of a higher priority come before it in any case, those of a lower one never.
    /// Arrivals are not predicted further ahead than `DEMAND_MILLIS`.
    pub fn expected_wait(&self, now: Moment, kind: TicketKind, rate: f64) -> Duration {
        let Some(own) = self.position(kind).map(|position| &self.kinds[position]) else {
            return Duration::ZERO;
        };
        let own_weight = match own.tickets.is_empty() {
            true => own.demand.per_second(now).max(MIN_DEMAND),
            false => own.weight,
        };
        let own_tag = self.tag_of(own) + own.load as f64 / own_weight;
        let mut wait = f64::INFINITY;
        // The load that is served before grows with the wait, ever more slowly. Newton's method from above
        // therefore ends with the exact wait once it no longer changes which kinds are limited.
        for _ in 0..=MAX_KINDS {
            let before = self.load_before(now, own, own_tag, wait);
            let next = match before.fixed > 0.0 {
                true => before.fixed / (rate - before.per_second).max(0.0),
                false => 0.0,
            };
            if next >= wait {
                break;
            }
            wait = next;
        }
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    /// The load that is served before a new ticket of the kind `own`, which is served at the kind's tag
    /// `own_tag`, if it waits for `wait` seconds.
    fn load_before(&self, now: Moment, own: &KindQueue, own_tag: f64, wait: f64) -> LoadBefore {
        let mut before = LoadBefore { fixed: own.load as f64, per_second: 0.0 };
        for queue in &self.kinds {
            if queue.kind == own.kind || queue.kind.priority > own.kind.priority {
                continue;
            }
            let demand = queue.demand.per_second(now);
            let predicted = queue.load as f64 + demand * PREDICTION_SECONDS;
            let limit = match queue.kind.priority < own.kind.priority {
                true => predicted,
                false => predicted.min((own_tag - self.tag_of(queue)).max(0.0) * queue.weight),
            };
            if queue.load as f64 + demand * wait < limit {
                before.fixed += queue.load as f64;
                before.per_second += demand;
            } else {
                before.fixed += limit;
            }
        }
        before
    }

    /// The tag of a kind, including the limit that applies to a kind without tickets.
    fn tag_of(&self, queue: &KindQueue) -> f64 {
        match queue.tickets.is_empty() {
            true => queue.tag.max(self.granted_tag - MAX_LAG),
            false => queue.tag,
        }
    }

    fn position(&self, kind: TicketKind) -> Option<usize> {
        self.kinds.iter().position(|queue| queue.kind == kind)
    }
}

/// Load that is served before a ticket.
#[derive(Debug, Clone, Copy)]
struct LoadBefore {
    /// The load that does not depend on the wait: what waits now, or the limit of kinds that reach it.
    fixed: f64,
    /// The load that is added per second of the wait.
    per_second: f64,
}

/// The next ticket of a kind, and the tag that the kind would have then.
struct Cursor<'a> {
    tickets: Peekable<btree_map::Iter<'a, QueuePlace, QueuedTicket>>,
    tag: f64,
    weight: f64,
}

/// Iterates over tickets in the order in which they are served; see [`KindQueues::in_service_order`].
pub(super) struct ServiceOrder<'a> {
    cursors: [Option<Cursor<'a>>; MAX_KINDS],
}

impl<'a> Iterator for ServiceOrder<'a> {
    type Item = &'a RequestId;

    fn next(&mut self) -> Option<&'a RequestId> {
        let cursors = self.cursors.iter_mut().flatten();
        let heads = cursors.filter_map(|cursor| {
            let place = **cursor.tickets.peek().map(|(place, _)| place)?;
            Some((cursor, place))
        });
        let (cursor, _) = heads.min_by(|(left, left_place), (right, right_place)| {
            let priorities = left_place.priority.cmp(&right_place.priority);
            priorities.then(left.tag.total_cmp(&right.tag)).then(left_place.cmp(right_place))
        })?;
        let (_, ticket) = cursor.tickets.next()?;
        cursor.tag += ticket.load as f64 / cursor.weight;
        Some(&ticket.request)
    }
}
