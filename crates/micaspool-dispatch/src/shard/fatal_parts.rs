//! Prompt parts under which endpoints crash, whatever else their requests contain.
//!
//! No two of these requests are alike, so their crashes add up by part only. When an endpoint crashes, every
//! shared part of a run that had not yet got past its beginning may be the cause. A part is exonerated by each
//! run that does, which happens to common parts many times a second and never to a fatal one. A part that only
//! ever comes with a fatal one can't be told from it.
//!
//! The last part of a prompt belongs to its request or session alone and is never a suspect. Parts share the
//! crash records of requests, under digests of their own.

use super::engine::PromptShape;
use super::suspects::{EndedRun, TicketRefusal, COPY_WAIT};
use super::ShardCore;
use crate::action::{RefusalReason, ShardAction, StandingCause};
use crate::event::RequestTicket;
use foldhash::HashMap;
use micaspool_quarantine::RequestStanding;
use micaspool_types::{CustomerName, EndpointName, Moment, RequestDigest};
use std::time::Duration;

/// How long after its first event a run is past its beginning.
pub(super) const BEGINNING: Duration = Duration::from_millis(300);
/// How long after its first event a run at another endpoint shows that its parts crash none, before it tells of
/// further events.
const SURVIVAL: Duration = Duration::from_millis(150);
/// How long an exonerated part is no suspect. Longer than the pause between two runs with a part in regular use,
/// and short enough for a part that new software of the endpoints can't handle.
const EXONERATION: Duration = Duration::from_secs(10);
/// How long a shard observes runs before it refuses parts. No run gets past its beginning earlier.
const OBSERVATION: Duration = Duration::from_secs(1);
/// The maximum number of exonerated parts; with more, those of the last second are kept.
const MAX_EXONERATED: usize = 65_536;
const KEPT_WHEN_FULL: Duration = Duration::from_secs(1);

/// The parts that were exonerated lately, and when.
#[derive(Debug, Default)]
pub(super) struct ExoneratedParts {
    parts: HashMap<u64, Moment>,
    /// When the first run ended or got past its beginning.
    observed_since: Option<Moment>,
}

impl ExoneratedParts {
    fn note(&mut self, now: Moment, part: u64) {
        if self.parts.len() >= MAX_EXONERATED {
            self.parts.retain(|_, at| now.since(*at) < KEPT_WHEN_FULL);
        }
        if self.parts.len() < MAX_EXONERATED {
            self.parts.insert(part, now);
        }
    }

    /// Records that the outcome of a run is known.
    fn observe(&mut self, now: Moment) {
        self.observed_since.get_or_insert(now);
    }

    /// True if runs were observed for long enough to refuse parts.
    fn is_informed(&self, now: Moment) -> bool {
        self.observed_since.is_some_and(|since| now.since(since) >= OBSERVATION)
    }

    fn contains(&self, now: Moment, part: u64) -> bool {
        self.parts.get(&part).is_some_and(|at| now.since(*at) < EXONERATION)
    }

    /// Drops the parts that are suspects again.
    pub fn expire(&mut self, now: Moment) {
        self.parts.retain(|_, at| now.since(*at) < EXONERATION);
    }
}

/// How the parts of a prompt limit its requests.
#[derive(Clone, Copy, Debug)]
enum PartLimit {
    None,
    /// One is quarantined.
    Quarantined {
        digest: RequestDigest,
        until: Moment,
    },
    /// One was quarantined and is tried again, by one request at a time.
    Trial,
    /// The same holds for several, so a crash would not tell which is fatal.
    Ambiguous,
}

impl PromptShape {
    /// The parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[u64] {
        shared(&self.prefixes)
    }
}

fn shared(parts: &[u64]) -> &[u64] {
    parts.split_last().map(|(_, shared)| shared).unwrap_or_default()
}

impl ShardCore {
    /// Exonerates the parts of a run that got past its beginning.
    pub(super) fn exonerate_parts(&mut self, now: Moment, parts: &[u64], actions: &mut Vec<ShardAction>) {
        self.suspects.exonerated.observe(now);
        for part in parts {
            self.suspects.exonerated.note(now, *part);
            self.clear_suspicion(now, Some(RequestDigest::of_part(*part)), StandingCause::Answered, actions);
        }
    }

    /// Records the crash of an endpoint for the parts of a run that ended with it.
    pub(super) fn record_part_crashes(
        &mut self,
        now: Moment,
        ended: &EndedRun,
        customer: &CustomerName,
        endpoint: &EndpointName,
        actions: &mut Vec<ShardAction>,
    ) {
        self.suspects.exonerated.observe(now);
        if ended.is_past_beginning {
            return;
        }
        for part in &ended.parts {
            if self.suspects.exonerated.contains(now, *part) {
                continue;
            }
            if self.is_part_surviving(now, *part, ended) {
                self.exonerate_parts(now, &[*part], actions);
                continue;
            }
            let digest = RequestDigest::of_part(*part);
            // Runs that were granted before a quarantine say nothing new and must not lengthen it.
            if matches!(self.suspects.table.standing(now, digest), RequestStanding::Quarantined { .. }) {
                continue;
            }
            let change = self.suspects.table.record_crash(now, digest, customer, endpoint);
            self.suspects.note_limit(digest);
            self.worsen_standing(now, change, StandingCause::EndpointCrashed, actions);
        }
    }

