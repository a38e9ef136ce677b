//! Counts the waiting and running requests with each shared prompt part.

use super::engine::PromptShape;
use super::grants::RunningGrant;
use foldhash::HashMap;
use micaspool_types::{Moment, RequestId};
use std::collections::VecDeque;

/// How many ended runs are kept for each running one with a part, and how many besides.
const ENDED_PER_RUNNING: usize = 2;
const MAX_ENDED: usize = 16;

/// The requests with one shared part.
#[derive(Debug, Default)]
struct PartCounts {
    waiting: usize,
    running: usize,
    /// The running ones whose first event has come, in order of its time, and some that have ended.
    begun: VecDeque<BegunRun>,
}

/// A run whose first event has come.
#[derive(Debug, Clone, Copy)]
pub(super) struct BegunRun {
    pub request: RequestId,
    pub begun_at: Moment,
}

impl BegunRun {
    /// Its grant; `None` if it has ended.
    pub fn grant<'a>(&self, running: &'a HashMap<RequestId, RunningGrant>) -> Option<&'a RunningGrant> {
        running.get(&self.request).filter(|grant| grant.begun_at == Some(self.begun_at))
    }
}

impl PartCounts {
    fn is_empty(&self) -> bool {
        self.waiting == 0 && self.running == 0
    }
}

/// The requests of a shard by shared part, kept for all parts. With thousands of running requests, searching them for
/// each part of each run that ends with a crashed endpoint takes longer than all else.
#[derive(Debug, Default)]
pub(super) struct PartRequests {
    parts: HashMap<u64, PartCounts>,
}

impl PartRequests {
    pub fn begin_waiting(&mut self, prompt: &PromptShape) {
        for part in prompt.shared_parts() {
            self.parts.entry(*part).or_default().waiting += 1;
        }
    }

    pub fn end_waiting(&mut self, prompt: &PromptShape) {
        self.change(prompt, |counts| counts.waiting -= 1);
    }

    pub fn begin_running(&mut self, prompt: &PromptShape) {
        for part in prompt.shared_parts() {
            self.parts.entry(*part).or_default().running += 1;
        }
    }

    /// Records the first event of a run.
    pub fn begin_answer(&mut self, run: BegunRun, prompt: &PromptShape) {
        self.change(prompt, |counts| counts.begun.push_back(run));
    }

    pub fn end_running(&mut self, prompt: &PromptShape, running: &HashMap<RequestId, RunningGrant>) {
        self.change(prompt, |counts| {
            counts.running -= 1;
            if counts.begun.len() > counts.running * ENDED_PER_RUNNING + MAX_ENDED {
                counts.begun.retain(|run| run.grant(running).is_some());
            }
        });
    }

    /// True if a request with the part waits.
    pub fn is_waiting(&self, part: u64) -> bool {
        self.parts.get(&part).is_some_and(|counts| counts.waiting > 0)
    }

    /// True if a request with the part runs.
    pub fn is_running(&self, part: u64) -> bool {
        self.parts.get(&part).is_some_and(|counts| counts.running > 0)
    }

    /// The runs with the part that have begun, the earliest first, and some that have ended.
    pub fn begun(&self, part: u64) -> impl Iterator<Item = &BegunRun> + '_ {
        self.parts.get(&part).into_iter().flat_map(|counts| &counts.begun)
    }

    /// Changes the counts of each shared part, and drops those that become empty.
    fn change(&mut self, prompt: &PromptShape, change: impl Fn(&mut PartCounts)) {
        for part in prompt.shared_parts() {
            let Some(counts) = self.parts.get_mut(part) else { continue };
            change(counts);
            if counts.is_empty() {
                self.parts.remove(part);
            }
        }
    }
}
