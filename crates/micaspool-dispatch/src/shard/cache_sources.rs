//! Chooses the engine from which another one copies cached parts of a prompt.
//!
//! An engine copies from engines of its own software version only.
//!
//! The sources of a prompt are searched once per decision and then compared for each engine that may get
//! the prompt. Copying pays off only for parts that take clearly longer to prefill than to copy, and not
//! if earlier copies from the source delay it for as long as prefill takes.

use super::choice::EngineQuery;
use super::copy_link::{CopyQueues, PlannedCopy};
use super::endpoints::{EndpointIndex, EndpointTable};
use super::engine::{CopyObservation, CopyOutcome, EngineState, PromptShape};
use micaspool_types::Moment;
use std::time::Duration;

/// How many engines that cache a part are compared as its sources.
const MAX_COMPARED: usize = 16;
/// How many engines that cache a part are examined at most. Those that have left are still listed.
const MAX_EXAMINED: usize = 64;
/// For how many parts of a prompt, from the deepest one with a source on, sources are compared. The
/// deepest part is often cached by a single engine, whose copies may have a queue.
const MAX_LEVELS: usize = 2;
/// Prefill must take at least this many times as long as copying, since a copy may fail and its time is
/// less certain. A much higher factor would rule out copies between halls, which take twice as long.
const MIN_PREFILL_FACTOR: f64 = 1.5;
/// Points from which a source is suspended, after copies in a row that brought nothing. A slow engine or a
/// pause of a router looks the same in a single case, and a slow engine does several times in a row.
const MAX_MISS_POINTS: u32 = 6;
/// The points of such a copy, and of a further one to the same engine.
const MISS_POINTS: u32 = 2;
const REPEATED_MISS_POINTS: u32 = 1;
/// How long a source is suspended. Reports of its cache, or that it is leaving, arrive within this time.
const SUSPENSION: Duration = Duration::from_secs(3);

/// What is known about copies from one engine.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SourceRecord {
    /// Points for successive copies that brought nothing.
    miss_points: u32,
    /// The engine that got the last of them.
    missed_at: Option<EndpointIndex>,
    suspended_until: Moment,
}

impl SourceRecord {
    pub fn is_suspended(&self, now: Moment) -> bool {
        now < self.suspended_until
    }

    fn note_copied(&mut self) {
        self.miss_points = 0;
        self.missed_at = None;
    }

    /// Records a copy to `engine` that brought nothing; true if the source is suspended for it.
    fn note_missed(&mut self, now: Moment, engine: EndpointIndex) -> bool {
        let is_repeated = self.missed_at == Some(engine);
        self.miss_points += if is_repeated { REPEATED_MISS_POINTS } else { MISS_POINTS };
        self.missed_at = Some(engine);
        if self.miss_points < MAX_MISS_POINTS {
            return false;
        }
        *self = SourceRecord { suspended_until: now + SUSPENSION, ..SourceRecord::default() };
        true
    }
}

/// A part of a prompt for which sources are searched.
#[derive(Debug, Clone, Copy)]
struct SoughtPart {
    /// Its position in the prompt.
    level: usize,
    prefix: u64,
    /// The tokens of the prompt up to the end of the part.
    depth: u64,
}

/// An engine from which parts of a prompt can be copied.
#[derive(Debug, Clone, Copy)]
struct SourceOption {
    /// The position of the prompt's part up to which it was found.
    level: usize,
    engine: EndpointIndex,
    hall: usize,
    /// The leading tokens of the prompt that it has cached.
    tokens: u64,
    /// When its earlier copies will have ended.
    sent_by: Moment,
}

/// The sources of a prompt: for its deepest parts with one, the engine with the shortest queue of copies
/// in each hall.
#[derive(Debug, Default)]
pub(super) struct CacheSources {
    options: Vec<SourceOption>,
}

impl CacheSources {
    /// Adds a source unless there is one as good in its hall among those that `fit`: engines of its version.
    fn add(&mut self, option: SourceOption, fit: impl Fn(EndpointIndex) -> bool) {
        let is_rival = |other: &&mut SourceOption| {
            other.level == option.level && other.hall == option.hall && fit(other.engine)
        };
        match self.options.iter_mut().find(is_rival) {
            Some(rival) if (option.sent_by, rival.tokens) < (rival.sent_by, option.tokens) => *rival = option,
            Some(_) => {}
            None => self.options.push(option),
        }
    }
}

impl EndpointTable {
    /// The sources of a prompt among the engines that the query allows.
    pub(super) fn cache_sources(&self, now: Moment, query: &EngineQuery<'_>) -> CacheSources {
        let mut sources = CacheSources::default();
        let prompt = query.prompt;
        if !self.copy_link.is_enabled() || prompt.prefixes.is_empty() {
            return sources;
        }
        let least = self.least_worthwhile_tokens();
        let mut depth: u64 = prompt.parts().map(|(_, tokens)| tokens).sum();
        let mut levels = 0;
        for (level, (prefix, tokens)) in prompt.parts().enumerate().collect::<Vec<_>>().into_iter().rev() {
            if depth < least || levels == MAX_LEVELS {
                break;
            }
            let before = sources.options.len();
            self.add_sources(now, query, SoughtPart { level, prefix, depth }, &mut sources);
            depth -= tokens;
            levels += usize::from(sources.options.len() > before);
        }
        sources
    }

