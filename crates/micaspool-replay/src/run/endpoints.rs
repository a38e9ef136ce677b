//! Simulated endpoints: slots, delivery in steps and a prefix cache of limited size.

use super::setup::endpoint_name;
use crate::trace::TraceHeader;
use micaspool_dispatch::CacheUpdate;
use micaspool_types::RequestId;
use std::collections::{BTreeMap, VecDeque};

/// The number of prefixes that the cache of an endpoint holds.
const CACHED_PREFIXES: usize = 48;

#[derive(Debug)]
struct RunningRequest {
    endpoint: usize,
    cost: u64,
    delivered: u64,
    run: u64,
}

#[derive(Debug, Default)]
struct FakeEndpoint {
    down: bool,
    running: u32,
    cache: VecDeque<u64>,
}

/// All endpoints of a replay.
#[derive(Debug)]
pub(super) struct FakeEndpoints {
    endpoints: Vec<FakeEndpoint>,
    requests: BTreeMap<RequestId, RunningRequest>,
    slots: u32,
    halls: usize,
    next_run: u64,
}

impl FakeEndpoints {
    pub fn new(header: &TraceHeader) -> FakeEndpoints {
        FakeEndpoints {
            endpoints: (0..header.endpoints).map(|_| FakeEndpoint::default()).collect(),
            requests: BTreeMap::new(),
            slots: header.slots,
            halls: header.halls,
            next_run: 1,
        }
    }

    pub fn is_up(&self, endpoint: usize) -> bool {
        !self.endpoints[endpoint].down
    }

    pub fn is_full(&self, endpoint: usize) -> bool {
        self.endpoints[endpoint].running >= self.slots
    }

    pub fn running(&self, endpoint: usize) -> u32 {
        self.endpoints[endpoint].running
    }

    /// The number of busy slots and of all slots at the running endpoints of these halls, a bit mask.
    pub fn slots_in(&self, halls: u32) -> (u32, u32) {
        let in_halls =
            self.endpoints.iter().enumerate().filter(|(number, _)| halls & (1 << (number % self.halls)) != 0);
        in_halls
            .filter(|(_, endpoint)| !endpoint.down)
            .fold((0, 0), |(busy, all), (_, endpoint)| (busy + endpoint.running, all + self.slots))
    }

    /// Starts a request. Returns whether its longest prefix was cached, and the change of the cache.
    pub fn start(
        &mut self,
        endpoint: usize,
        request: RequestId,
        cost: u64,
        prefixes: &[u64],
    ) -> (bool, CacheUpdate) {
        let run = self.next_run;
        self.next_run += 1;
        self.requests.insert(request, RunningRequest { endpoint, cost, delivered: 0, run });
        let target = &mut self.endpoints[endpoint];
        target.running += 1;
        let is_hit = prefixes.last().is_some_and(|prefix| target.cache.contains(prefix));
        target.cache.retain(|cached| !prefixes.contains(cached));
        target.cache.extend(prefixes);
        let surplus = target.cache.len().saturating_sub(CACHED_PREFIXES);
        let dropped = target.cache.drain(..surplus).collect();
        let (endpoint, stored) = (endpoint_name(endpoint), prefixes.to_vec());
        (is_hit, CacheUpdate { endpoint, stored, dropped, cached_parts: Vec::new(), whole: false })
    }

    /// The number of the current run of a request, or zero if it is not running.
    pub fn run_number(&self, request: RequestId) -> u64 {
        self.requests.get(&request).map_or(0, |running| running.run)
    }

    pub fn remaining(&self, request: RequestId) -> u64 {
        self.requests.get(&request).map_or(0, |running| running.cost - running.delivered)
    }

    pub fn delivered(&self, request: RequestId) -> u64 {
        self.requests.get(&request).map_or(0, |running| running.delivered)
    }

    /// Delivers up to `limit` units of a request and returns how many were delivered.
    pub fn deliver(&mut self, request: RequestId, limit: u64) -> u64 {
        let Some(running) = self.requests.get_mut(&request) else { return 0 };
        let step = (running.cost - running.delivered).min(limit);
        running.delivered += step;
        step
    }

    /// Finishes a request and returns its cost.
    pub fn finish(&mut self, request: RequestId) -> u64 {
        let Some(running) = self.requests.remove(&request) else { return 0 };
        self.endpoints[running.endpoint].running -= 1;
        running.cost
    }

    /// Takes an endpoint down and returns the requests that ran there.
    pub fn fail_endpoint(&mut self, endpoint: usize) -> Vec<RequestId> {
        let lost = self.requests.iter().filter(|(_, running)| running.endpoint == endpoint);
        let lost: Vec<RequestId> = lost.map(|(request, _)| *request).collect();
        for request in &lost {
            self.requests.remove(request);
        }
        self.endpoints[endpoint] = FakeEndpoint { down: true, ..FakeEndpoint::default() };
        lost
    }

    pub fn restore(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.down = false;
        }
    }
}
