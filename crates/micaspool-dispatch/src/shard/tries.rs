//! How long ago the caller of a request first tried.
//!
//! A caller that was refused comes back under a new name, but says how long it still waits. Most callers of a kind
//! wait equally long at first. So one that says clearly less has waited before, for the difference.

use micaspool_types::Moment;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Patience is compared in steps of this many milliseconds; a new connection takes a few.
const STEP: u64 = 10;
/// How many requests that came while nothing was refused tell what callers say at first: what a kind of 45 requests a
/// second brings in half a second.
const SAMPLE: u32 = 24;
/// How many requests of a sample have the same patience when it is one with which callers begin.
const USUAL_COUNT: u32 = 3;
/// For how many samples a patience that does not come any more counts as usual.
const USUAL_LIFE: u32 = 16;
/// How long after a refusal callers may come back.
const CALM: Duration = Duration::from_secs(2);
/// The most kinds that are told apart, beyond which all are learnt anew, and the most different patiences of a sample.
const MOST_KINDS: usize = 64;
const MOST_STEPS: usize = 256;

/// What callers of each kind say at first. Kinds are told apart by their objectives.
#[derive(Debug, Default)]
pub(super) struct FirstTries {
    kinds: HashMap<u64, KindTries>,
    refused_at: Option<Moment>,
}

/// One kind.
#[derive(Debug, Default)]
struct KindTries {
    /// What is usual, in steps, and how many samples ago it was last; empty while it is not known.
    usual: BTreeMap<u64, u32>,
    /// The sample that is being taken: requests by patience in steps.
    sample: HashMap<u64, u32>,
    sampled: u32,
}

impl FirstTries {
    /// Takes a try in and gives how long ago its caller first tried; zero where nothing tells. The kind is named by
    /// its `objective`.
    pub fn take(&mut self, now: Moment, objective: Duration, patience: Duration) -> Duration {
        let is_calm = self.refused_at.is_none_or(|at| now.since(at) >= CALM);
        let kind = steps(objective);
        if self.kinds.len() >= MOST_KINDS && !self.kinds.contains_key(&kind) {
            self.kinds.clear();
        }
        let tries = self.kinds.entry(kind).or_default();
        if is_calm {
            tries.observe(steps(patience));
        } else {
            tries.restart();
        }
        tries.age(patience)
    }

    /// A request was refused; its caller may come back.
    pub fn note_refused(&mut self, now: Moment) {
        self.refused_at = Some(now);
    }
}

impl KindTries {
    fn observe(&mut self, patience: u64) {
        if self.sample.len() < MOST_STEPS || self.sample.contains_key(&patience) {
            *self.sample.entry(patience).or_default() += 1;
        }
        self.sampled += 1;
        if self.sampled < SAMPLE {
            return;
        }
        self.usual.values_mut().for_each(|samples| *samples += 1);
        let common = self.sample.iter().filter(|(_, count)| **count >= USUAL_COUNT);
        self.usual.extend(common.map(|(patience, _)| (*patience, 0)));
        self.usual.retain(|_, samples| *samples < USUAL_LIFE);
        self.restart();
    }

    fn restart(&mut self) {
        self.sample.clear();
        self.sampled = 0;
    }

    /// From the next usual patience down to this one.
    fn age(&self, patience: Duration) -> Duration {
        let own = steps(patience);
        match self.usual.range(own..).next() {
            Some((usual, _)) if *usual > own => Duration::from_millis(usual * STEP).saturating_sub(patience),
            _ => Duration::ZERO,
        }
    }
}

fn steps(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX).div_ceil(STEP)
}
