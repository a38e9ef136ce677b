//! What a shard believes of a language model engine: the prompts that it still has to read, and the
//! prompt parts that it keeps in memory.
//!
//! An engine reads prompts in order of arrival, at a fixed pace, and skips the leading parts that it
//! keeps. So the unread tokens tell how long the next request waits for its first token.

use std::collections::{BTreeMap, HashMap};

/// The part of an engine's memory that is counted on for kept prompt parts, in percent. The rest is
/// taken by what running requests make.
const KEPT_PERCENT: u64 = 80;

/// What a token counts that an engine has to read although another engine may keep it, in percent.
const MISSING_PERCENT: u64 = 125;
/// What a running request counts: the time that it adds to a reading step, in tokens.
const RUNNING_TOKENS: u64 = 100;

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

/// One engine.
#[derive(Debug)]
pub(super) struct EngineState {
    memory: u64,
    unread: u64,
    kept: PartCache,
}

impl EngineState {
    pub fn new(memory: u64) -> EngineState {
        EngineState { memory, unread: 0, kept: PartCache::default() }
    }

    /// Takes the memory size of newer settings over.
    pub fn resize(&mut self, memory: u64) {
        self.memory = memory;
    }

    /// The prompt tokens that were granted and whose requests have not begun.
    pub fn unread(&self) -> u64 {
        self.unread
    }

    /// The tokens that the engine would have to read for a prompt.
    pub fn missing(&self, prompt: &PromptShape) -> u64 {
        let held = prompt.parts().take_while(|(prefix, _)| self.kept.has(*prefix));
        let held: u64 = held.map(|(_, tokens)| tokens).sum();
        prompt.total.saturating_sub(held).max(1)
    }

    /// How long a prompt would wait for its first token, in units of one token's reading time.
    /// Tokens that the engine lacks count more than their reading: they delay what comes next and
    /// push other parts out of memory.
    pub fn delay(&self, prompt: &PromptShape, running: u32) -> u64 {
        self.unread + self.missing(prompt) * MISSING_PERCENT / 100 + u64::from(running) * RUNNING_TOKENS
    }

    /// Notes that a prompt was granted here; gives the tokens that it adds to the unread ones.
    pub fn admit(&mut self, prompt: &PromptShape) -> u64 {
        let missing = self.missing(prompt);
        self.unread += missing;
        for (prefix, tokens) in prompt.parts() {
            self.kept.touch(prefix, tokens);
        }
        self.kept.shrink(self.memory * KEPT_PERCENT / 100);
        missing
    }

    /// Notes that this many tokens no longer wait to be read.
    pub fn release(&mut self, tokens: u64) {
        self.unread = self.unread.saturating_sub(tokens);
    }
}

/// Kept parts; the ones unused the longest go first.
#[derive(Debug, Default)]
struct PartCache {
    parts: HashMap<u64, KeptPart>,
    ages: BTreeMap<u64, u64>,
    tokens: u64,
    clock: u64,
}

#[derive(Debug)]
struct KeptPart {
    tokens: u64,
    used: u64,
}

impl PartCache {
    fn has(&self, prefix: u64) -> bool {
        self.parts.contains_key(&prefix)
    }

    fn touch(&mut self, prefix: u64, tokens: u64) {
        self.clock += 1;
        let used = self.clock;
        match self.parts.get_mut(&prefix) {
            Some(part) => {
                self.ages.remove(&part.used);
                part.used = used;
            }
            None => {
                self.parts.insert(prefix, KeptPart { tokens, used });
                self.tokens += tokens;
            }
        }
        self.ages.insert(used, prefix);
    }

    fn shrink(&mut self, limit: u64) {
        while self.tokens > limit {
            let Some((_, prefix)) = self.ages.pop_first() else { return };
            if let Some(part) = self.parts.remove(&prefix) {
                self.tokens -= part.tokens;
            }
        }
    }
}
