//! Estimates how long ago the caller of a request made its first attempt.
//!
//! A retry after a refusal has a new request id but states how long its caller will still wait. Most
//! callers of one kind state the same patience on their first attempt. A caller that states clearly
//! less has already been waiting for the difference.

use micaspool_types::Moment;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Resolution of patience in milliseconds. Opening a connection takes a few.
const STEP: u64 = 10;
/// How many requests make a sample of the patience that callers state first, counted while nothing is
/// refused. A kind with 45 requests per second yields this many in half a second.
const SAMPLE_SIZE: u32 = 24;
/// A patience is usual for first attempts if this many requests of a sample state it.
const USUAL_COUNT: u32 = 3;
/// For how many samples a patience stays usual after its last occurrence.
const USUAL_LIFETIME: u32 = 16;
/// How long after a refusal retries are expected.
const RETRY_WINDOW: Duration = Duration::from_secs(2);
/// The maximum number of tracked kinds; all are discarded before one more is added.
const MAX_KINDS: usize = 64;
/// The maximum number of distinct patience values per sample.
const MAX_STEPS: usize = 256;

/// The usual patience of first attempts for each kind of caller. A kind is identified by its objective.
#[derive(Debug, Default)]
pub(super) struct FirstAttempts {
    kinds: HashMap<u64, KindAttempts>,
    refused_at: Option<Moment>,
}

/// The usual patience of one kind.
#[derive(Debug, Default)]
struct KindAttempts {
    /// Usual patience values in steps, with the number of samples since each last occurred; empty while
    /// unknown.
    usual: BTreeMap<u64, u32>,
    /// The current sample: the number of requests by patience in steps.
    sample: HashMap<u64, u32>,
    sampled: u32,
}

impl FirstAttempts {
    /// Records an attempt and estimates how long ago its caller made the first one; zero if unknown.
    /// `objective` identifies the kind.
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

    /// Records a refusal, after which retries are expected.
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

    /// The difference between the next higher usual patience and this one.
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
