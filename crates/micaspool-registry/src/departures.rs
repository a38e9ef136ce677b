//! The departures that a majority of keepers has confirmed.

use crate::record::{EndpointRecord, EndpointStage};
use micaspool_types::EndpointName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How long a departure is remembered, in milliseconds. Endpoints end within seconds of it.
const RETENTION_MILLIS: u64 = 120_000;
/// The maximum number of remembered departures. Beyond it the oldest are forgotten.
const MAX_DEPARTURES: usize = 16_384;

/// A replicated command: a start of an endpoint finishes its requests, or has deregistered. Keepers have its encoding on
/// their disks.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct DepartureCommand {
    /// The record of the endpoint with the stage that it announced.
    pub record: EndpointRecord,
    /// When the command was proposed, in milliseconds since the Unix epoch by the clock of the leading keeper.
    pub at_millis: u64,
}

/// The endpoints that announced their departure lately: a deterministic state machine that keepers replicate.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct ConfirmedDepartures {
    /// The latest time of any command. It never decreases, although the clocks of leaders differ.
    newest_millis: u64,
    /// The departures by the name of the start.
    departures: BTreeMap<EndpointName, DepartureCommand>,
    /// The names of the starts in the order of their commands.
    order: BTreeSet<(u64, EndpointName)>,
}

impl ConfirmedDepartures {
    /// Remembers a departure. A start that has left does not return to draining, and one that serves is no departure.
    pub fn accept(&mut self, command: &DepartureCommand) {
        let stage = command.record.stage;
        if stage == EndpointStage::Serving {
            return;
        }
        self.newest_millis = self.newest_millis.max(command.at_millis);
        let name = command.record.name.clone();
        if let Some(known) = self.departures.get(&name) {
            if known.record.stage > stage {
                return;
            }
            self.order.remove(&(known.at_millis, name.clone()));
        }
        let at_millis = self.newest_millis;
        self.order.insert((at_millis, name.clone()));
        self.departures.insert(name, DepartureCommand { at_millis, ..command.clone() });
        self.forget_old();
    }

    /// Iterates over the records of the remembered departures in name order.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.departures.values().map(|departure| &departure.record)
    }

    fn forget_old(&mut self) {
        while let Some((at_millis, _)) = self.order.first() {
            let is_old = self.newest_millis - at_millis > RETENTION_MILLIS;
            if !is_old && self.departures.len() <= MAX_DEPARTURES {
                return;
            }
            let (_, name) = self.order.pop_first().expect("the set is not empty");
            self.departures.remove(&name);
        }
    }
}
