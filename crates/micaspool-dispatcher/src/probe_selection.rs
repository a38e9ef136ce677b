//! Selects the engines whose load and cache are asked for.
//!
//! Asking takes processor time here and at the engine. The few engines of a small fleet are all asked, so that the work of
//! other dispatchers is known everywhere. Of many engines only those are asked that this shard uses: the state of an idle
//! one affects a decision only once it gets work.

use micaspool_clock::BootInstant;
use micaspool_dispatch::{EndpointClosure, EndpointStatus};
use micaspool_types::EndpointName;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// The number of engines up to which all are asked: a round at the smallest spacing of probes takes one second.
const MAX_ASKED_UNUSED: usize = 100;
/// How long an engine counts as used after its last request has ended.
const USE_RETENTION: Duration = Duration::from_secs(10);

/// The engines to ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeSelection {
    /// All engines of the service.
    All,
    /// The engines with these names.
    Only(BTreeSet<EndpointName>),
}

/// Tracks which engines a shard uses.
#[derive(Debug, Default)]
pub struct UsedEngines {
    used_at: HashMap<EndpointName, BootInstant>,
}

impl UsedEngines {
    /// Returns the engines to ask now, given the state of all endpoints of the shard.
    pub fn select(&mut self, now: BootInstant, endpoints: &[EndpointStatus]) -> ProbeSelection {
        for endpoint in endpoints.iter().filter(|endpoint| needs_reports(endpoint)) {
            self.used_at.insert(endpoint.name.clone(), now);
        }
        self.used_at.retain(|_, used_at| now.saturating_duration_since(*used_at) <= USE_RETENTION);
        if endpoints.len() <= MAX_ASKED_UNUSED {
            return ProbeSelection::All;
        }
        ProbeSelection::Only(self.used_at.keys().cloned().collect())
    }
}

/// True if the endpoint runs requests of this shard, or is closed until a load report says that it no longer drains.
fn needs_reports(endpoint: &EndpointStatus) -> bool {
    endpoint.busy > 0 || endpoint.closure == Some(EndpointClosure::Draining)
}
