//! Replication of the log from the leader to the members: both the leader's and the follower's side.

use super::progress::MemberProgress;
use super::{QuorumCore, RoleState};
use crate::message::PeerBody;
use crate::output::{InstalledSnapshot, LostEntries};
use crate::types::{KeeperIdentity, LogEntry, LogIndex, LogSnapshot};
use micaspool_types::{Moment, Term};

impl QuorumCore {
    /// Runs the leader's timers: steps down without a majority, otherwise sends due heartbeats and
    /// changes the membership if needed.
    pub(super) fn tick_leader(&mut self, now: Moment) {
        let RoleState::Leader(state) = &self.role else { return };
        if !state.has_majority(now, &self.identity, self.log.membership(), &self.options) {
            self.become_follower(now, None);
            return;
        }
        self.sync_progress();
        for member in self.other_members() {
            if self.is_heartbeat_due(now, &member) {
                self.send_entries(now, &member);
            }
        }
        self.update_membership(now);
    }

    /// Sends new entries to each member that has no unanswered message.
    pub(super) fn replicate_idle(&mut self, now: Moment) {
        self.sync_progress();
        for member in self.other_members() {
            if self.progress_mut(&member).is_some_and(|progress| !progress.is_awaiting()) {
                self.send_entries(now, &member);
            }
        }
    }

    fn other_members(&self) -> Vec<KeeperIdentity> {
        let members = self.log.membership().members.iter().map(|member| &member.identity);
        members.filter(|member| **member != self.identity).cloned().collect()
    }

    /// Adds and removes progress records so that they match the membership.
    fn sync_progress(&mut self) {
        let next = self.log.last_index().next();
        let members = self.other_members();
        let RoleState::Leader(state) = &mut self.role else { return };
        state.progress.retain(|member, _| members.contains(member));
        for member in members {
            state.progress.entry(member).or_insert(MemberProgress::new(next));
        }
    }

    fn progress_mut(&mut self, member: &KeeperIdentity) -> Option<&mut MemberProgress> {
        match &mut self.role {
            RoleState::Leader(state) => state.progress.get_mut(member),
            _ => None,
        }
    }

    fn is_heartbeat_due(&mut self, now: Moment, member: &KeeperIdentity) -> bool {
        let heartbeat = self.options.heartbeat;
        let progress = self.progress_mut(member);
        progress.is_some_and(|progress| progress.is_due(now, heartbeat))
    }

    fn send_entries(&mut self, now: Moment, member: &KeeperIdentity) {
        let Some(progress) = self.progress_mut(member) else { return };
        progress.note_sent(now);
        let next = progress.next;
        let prev = LogIndex(next.0.saturating_sub(1));
        let is_compacted = next <= self.log.snapshot().index;
        let body = match self.log.term_at(prev).filter(|_| !is_compacted) {
            Some(prev_term) => PeerBody::Append {
                prev,
                prev_term,
                entries: self.log.range(next, self.options.max_batch),
                commit: self.commit,
                sent_at: now,
            },
            None => PeerBody::Install { snapshot: self.log.snapshot().clone(), sent_at: now },
        };
        self.send(&member.name, body);
    }

    /// Accepts the sender as leader and resets the election timeout. Rejects a sender with an older
    /// term and returns false.
    pub(super) fn accept_leader(
        &mut self,
        now: Moment,
        from: &KeeperIdentity,
        term: Term,
        sent_at: Moment,
    ) -> bool {
        if term < self.hard.term {
            let matched = LogIndex(0);
            self.send(&from.name, PeerBody::AppendReply { accepted: false, matched, sent_at });
            return false;
        }
        self.become_follower(now, Some(from.clone()));
        self.leader_last_contact = Some(now);
        self.startup.finish();
        true
    }

    pub(super) fn accept_entries(
        &mut self,
        from: &KeeperIdentity,
        (prev, prev_term): (LogIndex, Term),
        entries: Vec<LogEntry>,
        commit: LogIndex,
        sent_at: Moment,
    ) {
        let prev_matches = prev < self.log.snapshot().index || self.log.term_at(prev) == Some(prev_term);
        if !prev_matches {
            let matched = self.log.last_index().min(LogIndex(prev.0.saturating_sub(1))).max(self.commit);
            self.send(&from.name, PeerBody::AppendReply { accepted: false, matched, sent_at });
            return;
        }
        let matched = LogIndex(prev.0 + entries.len() as u64);
        for entry in entries {
            self.accept_entry(entry);
        }
        self.commit = self.commit.max(commit.min(matched));
        self.emit_committed();
        self.send(&from.name, PeerBody::AppendReply { accepted: true, matched, sent_at });
    }

