//! The state machine of the settings tree: which changes are accepted, and what a resend gets.
//!
//! A change names the revision that its operator read. It is accepted only when that revision is
//! still the newest and the resulting tree has no fault. A resend with the same id and content
//! gets the first outcome again, within a window of [`REMEMBERED_CHANGES`] changes.

mod change;

pub use change::{AcceptedChange, ChangeDigest, Error, SettingsChange, SettingsUpdate};

use crate::merge::merge_patch;
use crate::policy::compile_tree;
use micaspool_types::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::VecDeque;

/// How many accepted changes are kept, to answer resends and to send deltas.
pub const REMEMBERED_CHANGES: usize = 2_048;
/// A watcher that is further behind than this many revisions gets the whole tree.
const SNAPSHOT_DISTANCE: u64 = 128;

/// The settings tree with its revision and its newest changes.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct SettingsState {
    revision: Revision,
    tree: String,
    changes: VecDeque<AcceptedChange>,
}

impl SettingsState {
    /// The number of accepted changes.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The tree as JSON; an empty object before the first change.
    pub fn tree(&self) -> Value {
        serde_json::from_str(&self.tree).unwrap_or_else(|_| Value::Object(Default::default()))
    }

    /// The accepted changes that are still remembered, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &AcceptedChange> {
        self.changes.iter()
    }

    /// Checks what a change would make of the tree. A change on another base than the newest
    /// passes: [`SettingsState::accept`] rejects it.
    pub fn check(&self, change: &SettingsChange) -> Result<(), Error> {
        if change.base != self.revision {
            return Ok(());
        }
        let tree = self.patched(change)?;
        compile_tree(Revision(self.revision.0 + 1), &tree).map(|_| ()).map_err(Error::Invalid)
    }

    /// Accepts or rejects a change that was checked; a resend gets the outcome of its first
    /// arrival. Checking stays outside, so that keepers of different versions never differ.
    pub fn accept(&mut self, change: &SettingsChange) -> Result<Revision, Error> {
        if let Some(outcome) = self.earlier_outcome(change) {
            return outcome;
        }
        if change.base != self.revision {
            return Err(self.conflict(change));
        }
        let tree = self.patched(change)?;
        self.tree = tree.to_string();
        self.revision = Revision(self.revision.0 + 1);
        self.remember(change);
        Ok(self.revision)
    }

    fn patched(&self, change: &SettingsChange) -> Result<Value, Error> {
        let patch: Value =
            serde_json::from_str(&change.patch).map_err(|error| Error::Malformed(error.to_string()))?;
        let mut tree = self.tree();
        merge_patch(&mut tree, &patch);
        Ok(tree)
    }

    /// What a watcher needs that holds `from`: the patches after it, or the whole tree when they
    /// are no longer remembered. Empty when there is nothing newer.
    pub fn updates_since(&self, from: Revision) -> Vec<SettingsUpdate> {
        if from >= self.revision {
            return Vec::new();
        }
        let oldest = self.changes.front().map_or(self.revision, |change| change.base);
        if from < oldest || self.revision.0 - from.0 > SNAPSHOT_DISTANCE {
            return vec![self.snapshot()];
        }
        let newer = self.changes.iter().filter(|change| change.base >= from);
        newer.map(|change| SettingsUpdate::patch(change.base, change.revision(), &change.patch)).collect()
    }

    /// The whole tree as an update.
    pub fn snapshot(&self) -> SettingsUpdate {
        SettingsUpdate::tree(self.revision, &self.tree)
    }

    fn earlier_outcome(&self, change: &SettingsChange) -> Option<Result<Revision, Error>> {
        let earlier = self.changes.iter().rev().find(|earlier| earlier.id == change.id)?;
        if earlier.digest == ChangeDigest::of(change) {
            return Some(Ok(earlier.revision()));
        }
        Some(Err(Error::IdTaken { winner: earlier.operator.clone(), revision: earlier.revision() }))
    }

    fn conflict(&self, change: &SettingsChange) -> Error {
        let winner = self.changes.iter().find(|accepted| accepted.base == change.base);
        Error::Conflict {
            base: change.base,
            newest: self.revision,
            winner: winner.map(|accepted| (accepted.id.clone(), accepted.operator.clone())),
        }
    }

    fn remember(&mut self, change: &SettingsChange) {
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
