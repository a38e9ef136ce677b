//! Model of the prompt parts that an engine has cached.

use super::engine::PartChange;
use foldhash::HashMap;
use std::collections::BTreeMap;

/// Cached parts with least recently used eviction.
#[derive(Debug, Default)]
pub(super) struct PartCache {
    parts: HashMap<u64, PartEntry>,
    recency: BTreeMap<u64, u64>,
    tokens: u64,
    use_counter: u64,
}

#[derive(Debug)]
struct PartEntry {
    tokens: u64,
    last_used: u64,
    /// True once a first event or a report of the engine shows that it has the part. Until then the part may
    /// still be prefilled or copied.
    is_present: bool,
}

impl PartCache {
    pub fn has(&self, prefix: u64) -> bool {
        self.parts.contains_key(&prefix)
    }

    pub fn touch(&mut self, prefix: u64, tokens: u64, changes: &mut Vec<PartChange>) {
        self.use_counter += 1;
        let last_used = self.use_counter;
        match self.parts.get_mut(&prefix) {
            Some(part) => {
                self.recency.remove(&part.last_used);
                part.last_used = last_used;
            }
            None => {
                self.parts.insert(prefix, PartEntry { tokens, last_used, is_present: false });
                self.tokens += tokens;
                changes.push(PartChange::Added(prefix));
            }
        }
        self.recency.insert(last_used, prefix);
    }

    /// True if the engine is known to have the part already.
    pub fn is_present(&self, prefix: u64) -> bool {
        self.parts.get(&prefix).is_some_and(|part| part.is_present)
    }

    /// Sets whether the engine is known to have the part, if the model contains it.
    pub fn set_present(&mut self, prefix: u64, is_present: bool) {
        if let Some(part) = self.parts.get_mut(&prefix) {
            part.is_present = is_present;
        }
    }

    /// Removes a part.
    pub fn drop(&mut self, prefix: u64, changes: &mut Vec<PartChange>) {
        let Some(part) = self.parts.remove(&prefix) else { return };
        self.recency.remove(&part.last_used);
        self.tokens -= part.tokens;
        changes.push(PartChange::Removed(prefix));
    }

    /// Removes all parts.
    pub fn clear(&mut self, changes: &mut Vec<PartChange>) {
        self.shrink(0, changes);
    }

    pub fn shrink(&mut self, limit: u64, changes: &mut Vec<PartChange>) {
        while self.tokens > limit {
            let Some((_, prefix)) = self.recency.pop_first() else { return };
            if let Some(part) = self.parts.remove(&prefix) {
                self.tokens -= part.tokens;
                changes.push(PartChange::Removed(prefix));
            }
        }
    }
}