    /// Appends an entry that the log does not have yet. A conflicting entry at its position is dropped
    /// first, with all entries after it.
    fn accept_entry(&mut self, entry: LogEntry) {
        if entry.index <= self.log.snapshot().index || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            assert!(entry.index > self.commit, "a committed entry is never replaced");
            self.truncate_log_from(entry.index);
        }
        self.output.save.append.push(entry.clone());
        self.log.append(entry);
    }

    fn truncate_log_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.saved = self.saved.min(LogIndex(index.0 - 1));
        let save = &mut self.output.save;
        save.append.retain(|entry| entry.index < index);
        save.truncate_from = Some(save.truncate_from.map_or(index, |earlier| earlier.min(index)));
    }

    /// Takes in a snapshot from the leader. If this keeper's log has the snapshot's last entry, it has all entries before
    /// it as well, and those after it stay: this keeper may have acknowledged them.
    pub(super) fn accept_snapshot(&mut self, from: &KeeperIdentity, snapshot: LogSnapshot, sent_at: Moment) {
        let matched = snapshot.index;
        let is_in_log =
            snapshot.index <= self.commit || self.log.term_at(snapshot.index) == Some(snapshot.term);
        if self.is_formed() && is_in_log {
            self.commit = self.commit.max(snapshot.index);
            self.emit_committed();
        } else {
            self.install_snapshot(snapshot);
        }
        self.send(&from.name, PeerBody::AppendReply { accepted: true, matched, sent_at });
    }

    /// Replaces the whole log by a snapshot.
    fn install_snapshot(&mut self, snapshot: LogSnapshot) {
        let dropped_entries = self.log.last_index().0.saturating_sub(snapshot.index.0);
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.saved = self.saved.min(snapshot.index);
        self.log.replace(snapshot.clone());
        self.output.committed.clear();
        self.output.save.append.clear();
        self.output.save.truncate_from = Some(snapshot.index.next());
        self.output.save.snapshot = Some(snapshot.clone());
        self.output.install = Some(InstalledSnapshot { snapshot, dropped_entries });
    }

    /// Updates the progress of a member from its reply, and sends what it needs next.
    pub(super) fn handle_append_reply(
        &mut self,
        now: Moment,
        from: &KeeperIdentity,
        term: Term,
        accepted: bool,
        matched: LogIndex,
        sent_at: Moment,
    ) {
        let is_current_term = term == self.hard.term;
        let last = self.log.last_index();
        let Some(progress) = self.progress_mut(from).filter(|_| is_current_term) else { return };
        let previous_next = progress.next;
        progress.note_reply(sent_at);
        let lost = match accepted {
            true => {
                progress.accept(matched, sent_at);
                None
            }
            false => progress.reject(matched, last, sent_at),
        };
        let is_behind = progress.next <= last && !progress.is_awaiting();
        let has_retreated = progress.next < previous_next;
        if let Some(acknowledged) = lost {
            let member = from.clone();
            self.output.lost_entries.push(LostEntries { member, acknowledged, left: matched });
        }
        self.advance_commit(now);
        if has_retreated || (accepted && is_behind) {
            self.send_entries(now, from);
        }
    }

    /// Advances the commit index to the last entry that a majority has made durable, if that entry is
    /// of the current term. Entries of earlier terms are committed with it, as in Raft.
    pub(super) fn advance_commit(&mut self, now: Moment) {
        let RoleState::Leader(state) = &self.role else { return };
        let membership = self.log.membership();
        let durable_index = |voter: &KeeperIdentity| match state.progress.get(voter) {
            _ if *voter == self.identity => self.saved,
            Some(progress) => progress.matched,
            None => LogIndex(0),
        };
        let mut indices: Vec<LogIndex> = membership.voters().map(durable_index).collect();
        indices.sort_by(|a, b| b.cmp(a));
        let Some(agreed_index) = indices.get(membership.majority() - 1).copied() else { return };
        if agreed_index > self.commit && self.log.term_at(agreed_index) == Some(self.hard.term) {
            self.commit = agreed_index;
            self.emit_committed();
            self.replicate_idle(now);
        }
    }
}
