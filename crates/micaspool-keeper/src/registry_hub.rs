//! Registry of the endpoints that registered at this keeper, with subscriptions to its changes.

use crate::clock::MonotonicClock;
use async_std::channel::{bounded, Receiver, Sender};
use micaspool_registry::{
    ConfirmedDepartures, EndpointRecord, EndpointRegistry, EndpointStage, MergeOutcome,
};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::EndpointName;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// How long a record is kept after its endpoint last registered at this keeper. The endpoint may
/// register at other keepers, so this only bounds memory.
const RECORD_TTL: Duration = Duration::from_secs(60);
/// How long an endpoint may not register here before followers are told that it is silent. Heartbeats may arrive
/// seconds late, and a crashed endpoint is noticed earlier by its failures.
const MAX_SILENCE: Duration = Duration::from_secs(10);

/// The position of a follower in the hub's sequence of changes. The default is before the first change.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub(crate) struct HubVersion(u64);

/// What a follower has not been told yet.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct HubChanges {
    /// The records that are new or have changed.
    pub records: Vec<EndpointRecord>,
    /// The endpoints that no longer register here.
    pub silent: Vec<EndpointName>,
}

/// The records of the endpoints that registered at this keeper. Followers merge the records of all
/// keepers.
///
/// A follower is told of changes only: a record stands until its endpoint is reported as silent or the
/// follower loses its stream. What unchanged endpoints cost therefore does not grow with the followers.
#[derive(Debug)]
pub struct RegistryHub {
    clock: MonotonicClock,
    content: Mutex<HubContent>,
}

#[derive(Debug, Default)]
struct HubContent {
    registry: EndpointRegistry,
    /// The latest change of each endpoint.
    changes: HashMap<EndpointName, EndpointChange>,
    /// The endpoints in the order of their latest changes.
    order: BTreeMap<HubVersion, EndpointName>,
    newest: HubVersion,
    /// The stages of departing endpoints that a majority of keepers has confirmed.
    confirmed: HashMap<EndpointName, EndpointStage>,
    subscribers: Vec<Sender<()>>,
}

/// The latest change of an endpoint.
#[derive(Clone, Copy, Debug)]
struct EndpointChange {
    version: HubVersion,
    /// True if the endpoint has become silent.
    silent: bool,
}

impl Default for RegistryHub {
    fn default() -> Self {
        RegistryHub { clock: MonotonicClock::start(), content: Mutex::default() }
    }
}

impl RegistryHub {
    /// Merges a record of an endpoint into the registry.
    pub fn register(&self, endpoint: EndpointRecord) -> MergeOutcome {
        self.merge(&mut self.lock(), endpoint, true)
    }

    /// Merges a record, and tells followers of a change if asked.
    fn merge(&self, content: &mut HubContent, endpoint: EndpointRecord, tells: bool) -> MergeOutcome {
        let (name, stage, sequence) = (endpoint.name.clone(), endpoint.stage, endpoint.sequence);
        let (service, cold, version) = (endpoint.service.clone(), endpoint.cold, endpoint.version.clone());
        let outcome = content.registry.merge(self.clock.now(), endpoint);
        if outcome == MergeOutcome::Restarted {
            record(&events::ENDPOINT_RESTARTED, &[field("endpoint", &name), field("sequence", sequence)]);
        }
        if outcome.is_change() {
            let stage = format!("{stage:?}");
            let fields = [
                field("endpoint", &name),
                field("service", service),
                field("stage", stage),
                field("sequence", sequence),
                field("version", version),
            ];
            record(&events::ENDPOINT_STAGE, &fields);
            if !cold.is_zero() {
                let fields = [field("endpoint", &name), field("cold_ms", cold.as_millis())];
                record(&events::ENDPOINT_COLD, &fields);
            }
        }
        let is_unheard = content.is_silent(&name) || !content.is_told(&name);
        let is_news = outcome.is_change() || (outcome == MergeOutcome::Refreshed && is_unheard);
        if is_news && tells {
            content.note_change(&name, false);
            content.notify();
        }
        outcome
    }

    /// Returns the record of the newest start of an endpoint that this keeper knows, by the identity that all its starts
    /// share.
    pub fn newest(&self, identity: &EndpointName) -> Option<EndpointRecord> {
        self.lock().registry.newest(identity).cloned()
    }

    /// Merges the record of a departure that a majority of keepers has confirmed. Followers are told of it if this keeper
    /// vouched for the endpoint or leads; if each keeper told them, it would cost as many messages as there are keepers.
    pub fn confirm(&self, departure: &EndpointRecord, leads: bool) {
        let mut content = self.lock();
        let tells = leads || content.is_told(&departure.name);
        self.merge(&mut content, departure.clone(), tells);
        if content.registry.get(&departure.name).is_some() {
            let confirmed = content.confirmed.entry(departure.name.clone()).or_insert(departure.stage);
            *confirmed = departure.stage.max(*confirmed);
        }
    }

