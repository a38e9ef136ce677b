//! The in-memory log: the latest snapshot and the entries after it.

use crate::types::{EntryPayload, GroupMembership, LogEntry, LogIndex, LogSnapshot};
use micaspool_types::Term;
use std::collections::VecDeque;

/// The latest snapshot and the contiguous entries after it.
#[derive(Clone, Debug, Default)]
pub struct EntryLog {
    snapshot: LogSnapshot,
    entries: VecDeque<LogEntry>,
    /// The membership changes among `entries`, oldest first, without the snapshot's membership.
    memberships: VecDeque<(LogIndex, GroupMembership)>,
}

impl EntryLog {
    /// Creates a log from persistent state.
    pub fn new(snapshot: LogSnapshot, entries: Vec<LogEntry>) -> EntryLog {
        let mut log = EntryLog { snapshot, ..EntryLog::default() };
        for entry in entries {
            log.append(entry);
        }
        log
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> &LogSnapshot {
        &self.snapshot
    }

    /// Returns the position of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, or `None` when it is compacted or does not exist.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns an entry after the snapshot.
    pub fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns at most `count` entries, starting at `from`.
    pub fn range(&self, from: LogIndex, count: usize) -> Vec<LogEntry> {
        let skipped = from.0.saturating_sub(self.snapshot.index.0 + 1);
        self.entries
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
            .take(count)
            .cloned()
            .collect()
    }

    /// Returns the number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry follows the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Appends the next entry.
    pub fn append(&mut self, entry: LogEntry) {
        if let EntryPayload::Members(membership) = &entry.payload {
            self.memberships.push_back((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entry at `index` and all entries after it.
    pub fn truncate_from(&mut self, index: LogIndex) {
        while self.entries.back().is_some_and(|entry| entry.index >= index) {
            self.entries.pop_back();
        }
        while self.memberships.back().is_some_and(|(at, _)| *at >= index) {
            self.memberships.pop_back();
        }
    }

    /// Replaces the entries up to the snapshot's index by the snapshot. Later entries stay.
    pub fn compact(&mut self, snapshot: LogSnapshot) {
        while self.entries.front().is_some_and(|entry| entry.index <= snapshot.index) {
            self.entries.pop_front();
        }
        while self.memberships.front().is_some_and(|(at, _)| *at <= snapshot.index) {
            self.memberships.pop_front();
        }
        self.snapshot = snapshot;
    }

    /// Replaces the snapshot and all entries by another snapshot.
    pub fn replace(&mut self, snapshot: LogSnapshot) {
        *self = EntryLog { snapshot, ..EntryLog::default() };
    }

    /// Returns the latest membership, committed or not.
    pub fn membership(&self) -> &GroupMembership {
        self.memberships.back().map_or(&self.snapshot.membership, |(_, membership)| membership)
    }

    /// Returns the position of the entry that set the latest membership.
    pub fn membership_index(&self) -> LogIndex {
        self.memberships.back().map_or(self.snapshot.index, |(index, _)| *index)
    }

    /// Returns the membership as of the entry at `index`.
    pub fn membership_at(&self, index: LogIndex) -> &GroupMembership {
        let earlier = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        earlier.map_or(&self.snapshot.membership, |(_, membership)| membership)
    }
}
