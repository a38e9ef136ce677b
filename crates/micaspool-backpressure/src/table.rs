//! What each start of an endpoint has said, and until when it holds.

use micaspool_types::{AdviceRecord, EndpointAdvice, EndpointName, Moment, ServiceName};
use std::collections::HashMap;
use std::time::Duration;

/// How long it is remembered that a start of an endpoint leaves. It serves on for some ten seconds at most; a later
/// start has another name.
const LEAVING_LIFE: Duration = Duration::from_secs(600);

/// What may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStanding {
    /// Nothing was asked.
    Open,
    /// Nothing for so long.
    Resting(Duration),
    /// Nothing any more.
    Leaving,
}

impl EndpointStanding {
    /// True when requests may be sent.
    pub fn is_open(self) -> bool {
        self == EndpointStanding::Open
    }

    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointStanding::Open => "open",
            EndpointStanding::Resting(_) => "resting",
            EndpointStanding::Leaving => "leaving",
        }
    }
}

/// What an endpoint's word has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdviceChange {
    /// Nothing: it said nothing, or nothing that goes beyond what it said before.
    Same,
    /// A rest has begun.
    Began,
    /// It goes on for longer.
    Prolonged,
    /// The endpoint leaves.
    Left,
}

/// A rest that is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRest {
    /// The endpoint that rested.
    pub endpoint: EndpointName,
    /// From its first word to the end.
    pub lasted: Duration,
    /// How often it asked in that time.
    pub asked: u32,
}

#[derive(Debug)]
struct AdviceEntry {
    service: ServiceName,
    since: Moment,
    rests_until: Moment,
    asked: u32,
    /// Until when it is remembered that it leaves.
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

    fn rests_on(&mut self, now: Moment, rest: Duration) -> AdviceChange {
        let rested = now < self.rests_until;
        let until = now + rest;
        if rest.is_zero() || until <= self.rests_until {
            return AdviceChange::Same;
        }
        self.rests_until = until;
        self.asked += 1;
        if rested {
            return AdviceChange::Prolonged;
        }
        self.since = now;
        self.asked = 1;
        AdviceChange::Began
    }
}

/// What endpoints said. An entry is made for an endpoint that asks for something and ends by itself, so that there are
/// never more than endpoints that were heard in the last minutes.
#[derive(Debug, Default)]
pub struct AdviceTable {
    entries: HashMap<EndpointName, AdviceEntry>,
}

impl AdviceTable {
    /// Takes in what an endpoint of a service says. A rest that was asked for is prolonged and never shortened: the
    /// shorter one may come from a request that was on its way longer.
    pub fn apply(
        &mut self,
        now: Moment,
        endpoint: &EndpointName,
        service: &ServiceName,
        advice: EndpointAdvice,
    ) -> AdviceChange {
        if advice.is_empty() {
            return AdviceChange::Same;
        }
        let fresh = || AdviceEntry {
            service: service.clone(),
            since: now,
            rests_until: Moment(0),
            asked: 0,
            leaves_until: None,
        };
        let entry = self.entries.entry(endpoint.clone()).or_insert_with(fresh);
        let change = entry.rests_on(now, advice.rest);
        if !advice.leaving {
            return change;
        }
        let known = entry.leaves_until.replace(now + LEAVING_LIFE).is_some_and(|until| now < until);
        if known {
            change
        } else {
            AdviceChange::Left
        }
    }

    /// What may be sent to an endpoint.
    pub fn standing(&self, now: Moment, endpoint: &EndpointName) -> EndpointStanding {
        self.entries.get(endpoint).map_or(EndpointStanding::Open, |entry| entry.standing(now))
    }

    /// What holds for endpoints of a service, in the order of their names.
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

    /// Forgets what holds no more; gives the rests that are over.
    pub fn expire(&mut self, now: Moment) -> Vec<EndedRest> {
        let over = self.entries.extract_if(|_, entry| entry.standing(now).is_open());
        let rests = over.filter(|(_, entry)| entry.asked > 0).map(|(endpoint, entry)| EndedRest {
            endpoint,
            lasted: entry.rests_until.since(entry.since),
            asked: entry.asked,
        });
        rests.collect()
    }

    /// How many endpoints rest, and how many leave.
    pub fn counts(&self, now: Moment) -> (usize, usize) {
        let standings = || self.entries.values().map(|entry| entry.standing(now));
        let resting = standings().filter(|standing| matches!(standing, EndpointStanding::Resting(_)));
        (resting.count(), standings().filter(|standing| *standing == EndpointStanding::Leaving).count())
    }

    /// How many endpoints are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
