//! The entries in memory, after the newest snapshot.

use crate::types::{EntryPayload, GroupMembership, LogEntry, LogIndex, LogSnapshot};
use micaspool_types::Term;
use std::collections::VecDeque;

/// A snapshot and the entries that follow it without a gap.
#[derive(Clone, Debug, Default)]
pub struct EntryLog {
    snapshot: LogSnapshot,
    entries: VecDeque<LogEntry>,
    /// The groups that entries of this log set, oldest first; the snapshot's is not among them.
    memberships: VecDeque<(LogIndex, GroupMembership)>,
}

impl EntryLog {
    /// A log from what was read back.
    pub fn new(snapshot: LogSnapshot, entries: Vec<LogEntry>) -> EntryLog {
        let mut log = EntryLog { snapshot, ..EntryLog::default() };
        for entry in entries {
            log.append(entry);
        }
        log
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> &LogSnapshot {
        &self.snapshot
    }

    /// The position of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// The term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// The term of an entry, or `None` when the log does not have it.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// An entry after the snapshot.
    pub fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// At most `count` entries from `from` on.
    pub fn range(&self, from: LogIndex, count: usize) -> Vec<LogEntry> {
        let skipped = from.0.saturating_sub(self.snapshot.index.0 + 1);
        self.entries
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
            .take(count)
            .cloned()
            .collect()
    }

    /// The number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when no entry follows the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds the next entry.
    pub fn append(&mut self, entry: LogEntry) {
        if let EntryPayload::Members(membership) = &entry.payload {
            self.memberships.push_back((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops an entry and those after it.
    pub fn truncate_from(&mut self, index: LogIndex) {
        while self.entries.back().is_some_and(|entry| entry.index >= index) {
            self.entries.pop_back();
        }
        while self.memberships.back().is_some_and(|(at, _)| *at >= index) {
            self.memberships.pop_back();
        }
    }

    /// Replaces the entries up to an index by a snapshot; later entries stay.
    pub fn compact(&mut self, snapshot: LogSnapshot) {
        while self.entries.front().is_some_and(|entry| entry.index <= snapshot.index) {
            self.entries.pop_front();
        }
        while self.memberships.front().is_some_and(|(at, _)| *at <= snapshot.index) {
            self.memberships.pop_front();
        }
        self.snapshot = snapshot;
    }

    /// Replaces everything by a snapshot.
    pub fn replace(&mut self, snapshot: LogSnapshot) {
        *self = EntryLog { snapshot, ..EntryLog::default() };
    }

    /// The newest group, committed or not.
    pub fn membership(&self) -> &GroupMembership {
        self.memberships.back().map_or(&self.snapshot.membership, |(_, membership)| membership)
    }

    /// The position of the entry that set the newest group.
    pub fn membership_index(&self) -> LogIndex {
        self.memberships.back().map_or(self.snapshot.index, |(index, _)| *index)
    }

    /// The group as of an entry.
    pub fn membership_at(&self, index: LogIndex) -> &GroupMembership {
        let earlier = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        earlier.map_or(&self.snapshot.membership, |(_, membership)| membership)
    }
}
