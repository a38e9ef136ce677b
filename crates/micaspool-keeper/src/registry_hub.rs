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
const RECORD_LIFE: Duration = Duration::from_secs(60);

/// Marks what a follower has been told. Both numbers rise with each record that comes in.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) struct HubCursor {
    /// Up to where it knows what endpoints said that was new.
    changed: u64,
    /// Up to where it knows that they were heard at all.
    heard: u64,
}

/// Which records a follower is told.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum HubScope {
    /// Those that say something new.
    Changed,
    /// All that were heard, so that the follower does not take an endpoint for silent.
    Heard,
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
    heard: HashMap<EndpointName, u64>,
    /// At which version each endpoint said something new last.
    changed: HashMap<EndpointName, u64>,
    version: u64,
    listeners: Vec<Sender<()>>,
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
            content.note_heard(&name);
        }
        if outcome == MergeOutcome::Restarted {
            record(&events::ENDPOINT_RESTARTED, &[field("endpoint", &name), field("sequence", sequence)]);
        }
        if outcome.is_change() {
            content.note_changed(&name);
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
        content.forget_silent(&self.clock);
        outcome
    }

    /// Notes that an endpoint has left, by the name that its starts share. One that never registered here is known by its name alone,
    /// which is no use to anyone, so the caller may ask it to register elsewhere first.
    pub fn leave(&self, identity: &EndpointName) -> bool {
        let mut content = self.lock();
        let Some(name) = content.registry.leave(self.clock.now(), identity) else { return false };
        content.note_heard(&name);
        content.note_changed(&name);
        let stage = format!("{:?}", EndpointStage::Left);
        record(&events::ENDPOINT_STAGE, &[field("endpoint", &name), field("stage", stage)]);
        content.notify();
        true
    }

    /// A channel that gets a message after an endpoint has said something new.
    pub(crate) fn listen(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.lock().listeners.push(sender);
        receiver
    }

    /// The records of a scope that came in after a cursor, and the cursor after them.
    pub(crate) fn since(&self, cursor: HubCursor, scope: HubScope) -> (Vec<EndpointRecord>, HubCursor) {
        let content = self.lock();
        let (versions, seen) = match scope {
            HubScope::Changed => (&content.changed, cursor.changed),
            HubScope::Heard => (&content.heard, cursor.heard),
        };
        let newer =
            |endpoint: &&EndpointRecord| versions.get(&endpoint.name).is_some_and(|version| *version > seen);
        let now = self.clock.now();
        let told = |record: &EndpointRecord| content.registry.with_cold_left(now, record);
        let records = content.registry.iter().filter(newer).map(told).collect();
        let heard = match scope {
            HubScope::Changed => cursor.heard,
            HubScope::Heard => content.version,
        };
        (records, HubCursor { changed: content.version, heard })
    }

    fn lock(&self) -> MutexGuard<'_, HubContent> {
        self.content.lock().expect("no holder of the registry panics")
    }
}

impl HubContent {
    fn note_heard(&mut self, name: &EndpointName) {
        self.version += 1;
        self.heard.insert(name.clone(), self.version);
    }

    fn note_changed(&mut self, name: &EndpointName) {
        self.changed.insert(name.clone(), self.version);
    }

    fn notify(&mut self) {
        self.listeners.retain(|listener| !listener.is_closed());
        for listener in &self.listeners {
            let _ = listener.try_send(());
        }
    }

    fn forget_silent(&mut self, clock: &MonotonicClock) {
        if self.registry.expire(clock.now(), RECORD_LIFE) {
            let registry = &self.registry;
            self.heard.retain(|name, _| registry.get(name).is_some());
            self.changed.retain(|name, _| registry.get(name).is_some());
        }
    }
}
