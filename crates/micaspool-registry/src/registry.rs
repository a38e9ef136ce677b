//! The newest record of each endpoint.

use crate::record::{EndpointRecord, EndpointStage};
use micaspool_types::{EndpointName, Incarnation, Moment};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an endpoint that left stays known as left, and the newest start of each is known. Late records come within
/// seconds; a longer time costs memory only.
const LEFT_LIFE: Duration = Duration::from_secs(120);
/// Records that differ by no more about when an endpoint will be warm say the same: they take different times to come.
const COLD_TOLERANCE: Duration = Duration::from_millis(300);

/// What came of a record.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MergeOutcome {
    /// It says something new about the endpoint.
    Changed,
    /// The endpoint has started again; what it was before is forgotten.
    Restarted,
    /// It shows that the endpoint is alive and otherwise says what was known.
    Refreshed,
    /// It is older than what is known, and was ignored.
    Stale,
}

impl MergeOutcome {
    /// True when others want to hear of it.
    pub fn is_change(self) -> bool {
        matches!(self, MergeOutcome::Changed | MergeOutcome::Restarted)
    }
}

#[derive(Clone, Debug)]
struct KnownEndpoint {
    record: EndpointRecord,
    heard: Moment,
    cold_until: Moment,
}

impl KnownEndpoint {
    fn new(now: Moment, record: EndpointRecord) -> KnownEndpoint {
        KnownEndpoint { cold_until: now + record.cold, heard: now, record }
    }

    /// True when an endpoint that is cold until this moment is warm much earlier or later than was known.
    fn differs_in_warmth(&self, now: Moment, cold_until: Moment) -> bool {
        let concerns_now = self.cold_until > now || cold_until > now;
        let distance = self.cold_until.since(cold_until).max(cold_until.since(self.cold_until));
        concerns_now && distance > COLD_TOLERANCE
    }
}

/// The newest start of an endpoint.
#[derive(Clone, Debug)]
struct NewestStart {
    name: EndpointName,
    incarnation: Incarnation,
    heard: Moment,
}

/// The newest record of each endpoint, and when it was heard.
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    /// By the names of their starts.
    endpoints: BTreeMap<EndpointName, KnownEndpoint>,
    /// By the names that starts share. Longer known than the records, since late ones come from starts before.
    newest: BTreeMap<EndpointName, NewestStart>,
}

impl EndpointRegistry {
    /// Takes a record in. A record of an earlier start of the endpoint changes nothing, whenever it comes; one of a later
    /// start takes the place of all before. Stages only move forward within a start, so that a late record can't take
    /// a farewell back.
    pub fn merge(&mut self, now: Moment, record: EndpointRecord) -> MergeOutcome {
        let newest = self.newest.get(&record.identity);
        if newest.is_some_and(|newest| record.incarnation < newest.incarnation) {
            return MergeOutcome::Stale;
        }
        let before = newest.filter(|newest| newest.name != record.name).map(|newest| newest.name.clone());
        let start = NewestStart { name: record.name.clone(), incarnation: record.incarnation, heard: now };
        self.newest.insert(record.identity.clone(), start);
        let outcome = self.merge_start(now, record);
        match before {
            Some(before) => {
                self.endpoints.remove(&before);
                MergeOutcome::Restarted
            }
            None => outcome,
        }
    }

    /// Takes a record of the newest start in.
    fn merge_start(&mut self, now: Moment, record: EndpointRecord) -> MergeOutcome {
        let Some(known) = self.endpoints.get_mut(&record.name) else {
            self.endpoints.insert(record.name.clone(), KnownEndpoint::new(now, record));
            return MergeOutcome::Changed;
        };
        let older = record.sequence < known.record.sequence;
        let backwards = record.stage < known.record.stage;
        let sequence = record.sequence.max(known.record.sequence);
        if backwards || (older && record.stage == known.record.stage) {
            known.record.sequence = sequence;
            return MergeOutcome::Stale;
        }
        let cold_until = now + record.cold;
        let differs = known.differs_in_warmth(now, cold_until);
        known.cold_until = cold_until;
        let record = EndpointRecord { sequence, cold: known.record.cold, ..record };
        let same = EndpointRecord { sequence, ..known.record.clone() } == record && !differs;
        known.record = record;
        known.heard = known.heard.max(now);
        if same {
            MergeOutcome::Refreshed
        } else {
            MergeOutcome::Changed
        }
    }

    /// Notes that an endpoint has left, by the name that its starts share; gives the name of the start that
    /// was known, if any was.
    pub fn leave(&mut self, now: Moment, identity: &EndpointName) -> Option<EndpointName> {
        let name = self.newest.get(identity)?.name.clone();
        let known = self.endpoints.get_mut(&name)?;
        known.record.stage = EndpointStage::Left;
        known.heard = now;
        Some(name)
    }

    /// Forgets endpoints that were silent for longer than `life`; true when one went.
    pub fn expire(&mut self, now: Moment, life: Duration) -> bool {
        let before = self.endpoints.len();
        self.newest.retain(|_, start| now.since(start.heard) <= LEFT_LIFE);
        self.endpoints.retain(|_, known| {
            let limit = if known.record.stage == EndpointStage::Left { LEFT_LIFE } else { life };
            now.since(known.heard) <= limit
        });
        self.endpoints.len() != before
    }

    /// The record of the newest start of an endpoint, by the name that its starts share.
    pub fn newest(&self, identity: &EndpointName) -> Option<&EndpointRecord> {
        self.newest.get(identity).and_then(|start| self.get(&start.name))
    }

    /// The record of a start of an endpoint.
    pub fn get(&self, name: &EndpointName) -> Option<&EndpointRecord> {
        self.endpoints.get(name).map(|known| &known.record)
    }

    /// Every record, also of endpoints that left, in name order.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.values().map(|known| &known.record)
    }

    /// How much longer an endpoint is cold; zero for one that is warm or not known.
    pub fn cold_left(&self, now: Moment, name: &EndpointName) -> Duration {
        self.endpoints.get(name).map_or(Duration::ZERO, |known| known.cold_until.since(now))
    }

    /// A record as it is to be told at this moment.
    pub fn with_cold_left(&self, now: Moment, record: &EndpointRecord) -> EndpointRecord {
        EndpointRecord { cold: self.cold_left(now, &record.name), ..record.clone() }
    }

    /// How long ago an endpoint was heard.
    pub fn age(&self, now: Moment, name: &EndpointName) -> Option<Duration> {
        self.endpoints.get(name).map(|known| now.since(known.heard))
    }
}
