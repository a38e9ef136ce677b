//! What a shard believes of a language model engine: how long it reads the prompts that it got, and
//! which prompt parts it keeps in memory.
//!
//! An engine reads prompts in order of arrival, at a fixed pace, and skips the leading parts that it
//! keeps. Between two pieces of a prompt it makes one token of each running request, so an engine that
//! reads without a pause slows every stream down. It is therefore given less than it could read.

use crate::event::KeptPart;
use micaspool_types::Moment;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The part of an engine's memory that is counted on for kept prompt parts, in percent. The rest is
/// taken by what running requests make.
const KEPT_PERCENT: u64 = 80;
/// The pace at which an engine is given tokens to read, in tokens a millisecond: 70% of the 51 that
/// the engines of both sites read.
const READ_PACE: u64 = 35;
/// An engine that has this much to read gets nothing more. It bounds what can't be overtaken any more
/// by a request of another customer; a shorter time lets engines run dry between two grants.
const READ_AHEAD: Duration = Duration::from_millis(120);
/// What a token counts that an engine has to read although another engine may keep it, in percent: its
/// reading takes capacity from all, and it pushes other parts out of memory. At 400 a part of 13,000
/// tokens is waited for up to 0.9 s longer. 125 and 250 were measured as worse (docs/MEASURES.md).
const MISSING_PERCENT: u64 = 400;
/// What a running request adds to the delay of the next one, in microseconds.
const RUNNING_MICROS: u64 = 1_000;

/// How many requests beyond our own need not be anybody's: reports are some hundred milliseconds old.
const STRAY_REQUESTS: u32 = 2;
/// The smallest part of an engine's pace that is used, in percent, so that one who comes late gets in.
const SMALLEST_SHARE: u64 = 15;
/// How many requests may wait at an engine that is not given too much.
const USUAL_WAITING: u32 = 1;
/// How long an engine reads for one that waits: prompts of both sites lack some 3,000 tokens.
const WAITING_TIME: Duration = Duration::from_millis(70);
/// The longest time for which a report keeps an engine from getting more.
const LONGEST_HOLD: Duration = Duration::from_secs(1);

/// The prompt of a ticket, as far as placing it needs.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct PromptShape {
    /// Hashes of growing prefixes, the shortest first.
    pub prefixes: Box<[u64]>,
    /// The tokens that each prefix adds to the one before.
    pub tokens: Box<[u32]>,
    /// The tokens of the whole prompt.
    pub total: u64,
}

impl PromptShape {
    /// Each prefix with the tokens that it adds; unknown sizes count as one token.
    fn parts(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        let tokens = self.tokens.iter().map(|tokens| u64::from(*tokens)).chain(std::iter::repeat(1));
        self.prefixes.iter().copied().zip(tokens)
    }
}

/// A part that an engine keeps from now on, or no longer keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PartChange {
    Kept(u64),
    Dropped(u64),
}

/// One engine.
#[derive(Debug)]
pub(super) struct EngineState {
    memory: u64,
    /// Tokens of prompts that were granted and have not begun.
    unread: u64,
    /// The part of its pace that this shard may use, in percent.
    share: u64,
    /// When it will have read everything at the given pace.
    reads_until: Moment,
    kept: PartCache,
}

impl EngineState {
    pub fn new(memory: u64, share: u64) -> EngineState {
        EngineState { memory, unread: 0, share, reads_until: Moment(0), kept: PartCache::default() }
    }

    /// Takes the memory size of newer settings over.
    pub fn resize(&mut self, memory: u64) {
        self.memory = memory;
    }

    /// True while it has little enough to read to get more.
    pub fn has_time(&self, now: Moment) -> bool {
        self.reading_time(now) < READ_AHEAD && micros_of(self.unread) < 3 * READ_AHEAD.as_micros() as u64
    }

    /// When its reading will have become short enough at the given pace.
    pub fn has_time_at(&self) -> Moment {
        let ahead = READ_AHEAD.as_micros() as u64;
        Moment(self.reads_until.0.saturating_sub(ahead) + 1)
    }

    fn reading_time(&self, now: Moment) -> Duration {
        self.reads_until.since(now)
    }

