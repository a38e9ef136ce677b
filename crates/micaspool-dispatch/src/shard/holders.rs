//! Index of the engines that cache each prompt part, so that choosing an engine need not search all of
//! them.

use super::endpoints::EndpointIndex;
use super::engine::PartChange;
use foldhash::HashMap;

/// The engines that cache each part, in the order in which they cached it.
#[derive(Debug, Default)]
pub(super) struct PartHolders {
    engines: HashMap<u64, Vec<EndpointIndex>>,
}

impl PartHolders {
    /// The engines that cache a part.
    pub fn of(&self, prefix: u64) -> &[EndpointIndex] {
        self.engines.get(&prefix).map_or(&[], Vec::as_slice)
    }

    /// Applies the changes of one engine's cache and clears `changes`.
    pub fn apply_changes(&mut self, engine: EndpointIndex, changes: &mut Vec<PartChange>) {
        for change in changes.drain(..) {
            match change {
                PartChange::Added(prefix) => self.engines.entry(prefix).or_default().push(engine),
                PartChange::Removed(prefix) => self.forget(prefix, engine),
            }
        }
    }

    fn forget(&mut self, prefix: u64, engine: EndpointIndex) {
        let Some(engines) = self.engines.get_mut(&prefix) else { return };
        engines.retain(|other| *other != engine);
        if engines.is_empty() {
            self.engines.remove(&prefix);
        }
    }
}
