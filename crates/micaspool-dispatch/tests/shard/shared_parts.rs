//! A load of long prompts that share a few large parts, more than the engines that cache them can take.
//!
//! Guards against prefilling the shared parts again on engine after engine, and against letting prompts
//! wait for the few engines that cache them while others are idle.

use crate::harness::{endpoint, hello, ticket, ShardHarness};
use micaspool_dispatch::{
    CacheUpdate, CachedPart, EngineTraits, GrantOutcome, RequestTicket, SessionId, ShardAction, ShardEvent,
};
use micaspool_types::{Cost, EndpointName, RequestId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use test_case::test_case;

const HALLS: usize = 3;
const SLOTS: u32 = 24;
/// The tokens that fit into the memory of an engine.
const MEMORY: u64 = 457_065;
/// The share of it that caches parts, in percent; running requests take the rest.
const CACHE_PERCENT: u64 = 60;
/// The tokens of the shared part and of the own part of a prompt.
const SHARED_TOKENS: u32 = 5_382;
const OWN_TOKENS: u32 = 6_610;
/// Time from the end of prefill to the first event, in milliseconds.
const LATENCY: f64 = 20.0;
/// Time that a request runs after its first event, in milliseconds.
const RUN: u64 = 1_500;
const OBJECTIVE: u64 = 800;
/// The interval at which each engine reports its cache, in milliseconds.
const REPORT_INTERVAL: u64 = 300;
/// Prefill of a shared part counts as repeated if an engine used the part within this time, in
/// milliseconds.
const REUSE_TIME: u64 = 10_000;
const PLAY_MILLIS: u64 = 20_000;
/// The length of a slow period of an engine in milliseconds, and how much longer work takes in it.
const SLOW_PERIOD: u64 = 600;
const SLOW_FACTOR: f64 = 2.5;

/// The engines of a site and their load.
#[derive(Clone, Copy, Debug)]
struct Site {
    engines: usize,
    /// Prefill rate of an engine in tokens per millisecond, and the factors by which engines differ.
    pace: f64,
    speeds: &'static [f64],
    /// The part of the time, in percent, in which work takes `SLOW_FACTOR` times as long.
    slow_percent: u64,
    token_bytes: u64,
    link_bytes_per_second: u64,
    /// Time until a copy begins to transfer, in milliseconds.
    copy_start: f64,
    /// Prompts per second.
    rate: f64,
    /// How many shared parts there are.
    parts: u64,
}

impl Site {
    /// The prefill rate of an engine at a moment.
    fn pace_of(&self, index: usize, at: u64) -> f64 {
        let drawn = (at / SLOW_PERIOD * 1_009 + index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        let factor = if drawn % 100 < self.slow_percent { SLOW_FACTOR } else { 1.0 };
        self.pace * self.speeds[index % self.speeds.len()] / factor
    }

    /// Draws a shared part: the one with the number n is used 1 / (n + 1) times as often as the first.
    fn draw_part(&self, rng: &mut ChaCha8Rng) -> u64 {
        let weight = |part: u64| 1.0 / (part + 1) as f64;
        let mut rest = rng.random_range(0.0..(0..self.parts).map(weight).sum::<f64>());
        let drawn = (0..self.parts).find(|part| {
            rest -= weight(*part);
            rest < 0.0
        });
        drawn.unwrap_or(self.parts - 1)
    }
}

const SITE_A: Site = Site {
    engines: 18,
    pace: 56.6,
    speeds: &[0.9, 1.1, 1.0],
    slow_percent: 0,
    token_bytes: 18_432,
    link_bytes_per_second: 22_500_000_000,
    copy_start: 8.0,
    rate: 150.0,
    parts: 60,
};

const SITE_B: Site = Site {
    engines: 20,
    pace: 64.2,
    speeds: &[0.55, 1.2, 1.2, 1.2],
    slow_percent: 15,
    token_bytes: 163_840,
    link_bytes_per_second: 68_750_000_000,
    copy_start: 2.7,
    rate: 160.0,
    parts: 60,
};

/// Site B without slow periods, at the load that it can take then.
const STEADY_SITE_B: Site = Site { slow_percent: 0, rate: 190.0, ..SITE_B };

/// A part in the memory of an engine, with times in milliseconds.
#[derive(Debug)]
struct CachedState {
    tokens: u32,
    since: f64,
    last_used: f64,
}

/// An engine that prefills one prompt after the other. Times are in milliseconds.
#[derive(Debug, Default)]
struct EngineModel {
    /// When it has prefilled everything.
    busy_until: f64,
    /// When its copies to others and from others have ended.
    sent_by: f64,
    received_by: f64,
    parts: HashMap<u64, CachedState>,
    /// The parts that were evicted since the last report.
    dropped: Vec<u64>,
    stored: Vec<CachedPart>,
}

impl EngineModel {
    /// True if the part is cached at a moment; parts in prefill are not there yet.
    fn has(&self, part: u64, at: f64) -> bool {
        self.parts.get(&part).is_some_and(|state| state.since <= at)
    }

    fn store(&mut self, part: u64, tokens: u32, at: f64) {
        let state = self.parts.entry(part).or_insert(CachedState { tokens, since: at, last_used: at });
        state.last_used = state.last_used.max(at);
        self.stored.push(CachedPart { prefix: part, tokens });
        let limit = MEMORY * CACHE_PERCENT / 100;
        while self.parts.values().map(|state| u64::from(state.tokens)).sum::<u64>() > limit {
            let by_use = |a: &(&u64, &CachedState), b: &(&u64, &CachedState)| {
                a.1.last_used.total_cmp(&b.1.last_used).then(a.0.cmp(b.0))
            };
            let oldest = *self.parts.iter().min_by(by_use).expect("the cache is over its limit").0;
            self.parts.remove(&oldest);
            self.dropped.push(oldest);
            self.stored.retain(|part| part.prefix != oldest);
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Begin,
    End,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcome {
    submitted: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    /// Tokens of shared parts that were prefilled though some engine had used them lately.
    repeated_tokens: u64,
    copied_tokens: u64,
    /// The time in which engines prefilled, in milliseconds.
    prefill_millis: f64,
}

impl Outcome {
    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.submitted)
    }
}

/// A shard, the engines of a site and their load.
struct SharedLoad {
    site: Site,
    /// False if copies bring nothing.
    copies_work: bool,
    /// True if engines begin a copy only when it is the prompt's turn to be prefilled, and prefill nothing
    /// meanwhile.
    copies_block: bool,
    harness: ShardHarness,
    engines: Vec<EngineModel>,
    due: BTreeMap<(u64, u128), Step>,
    /// The shared part and the arrival of each prompt.
    open: HashMap<u128, (u64, u64)>,
    last_used: HashMap<u64, u64>,
    outcome: Outcome,
}

impl SharedLoad {
    fn new(site: Site, with_copies: bool) -> SharedLoad {
        let mut harness = ShardHarness::new(site.engines, SLOTS, &["a"]);
        harness.update_policy(|policy| {
            for spec in &mut policy.endpoints {
                spec.memory_tokens = MEMORY;
            }
            policy.planned_pace = site.pace;
            if with_copies {
                policy.engine = EngineTraits {
                    event_tokens: 8,
                    token_bytes: site.token_bytes,
                    link_bytes_per_second: site.link_bytes_per_second,
                };
            }
        });
        harness.join(1, hello("r1", 1));
        SharedLoad {
            site,
            copies_work: true,
            copies_block: false,
            harness,
            engines: (0..site.engines).map(|_| EngineModel::default()).collect(),
            due: BTreeMap::new(),
            open: HashMap::new(),
            last_used: HashMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn play(mut self, seed: u64) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut number = 0;
        for now in 0..PLAY_MILLIS {
            self.harness.now = self.harness.now + Duration::from_millis(1);
            self.take_due(now);
            if rng.random_bool(self.site.rate / 1_000.0) {
                number += 1;
                let part = self.site.draw_part(&mut rng);
                self.submit(now, number, part);
            }
            self.report_caches(now);
            self.harness.step(ShardEvent::Wake);
            if now.is_multiple_of(50) {
                self.harness.step(ShardEvent::Heartbeat(SessionId(1), 1));
                self.harness.step(ShardEvent::Tick);
            }
            self.take_actions(now);
        }
        self.outcome
    }

    fn submit(&mut self, now: u64, number: u128, part: u64) {
        self.outcome.submitted += 1;
        self.open.insert(number, (part, now));
        let tokens = u64::from(SHARED_TOKENS + OWN_TOKENS);
        let prompt = RequestTicket {
            prefixes: vec![part, 1_000_000 + number as u64],
            prefix_tokens: vec![SHARED_TOKENS, OWN_TOKENS],
            prompt_tokens: Cost(tokens),
            objective: Some(Duration::from_millis(OBJECTIVE)),
            ..ticket(number, "a", tokens)
        };
        self.harness.submit(1, prompt);
    }

    fn report_caches(&mut self, now: u64) {
        for index in 0..self.engines.len() {
            if !(now + index as u64 * 7).is_multiple_of(REPORT_INTERVAL) {
                continue;
            }
            let engine = &mut self.engines[index];
            let due = |part: &CachedPart| engine.parts[&part.prefix].since <= now as f64;
            let (cached_parts, later) = engine.stored.iter().copied().partition(due);
            engine.stored = later;
            let update = CacheUpdate {
                endpoint: endpoint(index),
                stored: Vec::new(),
                dropped: std::mem::take(&mut engine.dropped),
                cached_parts,
                whole: false,
            };
            self.harness.step(ShardEvent::Cache(update));
        }
    }

    fn take_due(&mut self, now: u64) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, number), step) = entry.remove_entry();
            match step {
                Step::Begin => {
                    let (_, since) = self.open[&number];
                    let is_in_time = now - since <= OBJECTIVE;
                    self.outcome.in_time += u32::from(is_in_time);
                    self.outcome.late += u32::from(!is_in_time);
                    self.harness.step(ShardEvent::Progress(SessionId(1), RequestId(number), Cost(1)));
                    self.due.insert((now + RUN, number), Step::End);
                }
                Step::End => self.harness.settle(1, number, 12_000, GrantOutcome::Done),
            }
        }
    }

    fn take_actions(&mut self, now: u64) {
        for action in std::mem::take(&mut self.harness.actions) {
            match action {
                ShardAction::Grant { request, endpoint, cache_source, .. } => {
                    self.accept(now, request.0, number_of(&endpoint), cache_source.as_ref().map(number_of));
                }
                ShardAction::Refuse { .. } => self.outcome.refused += 1,
                _ => {}
            }
        }
    }

    /// Lets an engine copy and prefill a prompt.
    fn accept(&mut self, now: u64, number: u128, index: usize, source: Option<usize>) {
        let (part, _) = self.open[&number];
        let arrival = now as f64 + 1.0;
        let mut start = self.engines[index].busy_until.max(arrival);
        let mut tokens = SHARED_TOKENS + OWN_TOKENS;
        let source = source.filter(|source| {
            self.copies_work
                && !self.engines[index].has(part, start)
                && self.engines[*source].has(part, arrival)
        });
        if let Some(source) = source {
            let transfer = f64::from(SHARED_TOKENS) * self.site.token_bytes as f64
                / self.site.link_bytes_per_second as f64;
            let factor = if source % HALLS == index % HALLS { 1.0 } else { 2.0 };
            let ready = if self.copies_block { start } else { arrival };
            let begin = ready.max(self.engines[source].sent_by).max(self.engines[index].received_by);
            let end = begin + (self.site.copy_start + transfer * 1_000.0) * factor;
            self.engines[source].sent_by = end;
            self.engines[index].received_by = end;
            start = start.max(end);
            tokens -= SHARED_TOKENS;
            self.outcome.copied_tokens += u64::from(SHARED_TOKENS);
        } else if self.engines[index].has(part, start) {
            tokens -= SHARED_TOKENS;
        } else if self.last_used.get(&part).is_some_and(|used| now.saturating_sub(*used) < REUSE_TIME) {
            self.outcome.repeated_tokens += u64::from(SHARED_TOKENS);
        }
        let pace = self.site.pace_of(index, start as u64);
        let prefill = f64::from(tokens) / pace;
        let engine = &mut self.engines[index];
        engine.busy_until = start + prefill;
        let done = engine.busy_until;
        engine.store(part, SHARED_TOKENS, done);
        engine.store(1_000_000 + number as u64, OWN_TOKENS, done);
        self.outcome.prefill_millis += prefill;
        self.last_used.insert(part, done as u64);
        self.due.insert(((done + LATENCY).ceil() as u64, number), Step::Begin);
    }
}

