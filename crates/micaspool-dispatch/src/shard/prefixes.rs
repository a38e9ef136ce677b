//! Which endpoint is thought to hold a prompt prefix in its cache.

use super::endpoints::EndpointIndex;
use std::collections::{HashMap, VecDeque};

/// Prefix hashes and the endpoint that used each last; the oldest entries go first.
#[derive(Debug)]
pub(super) struct PrefixIndex {
    holders: HashMap<u64, EndpointIndex>,
    recency: VecDeque<u64>,
    capacity: usize,
}

impl PrefixIndex {
    pub fn new(capacity: usize) -> PrefixIndex {
        PrefixIndex { holders: HashMap::new(), recency: VecDeque::new(), capacity }
    }

    pub fn holder(&self, prefix: u64) -> Option<EndpointIndex> {
        self.holders.get(&prefix).copied()
    }

    /// Notes that an endpoint holds these prefixes.
    pub fn remember(&mut self, prefixes: &[u64], endpoint: EndpointIndex) {
        for prefix in prefixes {
            if self.holders.insert(*prefix, endpoint).is_none() {
                self.recency.push_back(*prefix);
            }
        }
        while self.recency.len() > self.capacity {
            let oldest = self.recency.pop_front().expect("the list is longer than its capacity");
            self.holders.remove(&oldest);
        }
    }

    /// Notes that an endpoint no longer holds these prefixes.
    pub fn drop_from(&mut self, prefixes: &[u64], endpoint: EndpointIndex) {
        for prefix in prefixes {
            if self.holders.get(prefix) == Some(&endpoint) {
                self.holders.remove(prefix);
                self.recency.retain(|other| other != prefix);
            }
        }
    }
}
