//! The endpoints that registered at this keeper, and who wants to hear of them.

use crate::clock::MonotonicClock;
use async_std::channel::{bounded, Receiver, Sender};
use micaspool_registry::{EndpointRecord, EndpointRegistry, EndpointStage, MergeOutcome};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::EndpointName;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// How long an endpoint may be silent at this keeper before it is forgotten here. Others may hear it
/// elsewhere, so this only bounds memory.
const RECORD_TTL: Duration = Duration::from_secs(60);

/// Marks what a follower has been told. Both numbers rise with each record that comes in.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) struct HubCursor {
    /// Up to where it knows what endpoints said that was new.
    changed: u64,
    /// Up to where it knows that they were heard at all.
    received: u64,
}

/// Which records a follower is told.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum HubScope {
    /// Those that say something new.
    Changed,
    /// All that were heard, so that the follower does not take an endpoint for silent.
    Received,
}

/// What this keeper heard from endpoints. Followers merge what all keepers heard.
#[derive(Debug)]
pub struct RegistryHub {
    clock: MonotonicClock,
    content: Mutex<HubContent>,
}

#[derive(Debug, Default)]
struct HubContent {
    registry: EndpointRegistry,
    /// At which version each endpoint was heard last.
    received: HashMap<EndpointName, u64>,
    /// At which version each endpoint said something new last.
    changed: HashMap<EndpointName, u64>,
    version: u64,
    subscribers: Vec<Sender<()>>,
}

impl Default for RegistryHub {
    fn default() -> Self {
        RegistryHub { clock: MonotonicClock::start(), content: Mutex::default() }
    }
}

impl RegistryHub {
    /// Takes a record of an endpoint in.
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
        if outcome.is_news() {
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

    /// Notes that an endpoint has left, by the name that its starts share. One that never registered here is known by its name alone,
    /// which is no use to anyone, so the caller may ask it to register elsewhere first.
    pub fn leave(&self, identity: &EndpointName) -> bool {
        let mut content = self.lock();
        let Some(name) = content.registry.leave(self.clock.now(), identity) else { return false };
        content.mark_received(&name);
        content.mark_changed(&name);
        let stage = format!("{:?}", EndpointStage::Left);
        record(&events::ENDPOINT_STAGE, &[field("endpoint", &name), field("stage", stage)]);
        content.notify();
        true
    }

    /// A channel that gets a message after an endpoint has said something new.
    pub(crate) fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.lock().subscribers.push(sender);
        receiver
    }

    /// The records of a scope that came in after a cursor, and the cursor after them.
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
        let newer =
            |endpoint: &&EndpointRecord| versions.get(&endpoint.name).is_some_and(|version| *version > seen);
        let now = self.clock.now();
        let outgoing = |record: &EndpointRecord| content.registry.told(now, record);
        let records = content.registry.iter().filter(newer).map(outgoing).collect();
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