fn number_of(name: &EndpointName) -> usize {
    name.as_str()[1..].parse().expect("endpoints are numbered")
}

/// Guards against copies that save less than half of the repeated prefill, or delay prompts by more than they save.
#[test_case(SITE_A, 1; "site A")]
#[test_case(SITE_A, 2; "site A, another seed")]
#[test_case(SITE_A, 3; "site A, a third seed")]
#[test_case(STEADY_SITE_B, 1; "site B without slow periods")]
#[test_case(SITE_B, 1; "site B")]
#[test_case(SITE_B, 2; "site B, another seed")]
#[test_case(SITE_B, 3; "site B, a third seed")]
fn copies_save_repeated_prefill_and_more_prompts_are_in_time(site: Site, seed: u64) {
    let without = SharedLoad::new(site, false).play(seed);
    let with = SharedLoad::new(site, true).play(seed);
    assert_eq!(without.copied_tokens, 0, "nothing is copied without a link");
    assert!(with.repeated_tokens * 2 < without.repeated_tokens, "with {with:?}, without {without:?}");
    assert!(with.in_time_share() > without.in_time_share(), "with {with:?}, without {without:?}");
}

/// Guards against copies that only pay off if engines prefill other prompts meanwhile.
#[test_case(SITE_A, 1; "site A")]
#[test_case(SITE_B, 1; "site B")]
fn copies_also_pay_off_on_engines_that_prefill_nothing_meanwhile(site: Site, seed: u64) {
    let without = SharedLoad::new(site, false).play(seed);
    let blocking = SharedLoad { copies_block: true, ..SharedLoad::new(site, true) }.play(seed);
    assert!(blocking.repeated_tokens * 2 < without.repeated_tokens, "{blocking:?}, without {without:?}");
    assert!(blocking.in_time_share() > without.in_time_share(), "{blocking:?}, without {without:?}");
}

/// Guards against copies that bring nothing costing much more than the prefill that they were to replace.
#[test_case(SITE_A, 1; "site A")]
#[test_case(STEADY_SITE_B, 1; "site B without slow periods")]
fn copies_that_bring_nothing_cost_only_prefill(site: Site, seed: u64) {
    let without = SharedLoad::new(site, false).play(seed);
    let failing = SharedLoad { copies_work: false, ..SharedLoad::new(site, true) }.play(seed);
    assert!(failing.repeated_tokens * 4 < without.repeated_tokens * 5, "{failing:?}, without {without:?}");
    assert!(failing.in_time_share() > without.in_time_share() - 0.03, "{failing:?}, without {without:?}");
}
