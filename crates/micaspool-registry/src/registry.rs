//! The registry: the newest record of each endpoint.

use crate::record::{EndpointRecord, EndpointStage};
use micaspool_types::{EndpointName, Incarnation, Moment};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an endpoint that left, and the newest start of each endpoint, are remembered after they were last seen.
/// Late records arrive within seconds; a longer time costs only memory.
const LEFT_RETENTION: Duration = Duration::from_secs(120);
/// The difference in the announced end of the cold phase up to which two records count as equal, since their transit
/// times differ.
const COLD_TOLERANCE: Duration = Duration::from_millis(300);

/// The result of merging a record.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MergeOutcome {
    /// The record changed what is known about the endpoint.
    Changed,
    /// The record belongs to a new start of the endpoint; the record of the previous start was removed.
    Restarted,
    /// The record only confirmed that the endpoint is alive.
    Refreshed,
    /// The record is older than what is known and was ignored.
    Stale,
}

impl MergeOutcome {
    /// Returns true if the merge changed the registry in a way that followers need to know.
    pub fn is_change(self) -> bool {
        matches!(self, MergeOutcome::Changed | MergeOutcome::Restarted)
    }
}

#[derive(Clone, Debug)]
struct EndpointEntry {
    record: EndpointRecord,
    /// When the latest record that was not stale arrived, or the endpoint was marked as left.
    last_seen: Moment,
    /// The end of the cold phase by the receiver's clock.
    cold_until: Moment,
}

impl EndpointEntry {
    fn new(now: Moment, record: EndpointRecord) -> EndpointEntry {
        EndpointEntry { cold_until: now + record.cold, last_seen: now, record }
    }

    /// Returns true if `cold_until` differs from the known end of the cold phase by more than [`COLD_TOLERANCE`] and
    /// the endpoint is still cold according to either.
    fn cold_end_differs(&self, now: Moment, cold_until: Moment) -> bool {
        let is_relevant = self.cold_until > now || cold_until > now;
        let distance = self.cold_until.since(cold_until).max(cold_until.since(self.cold_until));
        is_relevant && distance > COLD_TOLERANCE
    }
}

/// The newest start of an endpoint.
#[derive(Clone, Debug)]
struct NewestStart {
    name: EndpointName,
    incarnation: Incarnation,
    last_seen: Moment,
}

/// The newest record of each endpoint and when it was last seen.
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    /// The records by the name of the start.
    endpoints: BTreeMap<EndpointName, EndpointEntry>,
    /// The newest start of each endpoint by its identity. Kept longer than the records, so that late records of earlier
    /// starts are still recognised.
    newest: BTreeMap<EndpointName, NewestStart>,
}

impl EndpointRegistry {
    /// Merges a record. A record of an earlier start of the endpoint is always ignored; one of a later start replaces
    /// all earlier ones. Within a start the stage only moves forward, so that a late record cannot undo a drain or a
    /// deregistration.
    pub fn merge(&mut self, now: Moment, record: EndpointRecord) -> MergeOutcome {
        let newest = self.newest.get(&record.identity);
        if newest.is_some_and(|newest| record.incarnation < newest.incarnation) {
            return MergeOutcome::Stale;
        }
        let previous = newest.filter(|newest| newest.name != record.name).map(|newest| newest.name.clone());
        let start =
            NewestStart { name: record.name.clone(), incarnation: record.incarnation, last_seen: now };
        self.newest.insert(record.identity.clone(), start);
        let outcome = self.merge_start(now, record);
        match previous {
            Some(previous) => {
                self.endpoints.remove(&previous);
                MergeOutcome::Restarted
            }
            None => outcome,
        }
    }

