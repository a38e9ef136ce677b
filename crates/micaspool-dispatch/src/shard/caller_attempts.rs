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
const SAMPLE_SIZE: u32 = 24;
/// How many requests of a sample have the same patience when it is one with which callers begin.
const USUAL_COUNT: u32 = 3;
/// For how many samples a patience that does not come any more counts as usual.
const USUAL_LIFETIME: u32 = 16;
/// How long after a refusal callers may come back.
const RETRY_WINDOW: Duration = Duration::from_secs(2);
/// The most kinds that are told apart, beyond which all are learnt anew, and the most different patiences of a sample.
const MAX_KINDS: usize = 64;
const MAX_STEPS: usize = 256;

/// What callers of each kind say at first. Kinds are told apart by their objectives.
#[derive(Debug, Default)]
pub(super) struct FirstAttempts {
    kinds: HashMap<u64, KindAttempts>,
    refused_at: Option<Moment>,
}

/// One kind.
#[derive(Debug, Default)]
struct KindAttempts {
    /// What is usual, in steps, and how many samples ago it was last; empty while it is not known.
    usual: BTreeMap<u64, u32>,
    /// The sample that is being taken: requests by patience in steps.
    sample: HashMap<u64, u32>,
    sampled: u32,
}

impl FirstAttempts {
    /// Takes a try in and gives how long ago its caller first tried; zero where nothing tells. The kind is named by
    /// its `objective`.
    pub fn estimate_age(&mut self, now: Moment, objective: Duration, patience: Duration) -> Duration {
        let has_no_retries = self.refused_at.is_none_or(|at| now.since(at) >= RETRY_WINDOW);
        let kind = steps(objective);
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            self.kinds.clear();
        }
        let attempts = self.kinds.entry(kind).or_default();
        if has_no_retries {
            attempts.observe(steps(patience));
        } else {
            attempts.discard_sample();
        }
        attempts.age(patience)
    }

    /// A request was refused; its caller may come back.
    pub fn note_refused(&mut self, now: Moment) {
        self.refused_at = Some(now);
    }
}

impl KindAttempts {
    fn observe(&mut self, patience: u64) {
        if self.sample.len() < MAX_STEPS || self.sample.contains_key(&patience) {
            *self.sample.entry(patience).or_default() += 1;
        }
        self.sampled += 1;
        if self.sampled < SAMPLE_SIZE {
            return;
        }
        self.usual.values_mut().for_each(|samples| *samples += 1);
        let common = self.sample.iter().filter(|(_, count)| **count >= USUAL_COUNT);
        self.usual.extend(common.map(|(patience, _)| (*patience, 0)));
        self.usual.retain(|_, samples| *samples < USUAL_LIFETIME);
        self.discard_sample();
    }

    fn discard_sample(&mut self) {
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
