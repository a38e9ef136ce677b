//! The replicated state machine of the settings tree, which accepts or rejects changes and recognises resends.
//!
//! A change names the revision that it is based on. It is accepted only if that revision is
//! still the newest and the resulting tree is valid. A resend with the same id and content
//! gets the outcome of the first submission, within a window of [`REMEMBERED_CHANGES`] changes.

mod change;

pub use change::{AcceptedChange, ChangeDigest, Error, SettingsChange, SettingsUpdate};

use crate::merge::merge_patch;
use crate::policy::compile_tree;
use micaspool_types::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::VecDeque;

/// The number of accepted changes that are kept to answer resends and to send patches to watchers.
pub const REMEMBERED_CHANGES: usize = 2_048;
/// The maximum number of patches sent to a watcher that is behind; beyond it, the watcher gets the whole tree.
const MAX_PATCHES: u64 = 128;

/// The settings tree with its revision and its latest changes.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct SettingsState {
    revision: Revision,
    tree: String,
    changes: VecDeque<AcceptedChange>,
}

impl SettingsState {
    /// Returns the current revision, which is the number of accepted changes.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the tree as JSON; an empty object before the first change.
    pub fn tree(&self) -> Value {
        serde_json::from_str(&self.tree).unwrap_or_else(|_| Value::Object(Default::default()))
    }

    /// Iterates over the accepted changes that are still remembered, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &AcceptedChange> {
        self.changes.iter()
    }

    /// Checks whether a change would leave the tree valid. A change on any base but the newest revision
    /// passes this check: [`SettingsState::accept`] rejects it.
    pub fn check(&self, change: &SettingsChange) -> Result<(), Error> {
        if change.base != self.revision {
            return Ok(());
        }
        let tree = self.apply_patch(change)?;
        compile_tree(Revision(self.revision.0 + 1), &tree).map(|_| ()).map_err(Error::Invalid)
    }

    /// Accepts or rejects a change that was checked before with [`SettingsState::check`]. A resend gets the outcome of
    /// the first submission. The check is not part of this transition, so that keepers of different versions, whose
    /// checks may differ, never reach different states.
    pub fn accept(&mut self, change: &SettingsChange) -> Result<Revision, Error> {
        if let Some(outcome) = self.find_earlier_outcome(change) {
            return outcome;
        }
        if change.base != self.revision {
            return Err(self.conflict_error(change));
        }
        let tree = self.apply_patch(change)?;
        self.tree = tree.to_string();
        self.revision = Revision(self.revision.0 + 1);
        self.push_history(change);
        Ok(self.revision)
    }

    fn apply_patch(&self, change: &SettingsChange) -> Result<Value, Error> {
        let patch: Value =
            serde_json::from_str(&change.patch).map_err(|error| Error::Malformed(error.to_string()))?;
        let mut tree = self.tree();
        merge_patch(&mut tree, &patch);
        Ok(tree)
    }

    /// Returns the updates for a watcher at revision `from`: the patches after it, or the whole tree if these
    /// are no longer remembered or too many. Empty if there is nothing newer.
    pub fn updates_since(&self, from: Revision) -> Vec<SettingsUpdate> {
        if from >= self.revision {
            return Vec::new();
        }
        let oldest = self.changes.front().map_or(self.revision, |change| change.base);
        if from < oldest || self.revision.0 - from.0 > MAX_PATCHES {
            return vec![self.snapshot()];
        }
        let newer = self.changes.iter().filter(|change| change.base >= from);
        newer.map(|change| SettingsUpdate::patch(change.base, change.revision(), &change.patch)).collect()
    }

    /// Returns the whole tree as an update.
    pub fn snapshot(&self) -> SettingsUpdate {
        SettingsUpdate::tree(self.revision, &self.tree)
    }

    fn find_earlier_outcome(&self, change: &SettingsChange) -> Option<Result<Revision, Error>> {
        let earlier = self.changes.iter().rev().find(|earlier| earlier.id == change.id)?;
        if earlier.digest == ChangeDigest::of(change) {
            return Some(Ok(earlier.revision()));
        }
        Some(Err(Error::IdTaken { winner: earlier.operator.clone(), revision: earlier.revision() }))
    }

    fn conflict_error(&self, change: &SettingsChange) -> Error {
        let winner = self.changes.iter().find(|accepted| accepted.base == change.base);
        Error::Conflict {
            base: change.base,
            newest: self.revision,
            winner: winner.map(|accepted| (accepted.id.clone(), accepted.operator.clone())),
        }
    }

    fn push_history(&mut self, change: &SettingsChange) {
        self.changes.push_back(AcceptedChange {
            id: change.id.clone(),
            operator: change.operator.clone(),
            base: change.base,
            digest: ChangeDigest::of(change),
            patch: change.patch.clone(),
        });
        if self.changes.len() > REMEMBERED_CHANGES {
            self.changes.pop_front();
        }
    }
}