    /// Merges a record of the newest start.
    fn merge_start(&mut self, now: Moment, record: EndpointRecord) -> MergeOutcome {
        let Some(entry) = self.endpoints.get_mut(&record.name) else {
            self.endpoints.insert(record.name.clone(), EndpointEntry::new(now, record));
            return MergeOutcome::Changed;
        };
        let is_older = record.sequence < entry.record.sequence;
        let goes_back = record.stage < entry.record.stage;
        let sequence = record.sequence.max(entry.record.sequence);
        if goes_back || (is_older && record.stage == entry.record.stage) {
            entry.record.sequence = sequence;
            return MergeOutcome::Stale;
        }
        let cold_until = now + record.cold;
        let cold_differs = entry.cold_end_differs(now, cold_until);
        entry.cold_until = cold_until;
        let record = EndpointRecord { sequence, cold: entry.record.cold, ..record };
        let is_same = EndpointRecord { sequence, ..entry.record.clone() } == record && !cold_differs;
        entry.record = record;
        entry.last_seen = entry.last_seen.max(now);
        if is_same {
            MergeOutcome::Refreshed
        } else {
            MergeOutcome::Changed
        }
    }

    /// Removes the record of a start of an endpoint, unless the endpoint left. Returns true if there was one.
    pub fn remove(&mut self, now: Moment, name: &EndpointName) -> bool {
        let is_present = self.get(name).is_some_and(|record| record.stage != EndpointStage::Left);
        if !is_present {
            return false;
        }
        let removed = self.endpoints.remove(name).expect("the record was found before");
        if let Some(newest) = self.newest.get_mut(&removed.record.identity) {
            newest.last_seen = now;
        }
        true
    }

    /// Forgets the endpoints that left, and the newest starts of those that were removed, after `LEFT_RETENTION`.
    /// Others are kept, however long ago they were last seen.
    pub fn forget_left(&mut self, now: Moment) {
        self.endpoints.retain(|_, entry| {
            entry.record.stage != EndpointStage::Left || now.since(entry.last_seen) <= LEFT_RETENTION
        });
        let endpoints = &self.endpoints;
        self.newest.retain(|_, start| {
            now.since(start.last_seen) <= LEFT_RETENTION || endpoints.contains_key(&start.name)
        });
    }

    /// Removes endpoints that were not seen for longer than `max_silence`, or, if they left, for longer than
    /// `LEFT_RETENTION`. Returns true if any was removed.
    pub fn expire(&mut self, now: Moment, max_silence: Duration) -> bool {
        let count_before = self.endpoints.len();
        self.newest.retain(|_, start| now.since(start.last_seen) <= LEFT_RETENTION);
        self.endpoints.retain(|_, entry| {
            let limit = if entry.record.stage == EndpointStage::Left { LEFT_RETENTION } else { max_silence };
            now.since(entry.last_seen) <= limit
        });
        self.endpoints.len() != count_before
    }

    /// Returns the record of the newest start of an endpoint.
    pub fn newest(&self, identity: &EndpointName) -> Option<&EndpointRecord> {
        self.newest.get(identity).and_then(|start| self.get(&start.name))
    }

    /// Returns the record of a start of an endpoint by the name of the start.
    pub fn get(&self, name: &EndpointName) -> Option<&EndpointRecord> {
        self.endpoints.get(name).map(|entry| &entry.record)
    }

    /// Iterates over all records in name order, including those of endpoints that left.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.values().map(|entry| &entry.record)
    }

    /// Returns how much longer an endpoint is cold; zero if it is warm or unknown.
    pub fn remaining_cold(&self, now: Moment, name: &EndpointName) -> Duration {
        self.endpoints.get(name).map_or(Duration::ZERO, |entry| entry.cold_until.since(now))
    }

    /// Returns the record with `cold` counted from now, as it is to be sent to others.
    pub fn with_remaining_cold(&self, now: Moment, record: &EndpointRecord) -> EndpointRecord {
        EndpointRecord { cold: self.remaining_cold(now, &record.name), ..record.clone() }
    }

    /// Returns the time since the endpoint was last seen.
    pub fn age(&self, now: Moment, name: &EndpointName) -> Option<Duration> {
        self.endpoints.get(name).map(|entry| now.since(entry.last_seen))
    }
}