    /// Merges the departures that a keeper finds in its files.
    pub(crate) fn restore_departures(&self, departures: &ConfirmedDepartures) {
        departures.iter().for_each(|departure| self.confirm(departure, false));
    }

    /// Tells followers of all departures that they have not heard from this keeper. Called when it becomes the leader: the
    /// keepers that told them may be lost.
    pub(crate) fn announce_departures(&self, departures: &ConfirmedDepartures) {
        let mut content = self.lock();
        let untold: Vec<EndpointName> = departures
            .iter()
            .map(|departure| &departure.name)
            .filter(|name| content.registry.get(name).is_some() && !content.is_told(name))
            .cloned()
            .collect();
        untold.iter().for_each(|name| content.note_change(name, false));
        content.notify();
    }

    /// Returns the record of an endpoint that is departing unless a majority of keepers has confirmed its stage.
    pub fn unconfirmed_departure(&self, name: &EndpointName) -> Option<EndpointRecord> {
        let content = self.lock();
        let record = content.registry.get(name).filter(|record| record.stage != EndpointStage::Serving)?;
        let is_confirmed = content.confirmed.get(name).is_some_and(|stage| *stage >= record.stage);
        (!is_confirmed).then(|| record.clone())
    }

    /// Notes which endpoints have become silent, and removes records that have expired.
    pub(crate) fn sweep(&self) {
        let mut content = self.lock();
        let content = &mut *content;
        let now = self.clock.now();
        let is_overdue = |endpoint: &&EndpointRecord| {
            let age = content.registry.age(now, &endpoint.name);
            endpoint.stage != EndpointStage::Left && age.is_some_and(|age| age > MAX_SILENCE)
        };
        let overdue = content.registry.iter().filter(is_overdue).map(|endpoint| endpoint.name.clone());
        let is_news = |name: &EndpointName| content.is_told(name) && !content.is_silent(name);
        let silent: Vec<EndpointName> = overdue.filter(is_news).collect();
        for name in &silent {
            content.note_change(name, true);
        }
        if !silent.is_empty() {
            content.notify();
        }
        content.remove_expired(&self.clock);
    }

    /// Returns a channel that receives a message after a record has changed.
    pub(crate) fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.lock().subscribers.push(sender);
        receiver
    }

    /// Returns the next changes after a version, of up to `limit` endpoints, and the version after them.
    pub(crate) fn changes_since(&self, version: HubVersion, limit: usize) -> (HubChanges, HubVersion) {
        let content = self.lock();
        let now = self.clock.now();
        let mut changes = HubChanges::default();
        let mut reached = version;
        let after = std::ops::Bound::Excluded(version);
        for (version, name) in content.order.range((after, std::ops::Bound::Unbounded)).take(limit) {
            reached = *version;
            match content.registry.get(name) {
                Some(endpoint) if !content.is_silent(name) => {
                    changes.records.push(content.registry.with_remaining_cold(now, endpoint))
                }
                _ => changes.silent.push(name.clone()),
            }
        }
        (changes, reached)
    }

    fn lock(&self) -> MutexGuard<'_, HubContent> {
        self.content.lock().expect("no holder of the registry panics")
    }
}

impl HubContent {
    /// Returns true if followers have heard of an endpoint from this keeper.
    fn is_told(&self, name: &EndpointName) -> bool {
        self.changes.contains_key(name)
    }

    fn is_silent(&self, name: &EndpointName) -> bool {
        self.changes.get(name).is_some_and(|change| change.silent)
    }

    fn note_change(&mut self, name: &EndpointName, silent: bool) {
        self.newest.0 += 1;
        let change = EndpointChange { version: self.newest, silent };
        if let Some(before) = self.changes.insert(name.clone(), change) {
            self.order.remove(&before.version);
        }
        self.order.insert(self.newest, name.clone());
    }

    fn notify(&mut self) {
        self.subscribers.retain(|subscriber| !subscriber.is_closed());
        for subscriber in &self.subscribers {
            let _ = subscriber.try_send(());
        }
    }

    /// Removes expired records. Followers were told earlier that their endpoints are silent, or remember themselves
    /// that they left.
    fn remove_expired(&mut self, clock: &MonotonicClock) {
        if self.registry.expire(clock.now(), RECORD_TTL) {
            let registry = &self.registry;
            self.changes.retain(|name, _| registry.get(name).is_some());
            self.order.retain(|_, name| registry.get(name).is_some());
            self.confirmed.retain(|name, _| registry.get(name).is_some());
        }
    }
}
