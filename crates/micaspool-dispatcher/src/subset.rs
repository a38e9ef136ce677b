//! Which engines a dispatcher inside a router uses.
//!
//! While no other dispatcher is reached, each router orders its own requests. If all of them used
//! every engine, none would know what the others send, and together they would ask each engine for its
//! load and its kept parts many times over. So each uses a few, those of its own hall first: they are
//! the ones that it reaches when the hall is cut off.

use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_types::{rendezvous_score, HallName, InstanceName};
use std::cmp::Reverse;

/// How many engines a router uses on its own. All of a small site's; on a site of 90 engines and 55
/// routers an engine is then used by seven routers on average.
const MAX_ENGINES: usize = 12;

/// The choice of one router.
#[derive(Debug, Clone)]
pub struct EngineSubset {
    /// The router's instance; different routers choose different engines.
    pub instance: InstanceName,
    /// The router's hall.
    pub hall: HallName,
}

impl EngineSubset {
    /// The serving engines that the router uses, by rendezvous hashing, so that one that comes or goes
    /// changes one place only.
    pub fn choose(&self, engines: Vec<EndpointRecord>) -> Vec<EndpointRecord> {
        let mut serving: Vec<EndpointRecord> =
            engines.into_iter().filter(|engine| engine.stage == EndpointStage::Serving).collect();
        let score = |engine: &EndpointRecord| rendezvous_score(self.instance.as_str(), engine.name.as_str());
        serving.sort_by_cached_key(|engine| (engine.hall != self.hall, Reverse(score(engine))));
        serving.truncate(MAX_ENGINES);
        serving
    }
}