    /// Why a ticket is refused because of the crashes of the parts of its prompt. After a quarantine, one request
    /// at a time runs as a trial, and none with two parts on trial: its crash would not tell which is fatal.
    pub(super) fn part_refusal(&self, now: Moment, ticket: &RequestTicket) -> Option<TicketRefusal> {
        let (reason, retry_after) = match self.part_limit(now, shared(&ticket.prefixes)) {
            PartLimit::None => return None,
            PartLimit::Quarantined { digest, until } => {
                (RefusalReason::Quarantined, self.quarantine_retry_after(now, digest, until))
            }
            PartLimit::Ambiguous => (RefusalReason::Quarantined, COPY_WAIT),
            PartLimit::Trial if self.has_trial_run() || self.has_waiting_trial() => {
                (RefusalReason::CopyRunning, COPY_WAIT)
            }
            PartLimit::Trial => return None,
        };
        Some(TicketRefusal { reason, retry_after })
    }

    /// True if a part of the prompt keeps a waiting ticket from running now.
    pub(super) fn has_isolated_part(&self, now: Moment, prompt: &PromptShape) -> bool {
        match self.part_limit(now, prompt.shared_parts()) {
            PartLimit::None => false,
            PartLimit::Quarantined { .. } | PartLimit::Ambiguous => true,
            PartLimit::Trial => self.has_trial_run(),
        }
    }

    /// What limits requests with these parts.
    fn part_limit(&self, now: Moment, parts: &[u64]) -> PartLimit {
        if !self.may_refuse_parts(now) {
            return PartLimit::None;
        }
        let mut limit = PartLimit::None;
        for digest in parts.iter().map(|part| RequestDigest::of_part(*part)) {
            if !self.is_on_trial(digest) {
                continue;
            }
            if let RequestStanding::Quarantined { until } = self.suspects.table.standing(now, digest) {
                return PartLimit::Quarantined { digest, until };
            }
            limit = match limit {
                PartLimit::None => PartLimit::Trial,
                _ => PartLimit::Ambiguous,
            };
        }
        limit
    }

    /// True if a request runs as a trial of a part.
    fn has_trial_run(&self) -> bool {
        let is_running = self.suspects.parts_on_trial().any(|part| self.part_requests.is_running(part));
        let search = || self.running.values().any(|grant| self.has_part_on_trial(&grant.prompt));
        debug_assert_eq!(is_running, search(), "every change of a run updates the counts of its parts");
        is_running
    }

    fn has_waiting_trial(&self) -> bool {
        let is_waiting = self.suspects.parts_on_trial().any(|part| self.part_requests.is_waiting(part));
        let search = || self.waiting.values().any(|ticket| self.has_part_on_trial(&ticket.prompt));
        debug_assert_eq!(is_waiting, search(), "every change of a queue updates the counts of parts");
        is_waiting
    }

    fn has_part_on_trial(&self, prompt: &PromptShape) -> bool {
        prompt.shared_parts().iter().any(|part| self.is_on_trial(RequestDigest::of_part(*part)))
    }

    /// True if some part is suspected, and the shard can tell it from sound ones.
    pub(super) fn may_refuse_parts(&self, now: Moment) -> bool {
        self.suspects.table.has_suspected_parts() && self.suspects.exonerated.is_informed(now)
    }

    /// True if a run with the part goes on at an endpoint other than that of the ended run. Where a shard or a part
    /// is new and endpoints crash one after the other, no run may have got past its beginning yet.
    fn is_part_surviving(&self, now: Moment, part: u64, ended: &EndedRun) -> bool {
        let has_survived = |begun_at: Moment| now.since(begun_at) >= SURVIVAL;
        let begun = self.part_requests.begun(part).take_while(|run| has_survived(run.begun_at));
        let mut survivors = begun.filter_map(|run| run.grant(&self.running));
        let survives = survivors.any(|grant| grant.endpoint != ended.endpoint);
        let search = || {
            let mut elsewhere = self.running.values().filter(|grant| grant.endpoint != ended.endpoint);
            elsewhere.any(|grant| {
                grant.begun_at.is_some_and(has_survived) && grant.prompt.shared_parts().contains(&part)
            })
        };
        debug_assert_eq!(survives, search(), "every change of a run updates the counts of its parts");
        survives
    }

    /// True if a part is or was quarantined.
    pub(super) fn is_on_trial(&self, digest: RequestDigest) -> bool {
        self.suspects.table.has_reached_limit(digest)
    }

    /// True if a request with the part runs.
    pub(super) fn is_part_running(&self, part: u64) -> bool {
        let is_running = self.part_requests.is_running(part);
        let search = || self.running.values().any(|grant| grant.prompt.shared_parts().contains(&part));
        debug_assert_eq!(is_running, search(), "every change of a run updates the counts of its parts");
        is_running
    }
}