    /// The tokens that the engine would have to read for a prompt.
    fn missing(&self, prompt: &PromptShape) -> u64 {
        let held = prompt.parts().take_while(|(prefix, _)| self.kept.has(*prefix));
        let held: u64 = held.map(|(_, tokens)| tokens).sum();
        prompt.total.saturating_sub(held).max(1)
    }

    /// How long a prompt would wait for its first token, in microseconds. Tokens that the engine
    /// lacks count more than their reading: they push other parts out of memory.
    pub fn delay(&self, now: Moment, prompt: &PromptShape, running: u32) -> u64 {
        let reading = (self.reading_time(now).as_micros() as u64).max(micros_of(self.unread));
        let own = micros_of(self.missing(prompt)) * MISSING_PERCENT / 100;
        reading + own + u64::from(running) * RUNNING_MICROS
    }

    /// Notes that a prompt was granted here; gives the tokens that it adds to the unread ones. What
    /// that changes about its kept parts is added to `changes`.
    pub fn admit(&mut self, now: Moment, prompt: &PromptShape, changes: &mut Vec<PartChange>) -> u64 {
        let missing = self.missing(prompt);
        self.unread += missing;
        let reading = micros_of(missing) * 100 / self.share;
        self.reads_until = self.reads_until.max(now) + Duration::from_micros(reading);
        for (prefix, tokens) in prompt.parts() {
            self.kept.touch(prefix, tokens, changes);
        }
        self.kept.shrink(self.memory * KEPT_PERCENT / 100, changes);
        missing
    }

    /// Takes over that requests wait at the engine, whoever sent them: other dispatchers may use it
    /// at the same time. One may be our newest; more mean that the engine reads without a pause.
    pub fn note_waiting(&mut self, now: Moment, waiting: u32) {
        if waiting > USUAL_WAITING {
            let held = (WAITING_TIME * waiting).min(LONGEST_HOLD);
            self.reads_until = self.reads_until.max(now + held);
        }
    }

    /// Leaves others their part of the pace: what runs here tells how much each uses.
    pub fn share_with(&mut self, own: u32, foreign: u32) {
        let all = u64::from(own + foreign);
        self.share = match foreign {
            0..=STRAY_REQUESTS => 100,
            _ => (u64::from(own) * 100 / all).max(SMALLEST_SHARE),
        };
    }

    /// Takes over parts that the engine keeps, from before this shard knew it.
    pub fn learn_kept(&mut self, parts: &[KeptPart], changes: &mut Vec<PartChange>) {
        for part in parts {
            self.kept.touch(part.prefix, u64::from(part.tokens), changes);
        }
        self.kept.shrink(self.memory * KEPT_PERCENT / 100, changes);
    }

    /// Notes that this many tokens no longer wait to be read.
    pub fn release(&mut self, tokens: u64) {
        self.unread = self.unread.saturating_sub(tokens);
    }
}

/// How long an engine reads this many tokens at the given pace.
fn micros_of(tokens: u64) -> u64 {
    tokens * 1_000 / READ_PACE
}

/// Kept parts; the ones unused the longest go first.
#[derive(Debug, Default)]
struct PartCache {
    parts: HashMap<u64, CachedPart>,
    ages: BTreeMap<u64, u64>,
    tokens: u64,
    clock: u64,
}

#[derive(Debug)]
struct CachedPart {
    tokens: u64,
    used: u64,
}

impl PartCache {
    fn has(&self, prefix: u64) -> bool {
        self.parts.contains_key(&prefix)
    }

    fn touch(&mut self, prefix: u64, tokens: u64, changes: &mut Vec<PartChange>) {
        self.clock += 1;
        let used = self.clock;
        match self.parts.get_mut(&prefix) {
            Some(part) => {
                self.ages.remove(&part.used);
                part.used = used;
            }
            None => {
                self.parts.insert(prefix, CachedPart { tokens, used });
                self.tokens += tokens;
                changes.push(PartChange::Kept(prefix));
            }
        }
        self.ages.insert(used, prefix);
    }

    fn shrink(&mut self, limit: u64, changes: &mut Vec<PartChange>) {
        while self.tokens > limit {
            let Some((_, prefix)) = self.ages.pop_first() else { return };
            if let Some(part) = self.parts.remove(&prefix) {
                self.tokens -= part.tokens;
                changes.push(PartChange::Dropped(prefix));
            }
        }
    }
}
