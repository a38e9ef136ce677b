//! Which engines keep a prompt part, so that choosing one need not look at all of them.

use super::endpoints::EndpointIndex;
use super::engine::PartChange;
use std::collections::HashMap;

/// The engines that keep each part, the one that kept it first in front.
#[derive(Debug, Default)]
pub(super) struct PartHolders {
    engines: HashMap<u64, Vec<EndpointIndex>>,
}

impl PartHolders {
    /// The engines that keep a part.
    pub fn of(&self, prefix: u64) -> &[EndpointIndex] {
        self.engines.get(&prefix).map_or(&[], Vec::as_slice)
    }

    /// Takes over what changed at one engine.
    pub fn take(&mut self, engine: EndpointIndex, changes: &mut Vec<PartChange>) {
        for change in changes.drain(..) {
            match change {
                PartChange::Kept(prefix) => self.engines.entry(prefix).or_default().push(engine),
                PartChange::Dropped(prefix) => self.forget(prefix, engine),
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
