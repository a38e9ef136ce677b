//! The newest record of each endpoint.

use crate::record::{EndpointRecord, EndpointStage};
use micaspool_types::{EndpointName, Moment};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an endpoint that left stays known as left. Late records come within seconds; names are
/// never used again, so a longer time costs memory only.
const LEFT_LIFE: Duration = Duration::from_secs(120);

/// What came of a record.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MergeOutcome {
    /// It says something new about the endpoint.
    Changed,
    /// It shows that the endpoint is alive and otherwise says what was known.
    Refreshed,
    /// It is older than what is known, and was ignored.
    Stale,
}

#[derive(Clone, Debug)]
struct KnownEndpoint {
    record: EndpointRecord,
    heard: Moment,
}

/// The newest record of each endpoint, and when it was heard.
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    endpoints: BTreeMap<EndpointName, KnownEndpoint>,
}

impl EndpointRegistry {
    /// Takes a record in. Stages only move forward, so that a late record can't take a farewell
    /// back.
    pub fn merge(&mut self, now: Moment, record: EndpointRecord) -> MergeOutcome {
        let Some(known) = self.endpoints.get_mut(&record.name) else {
            self.endpoints.insert(record.name.clone(), KnownEndpoint { record, heard: now });
            return MergeOutcome::Changed;
        };
        let older = record.sequence < known.record.sequence;
        let backwards = record.stage < known.record.stage;
        if backwards || (older && record.stage == known.record.stage) {
            return MergeOutcome::Stale;
        }
        let sequence = record.sequence.max(known.record.sequence);
        let record = EndpointRecord { sequence, ..record };
        let same = EndpointRecord { sequence, ..known.record.clone() } == record;
        known.record = record;
        known.heard = known.heard.max(now);
        if same {
            MergeOutcome::Refreshed
        } else {
            MergeOutcome::Changed
        }
    }

    /// Notes that an endpoint has left; false when it is not known.
    pub fn leave(&mut self, now: Moment, name: &EndpointName) -> bool {
        let Some(known) = self.endpoints.get_mut(name) else { return false };
        known.record.stage = EndpointStage::Left;
        known.heard = now;
        true
    }

    /// Forgets endpoints that were silent for longer than `life`; true when one went.
    pub fn expire(&mut self, now: Moment, life: Duration) -> bool {
        let before = self.endpoints.len();
        self.endpoints.retain(|_, known| {
            let limit = if known.record.stage == EndpointStage::Left { LEFT_LIFE } else { life };
            now.since(known.heard) <= limit
        });
        self.endpoints.len() != before
    }

    /// The record of an endpoint.
    pub fn get(&self, name: &EndpointName) -> Option<&EndpointRecord> {
        self.endpoints.get(name).map(|known| &known.record)
    }

    /// Every record, also of endpoints that left, in name order.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.values().map(|known| &known.record)
    }

    /// How long ago an endpoint was heard.
    pub fn age(&self, now: Moment, name: &EndpointName) -> Option<Duration> {
        self.endpoints.get(name).map(|known| now.since(known.heard))
    }
}
