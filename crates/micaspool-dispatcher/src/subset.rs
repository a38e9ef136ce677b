//! Selects the engines that a dispatcher inside a router uses.
//!
//! While a router reaches no other dispatcher, it schedules its own requests. If all such routers used every engine,
//! none would know what the others send, and together they would request each engine's load and cache contents many
//! times over. So each uses only some engines, those of its own data hall first, since it still reaches them when the
//! hall is cut off.

use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_types::{rendezvous_score, HallName, InstanceName};
use std::cmp::Reverse;

/// The maximum number of engines that a router uses on its own. A small site has fewer; on a site of 90 engines and
/// 55 routers, seven routers on average use the same engine.
const MAX_ENGINES: usize = 12;

/// Selects the engines of one router.
#[derive(Debug, Clone)]
pub struct EngineSubset {
    /// The router's instance, by which routers choose different engines.
    pub instance: InstanceName,
    /// The router's data hall.
    pub hall: HallName,
}

impl EngineSubset {
    /// Returns the serving engines that the router uses. They are ranked by rendezvous hashing, so that an engine that
    /// is added or removed replaces at most one other.
    pub fn choose(&self, engines: Vec<EndpointRecord>) -> Vec<EndpointRecord> {
        let mut serving: Vec<EndpointRecord> =
            engines.into_iter().filter(|engine| engine.stage == EndpointStage::Serving).collect();
        let score = |engine: &EndpointRecord| rendezvous_score(self.instance.as_str(), engine.name.as_str());
        serving.sort_by_cached_key(|engine| (engine.hall != self.hall, Reverse(score(engine))));
        serving.truncate(MAX_ENGINES);
        serving
    }
}
