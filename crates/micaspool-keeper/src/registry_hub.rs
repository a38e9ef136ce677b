//! Registry of the endpoints that registered at this keeper, with subscriptions to its changes.

use crate::clock::MonotonicClock;
use async_std::channel::{bounded, Receiver, Sender};
use micaspool_registry::{EndpointRecord, EndpointRegistry, EndpointStage, MergeOutcome};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::EndpointName;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// How long a record is kept after its endpoint last registered at this keeper. The endpoint may
/// register at other keepers, so this only bounds memory.
const RECORD_TTL: Duration = Duration::from_secs(60);

/// Marks which records a follower has been sent, by the version of [`RegistryHub`] at that time.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) struct HubCursor {
    /// The version up to which it has been sent changed records.
    changed: u64,
    /// The version up to which it has been sent all records, changed or not.
    received: u64,
}

/// Selects the records to send to a follower.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum HubScope {
    /// Records that changed.
    Changed,
    /// All records received, changed or not, so that the follower does not consider an endpoint lost.
    Received,
}

/// The records of the endpoints that registered at this keeper. Followers merge the records of all
/// keepers.
#[derive(Debug)]
pub struct RegistryHub {
    clock: MonotonicClock,
    content: Mutex<HubContent>,
}

#[derive(Debug, Default)]
struct HubContent {
    registry: EndpointRegistry,
    /// The version at which each endpoint last registered.
    received: HashMap<EndpointName, u64>,
    /// The version at which each endpoint last changed.
    changed: HashMap<EndpointName, u64>,
    /// Incremented each time an endpoint registers or is marked as left.
    version: u64,
    subscribers: Vec<Sender<()>>,
}

impl Default for RegistryHub {
    fn default() -> Self {
        RegistryHub { clock: MonotonicClock::start(), content: Mutex::default() }
    }
}

impl RegistryHub {
    /// Merges a record of an endpoint into the registry.
    pub fn register(&self, endpoint: EndpointRecord) -> MergeOutcome {
        let mut content = self.lock();
        let (name, stage, sequence) = (endpoint.name.clone(), endpoint.stage, endpoint.sequence);
        let (service, cold) = (endpoint.service.clone(), endpoint.cold);
        let outcome = content.registry.merge(self.clock.now(), endpoint);
        if outcome != MergeOutcome::Stale {
            content.mark_received(&name);
        }
        if outcome == MergeOutcome::Restarted {
            record(&events::ENDPOINT_RESTARTED, &[field("endpoint", &name), field("sequence", sequence)]);
        }
        if outcome.is_change() {
            content.mark_changed(&name);
            let stage = format!("{stage:?}");
            let fields = [
                field("endpoint", &name),
                field("service", service),
                field("stage", stage),
                field("sequence", sequence),
            ];
            record(&events::ENDPOINT_STAGE, &fields);
            if !cold.is_zero() {
                let fields = [field("endpoint", &name), field("cold_ms", cold.as_millis())];
                record(&events::ENDPOINT_COLD, &fields);
            }
            content.notify();
        }
        content.remove_expired(&self.clock);
        outcome
    }

    /// Marks an endpoint as left, by the identity that all its starts share. Returns false if this keeper
    /// has no record of it. A record cannot be made from the identity alone, so the caller must then look
    /// for one elsewhere.
    pub fn deregister(&self, identity: &EndpointName) -> bool {
        let mut content = self.lock();
        let Some(name) = content.registry.deregister(self.clock.now(), identity) else { return false };
        content.mark_received(&name);
        content.mark_changed(&name);
        let stage = format!("{:?}", EndpointStage::Left);
        record(&events::ENDPOINT_STAGE, &[field("endpoint", &name), field("stage", stage)]);
        content.notify();
        true
    }

    /// Returns a channel that receives a message after a record has changed.
    pub(crate) fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.lock().subscribers.push(sender);
        receiver
    }

    /// Returns the records of a scope that are newer than a cursor, and the cursor after them.
    pub(crate) fn records_since(
        &self,
        cursor: HubCursor,
        scope: HubScope,
    ) -> (Vec<EndpointRecord>, HubCursor) {
        let content = self.lock();
        let (versions, seen) = match scope {
            HubScope::Changed => (&content.changed, cursor.changed),
            HubScope::Received => (&content.received, cursor.received),
        };
        let is_newer =
            |endpoint: &&EndpointRecord| versions.get(&endpoint.name).is_some_and(|version| *version > seen);
        let now = self.clock.now();
        let outgoing = |record: &EndpointRecord| content.registry.with_remaining_cold(now, record);
        let records = content.registry.iter().filter(is_newer).map(outgoing).collect();
        let received = match scope {
            HubScope::Changed => cursor.received,
            HubScope::Received => content.version,
        };
        (records, HubCursor { changed: content.version, received })
    }

    fn lock(&self) -> MutexGuard<'_, HubContent> {
        self.content.lock().expect("no holder of the registry panics")
    }
}

impl HubContent {
    fn mark_received(&mut self, name: &EndpointName) {
        self.version += 1;
        self.received.insert(name.clone(), self.version);
    }

    fn mark_changed(&mut self, name: &EndpointName) {
        self.changed.insert(name.clone(), self.version);
    }

    fn notify(&mut self) {
        self.subscribers.retain(|subscriber| !subscriber.is_closed());
        for subscriber in &self.subscribers {
            let _ = subscriber.try_send(());
        }
    }

    fn remove_expired(&mut self, clock: &MonotonicClock) {
        if self.registry.expire(clock.now(), RECORD_TTL) {
            let registry = &self.registry;
            self.received.retain(|name, _| registry.get(name).is_some());
            self.changed.retain(|name, _| registry.get(name).is_some());
        }
    }
}
