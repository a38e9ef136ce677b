//! Index of the endpoints that are assumed to have a prompt prefix cached.

use super::endpoints::EndpointIndex;
use foldhash::HashMap;
use std::collections::VecDeque;

/// The last endpoint that used each prefix, by hash. When full, the entry that was added first is
/// evicted.
#[derive(Debug)]
pub(super) struct PrefixIndex {
    holders: HashMap<u64, EndpointIndex>,
    insertion_order: VecDeque<u64>,
    capacity: usize,
}

impl PrefixIndex {
    pub fn new(capacity: usize) -> PrefixIndex {
        PrefixIndex { holders: HashMap::default(), insertion_order: VecDeque::new(), capacity }
    }

    pub fn holder(&self, prefix: u64) -> Option<EndpointIndex> {
        self.holders.get(&prefix).copied()
    }

    /// Records that an endpoint has these prefixes cached.
    pub fn remember(&mut self, prefixes: &[u64], endpoint: EndpointIndex) {
        for prefix in prefixes {
            if self.holders.insert(*prefix, endpoint).is_none() {
                self.insertion_order.push_back(*prefix);
            }
        }
        while self.insertion_order.len() > self.capacity {
            let oldest = self.insertion_order.pop_front().expect("the list is longer than its capacity");
            self.holders.remove(&oldest);
        }
    }

    /// Records that an endpoint no longer has these prefixes cached.
    pub fn drop_from(&mut self, prefixes: &[u64], endpoint: EndpointIndex) {
        for prefix in prefixes {
            if self.holders.get(prefix) == Some(&endpoint) {
                self.holders.remove(prefix);
                self.insertion_order.retain(|other| other != prefix);
            }
        }
    }
}