    /// Adds the sources that cache the prompt up to the end of `part`. The search starts at a different
    /// engine for each prompt, so that more sources than are compared are used.
    fn add_sources(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        part: SoughtPart,
        sources: &mut CacheSources,
    ) {
        let holders = self.holders.of(part.prefix);
        if holders.is_empty() {
            return;
        }
        let spread = query.prompt.prefixes.last().copied().unwrap_or_default();
        let (earlier, later) = holders.split_at((spread % holders.len() as u64) as usize);
        let options = later.iter().chain(earlier).take(MAX_EXAMINED).filter_map(|index| {
            let engine = self.usable_source(now, query, *index)?;
            let tokens = engine.present_tokens(query.prompt);
            let hall = self.hall(*index);
            let sent_by = engine.copies.sent_by.max(now);
            let has_all = tokens > 0 && tokens >= part.depth;
            has_all.then_some(SourceOption { level: part.level, engine: *index, hall, tokens, sent_by })
        });
        for option in options.take(MAX_COMPARED) {
            sources.add(option, |other| self.is_same_version(option.engine, other));
        }
    }

    /// True if both engines run the same software version: what another version has written does not fit.
    fn is_same_version(&self, one: EndpointIndex, other: EndpointIndex) -> bool {
        self.version(one) == self.version(other)
    }

    /// The engine if it may be a source now. It may be full or busy with prefill.
    fn usable_source(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        index: EndpointIndex,
    ) -> Option<&EngineState> {
        let state = self.state(index);
        let is_reachable = state.is_open() && state.failures == 0 && query.halls.contains(state.hall);
        let engine = state.engine.as_ref().filter(|_| is_reachable && !(query.is_excluded)(index))?;
        (!engine.outlook(now).is_overdue && !engine.source_record.is_suspended(now)).then_some(engine)
    }

    /// The number of tokens below which copying is not worthwhile for most engines.
    fn least_worthwhile_tokens(&self) -> u64 {
        let totals = self.totals();
        let tokens_per_second = totals.tokens_per_second() / totals.open.max(1) as f64;
        (self.copy_link.min_duration().as_secs_f64() * tokens_per_second) as u64
    }

    /// The copy that the engine should make for a prompt of which it caches `cached` tokens and which it
    /// would begin to prefill after `queue_time`. A source for a deeper part is preferred, then one in
    /// the same hall, then the copy that ends first.
    pub(super) fn plan_copy(
        &self,
        now: Moment,
        sources: &CacheSources,
        index: EndpointIndex,
        cached: u64,
        queue_time: Duration,
    ) -> Option<PlannedCopy> {
        let hall = self.hall(index);
        let mut levels = sources.options.chunk_by(|first, second| first.level == second.level);
        levels.find_map(|level| {
            let best = |same_hall: bool| {
                let options = level.iter().filter(|option| (option.hall == hall) == same_hall);
                let copies =
                    options.filter_map(|option| self.copy_from(now, option, index, cached, queue_time));
                copies.min_by_key(PlannedCopy::total)
            };
            best(true).or_else(|| best(false))
        })
    }

    /// The copy from one source, if it is worthwhile.
    fn copy_from(
        &self,
        now: Moment,
        source: &SourceOption,
        index: EndpointIndex,
        cached: u64,
        queue_time: Duration,
    ) -> Option<PlannedCopy> {
        let tokens = source.tokens.saturating_sub(cached);
        if tokens == 0 || source.engine == index || !self.is_same_version(source.engine, index) {
            return None;
        }
        let engine = self.state(index).engine.as_ref()?;
        let duration = self.copy_link.duration(tokens, source.hall == self.hall(index))?;
        let wait = source.sent_by.max(engine.copies.received_by).since(now);
        let prefill = engine.rate().prefill_time(tokens);
        let is_worthwhile = prefill >= duration.mul_f64(MIN_PREFILL_FACTOR)
            && prefill > wait.saturating_sub(queue_time) + duration;
        is_worthwhile.then_some(PlannedCopy { source: source.engine, tokens, wait, duration })
    }

    /// Records that a prompt was granted to an engine with a copy.
    pub(super) fn note_copy_granted(&mut self, now: Moment, index: EndpointIndex, copy: PlannedCopy) {
        let ends_at = now + copy.total();
        let mut extend = |index: EndpointIndex, extend: fn(&mut CopyQueues, Moment)| {
            if let Some(engine) = &mut self.state_mut(index).engine {
                extend(&mut engine.copies, ends_at);
            }
        };
        extend(copy.source, |queues, ends_at| queues.sent_by = ends_at);
        extend(index, |queues, ends_at| queues.received_by = ends_at);
        self.copy_link.counters.grants += 1;
        self.copy_link.counters.tokens += copy.tokens;
    }

    /// Learns from the first event of a prompt with a copy to `index`. A source whose copy brought
    /// nothing is no source of this prompt's parts until it is known to have them.
    pub(super) fn note_copy_observed(
        &mut self,
        now: Moment,
        index: EndpointIndex,
        prompt: &PromptShape,
        observation: CopyObservation,
    ) {
        if let Some(micros) = observation.observed {
            self.copy_link.observe(observation.expected, micros);
        }
        let Some(source) = &mut self.states[observation.source.position()].engine else { return };
        match observation.outcome {
            CopyOutcome::Copied => source.source_record.note_copied(),
            CopyOutcome::Missed => {
                prompt.prefixes.iter().for_each(|prefix| source.doubt_part(*prefix));
                let is_suspended = source.source_record.note_missed(now, index);
                self.copy_link.counters.missed += 1;
                self.copy_link.counters.suspensions += u64::from(is_suspended);
            }
            CopyOutcome::Unclear => {}
        }
    }
}
