//! The advice of each start of an endpoint and when it expires.

use micaspool_types::{AdviceRecord, EndpointAdvice, EndpointName, Moment, ServiceName};
use std::collections::HashMap;
use std::time::Duration;

/// How long a start of an endpoint is remembered as leaving. It goes on serving for about ten seconds at most, and a
/// later start has another name.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Whether requests may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStanding {
    /// Requests may be sent.
    Open,
    /// No requests may be sent for this long.
    Resting(Duration),
    /// No more requests may be sent to this start of the endpoint.
    Leaving,
}

impl EndpointStanding {
    /// Returns true if requests may be sent.
    pub fn is_open(self) -> bool {
        self == EndpointStanding::Open
    }

    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointStanding::Open => "open",
            EndpointStanding::Resting(_) => "resting",
            EndpointStanding::Leaving => "leaving",
        }
    }
}

/// The effect of applying advice to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdviceChange {
    /// No change: the advice was empty or already covered by earlier advice.
    Unchanged,
    /// A rest began.
    Began,
    /// The current rest was prolonged.
    Prolonged,
    /// The endpoint has announced that it is leaving.
    LeavingAnnounced,
}

/// A rest that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRest {
    /// The endpoint that rested.
    pub endpoint: EndpointName,
    /// The time from the response that began the rest to its end.
    pub lasted: Duration,
    /// The number of responses whose advice began or prolonged the rest.
    pub advice_count: u32,
}

/// The advice of one start of an endpoint.
#[derive(Debug)]
struct AdviceEntry {
    service: ServiceName,
    /// When the latest rest began.
    since: Moment,
    rests_until: Moment,
    /// The number of responses whose advice began or prolonged the latest rest.
    advice_count: u32,
    /// The end of the time for which the endpoint counts as leaving; `None` if it never announced that.
    leaves_until: Option<Moment>,
}

impl AdviceEntry {
    fn standing(&self, now: Moment) -> EndpointStanding {
        if self.leaves_until.is_some_and(|until| now < until) {
            EndpointStanding::Leaving
        } else if now < self.rests_until {
            EndpointStanding::Resting(self.rests_until.since(now))
        } else {
            EndpointStanding::Open
        }
    }

    /// Starts a rest or prolongs the current one. Does nothing if the new rest would not end later.
    fn start_or_prolong(&mut self, now: Moment, rest: Duration) -> AdviceChange {
        let was_resting = now < self.rests_until;
        let until = now + rest;
        if rest.is_zero() || until <= self.rests_until {
            return AdviceChange::Unchanged;
        }
        self.rests_until = until;
        self.advice_count += 1;
        if was_resting {
            return AdviceChange::Prolonged;
        }
        self.since = now;
        self.advice_count = 1;
        AdviceChange::Began
    }
}

/// The advice in force, by endpoint. An entry is created when an endpoint gives advice, and [`AdviceTable::expire`]
/// removes it when that advice no longer holds, so that the size of the table is bounded by the number of endpoints that
/// gave advice recently.
#[derive(Debug, Default)]
pub struct AdviceTable {
    entries: HashMap<EndpointName, AdviceEntry>,
}

impl AdviceTable {
    /// Applies the advice of an endpoint. A rest is only ever prolonged, never shortened: the response that asks for a
    /// shorter one may belong to a request that was in flight longer.
    pub fn apply(
        &mut self,
        now: Moment,
        endpoint: &EndpointName,
        service: &ServiceName,
        advice: EndpointAdvice,
    ) -> AdviceChange {
        if advice.is_empty() {
            return AdviceChange::Unchanged;
        }
        let new_entry = || AdviceEntry {
            service: service.clone(),
            since: now,
            rests_until: Moment(0),
            advice_count: 0,
            leaves_until: None,
        };
        let entry = self.entries.entry(endpoint.clone()).or_insert_with(new_entry);
        let change = entry.start_or_prolong(now, advice.rest);
        if !advice.leaving {
            return change;
        }
        let was_leaving =
            entry.leaves_until.replace(now + LEAVING_RETENTION).is_some_and(|until| now < until);
        if was_leaving {
            change
        } else {
            AdviceChange::LeavingAnnounced
        }
    }

    /// Returns whether requests may be sent to an endpoint, and if not, why.
    pub fn standing(&self, now: Moment, endpoint: &EndpointName) -> EndpointStanding {
        self.entries.get(endpoint).map_or(EndpointStanding::Open, |entry| entry.standing(now))
    }

    /// Returns the advice in force for the endpoints of a service, in name order.
    pub fn records(&self, now: Moment, service: &ServiceName) -> Vec<AdviceRecord> {
        let of_service = self.entries.iter().filter(|(_, entry)| entry.service == *service);
        let records = of_service.map(|(endpoint, entry)| {
            let rest = entry.rests_until.since(now);
            let leaving = entry.standing(now) == EndpointStanding::Leaving;
            AdviceRecord { endpoint: endpoint.clone(), advice: EndpointAdvice { rest, leaving } }
        });
        let mut records: Vec<AdviceRecord> = records.filter(|record| !record.advice.is_empty()).collect();
        records.sort_by(|one, other| one.endpoint.cmp(&other.endpoint));
        records
    }

    /// Removes the entries that have expired and returns the rests that have ended.
    pub fn expire(&mut self, now: Moment) -> Vec<EndedRest> {
        let expired = self.entries.extract_if(|_, entry| entry.standing(now).is_open());
        let rests = expired.filter(|(_, entry)| entry.advice_count > 0).map(|(endpoint, entry)| EndedRest {
            endpoint,
            lasted: entry.rests_until.since(entry.since),
            advice_count: entry.advice_count,
        });
        rests.collect()
    }

    /// Returns the number of resting and of leaving endpoints, in this order.
    pub fn counts(&self, now: Moment) -> (usize, usize) {
        let standings = || self.entries.values().map(|entry| entry.standing(now));
        let resting = standings().filter(|standing| matches!(standing, EndpointStanding::Resting(_)));
        (resting.count(), standings().filter(|standing| *standing == EndpointStanding::Leaving).count())
    }

    /// Returns the number of endpoints in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if the table holds no endpoint.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
