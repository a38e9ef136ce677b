//! Which engine a grant names as the source of cached prompt parts.

use crate::harness::{endpoint, hello, ticket, ShardHarness};
use micaspool_dispatch::{
    CacheCopyStatus, CacheUpdate, CachedPart, EngineTraits, GrantOutcome, LoadReport, RequestTicket,
    SessionId, ShardAction, ShardEvent,
};
use micaspool_types::{Cost, EndpointName, RequestId, SoftwareVersion};
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

const SLOTS: u32 = 64;
/// The prefill rate of the engines in tokens per millisecond.
const PACE: u64 = 50;
/// Time from the end of prefill to the first event, in milliseconds.
const LATENCY: u64 = 30;
/// A part that takes 110 ms to prefill and 12 ms to copy within a hall.
const LARGE_PART: CachedPart = CachedPart { prefix: 7, tokens: 5_500 };
/// A part that takes as long to copy as to prefill.
const SMALL_PART: CachedPart = CachedPart { prefix: 8, tokens: 400 };
const TRAITS: EngineTraits =
    EngineTraits { event_tokens: 8, token_bytes: 18_432, link_bytes_per_second: 22_500_000_000 };

/// A grant with the engine that it names as the source.
#[derive(Debug, Clone, PartialEq)]
struct SourcedGrant {
    request: u128,
    engine: EndpointName,
    source: Option<EndpointName>,
}

/// A shard of engines `e0`, `e1`, ... in halls 0, 1, 2, 0, ...
fn engines(count: usize, traits: EngineTraits) -> ShardHarness {
    let mut harness = ShardHarness::new(count, SLOTS, &["a"]);
    harness.update_policy(|policy| {
        for spec in &mut policy.endpoints {
            spec.memory_tokens = 500_000;
        }
        policy.planned_pace = PACE as f64;
        policy.engine = traits;
    });
    harness.join(1, hello("r1", 1));
    harness
}

fn prompt(number: u128, part: CachedPart, own: u32) -> RequestTicket {
    let tokens = u64::from(part.tokens + own);
    RequestTicket {
        prefixes: vec![part.prefix, 1_000_000 + number as u64],
        prefix_tokens: vec![part.tokens, own],
        prompt_tokens: Cost(tokens),
        ..ticket(number, "a", tokens)
    }
}

fn update(engine: usize) -> CacheUpdate {
    CacheUpdate {
        endpoint: endpoint(engine),
        stored: Vec::new(),
        dropped: Vec::new(),
        cached_parts: Vec::new(),
        whole: false,
    }
}

/// Lets engines report that they have a part.
fn report_part(harness: &mut ShardHarness, part: CachedPart, engines: &[usize]) {
    for engine in engines {
        let update = CacheUpdate { cached_parts: vec![part], ..update(*engine) };
        harness.step(ShardEvent::Cache(update));
    }
}

/// Closes engines for further prompts with work of their own, which others granted, for a second.
fn occupy(harness: &mut ShardHarness, engines: &[usize]) {
    for engine in engines {
        let report = LoadReport {
            endpoint: endpoint(*engine),
            running: 0,
            waiting: 60,
            draining: false,
            requested_at: harness.now,
        };
        harness.step(ShardEvent::Load(report));
    }
}

/// Reports first events that make the engines' rates known, so that work of others closes them.
fn warm_up(harness: &mut ShardHarness, count: usize) {
    for engine in 0..count {
        let number = 900_000 + engine as u128;
        let part = CachedPart { prefix: 500 + engine as u64, tokens: 10 };
        harness.submit(1, prompt(number, part, 4_990));
    }
    harness.advance_with_heartbeats(5_000 / PACE + LATENCY, &[1]);
    for engine in 0..count {
        finish(harness, 900_000 + engine as u128);
    }
    harness.advance_with_heartbeats(1_000, &[1]);
    assert_eq!(harness.take_grants().len(), count, "each engine gets one prompt");
}

fn begin(harness: &mut ShardHarness, number: u128) {
    harness.step(ShardEvent::Progress(SessionId(1), RequestId(number), Cost(1)));
}

fn finish(harness: &mut ShardHarness, number: u128) {
    begin(harness, number);
    harness.settle(1, number, 1, GrantOutcome::Done);
}

fn take_grants(harness: &mut ShardHarness) -> Vec<SourcedGrant> {
    let grants = harness.actions.drain(..).filter_map(|action| match action {
        ShardAction::Grant { request, endpoint, cache_source, .. } => {
            Some(SourcedGrant { request: request.0, engine: endpoint, source: cache_source })
        }
        _ => None,
    });
    grants.collect()
}

fn submit_and_take(harness: &mut ShardHarness, ticket: RequestTicket) -> SourcedGrant {
    harness.submit(1, ticket);
    let grants = take_grants(harness);
    assert_eq!(grants.len(), 1, "one prompt is granted at once: {grants:?}");
    grants[0].clone()
}

fn number_of(name: &EndpointName) -> usize {
    name.as_str()[1..].parse().expect("endpoints are numbered")
}

fn copies(harness: &ShardHarness) -> CacheCopyStatus {
    harness.core.status(harness.now).copies.expect("the engines copy parts")
}

/// Guards against waiting for the engine that caches the part while another one is idle.
#[test]
fn a_free_engine_copies_from_a_busy_one_instead_of_waiting_for_it() {
    let mut harness = engines(2, TRAITS);
    warm_up(&mut harness, 2);
    report_part(&mut harness, LARGE_PART, &[0]);
    occupy(&mut harness, &[0]);
    let grant = submit_and_take(&mut harness, prompt(1, LARGE_PART, 500));
    assert_eq!((grant.engine, grant.source), (endpoint(1), Some(endpoint(0))));
    let CacheCopyStatus { grants, tokens, .. } = copies(&harness);
    assert_eq!((grants, tokens), (1, 5_500), "the status counts the grant and its copied tokens");
}

/// Guards against an engine that reads what another software version has written.
#[test]
fn an_engine_of_another_version_is_no_source() {
    let mut harness = engines(4, TRAITS);
    harness.update_policy(|policy| {
        for (spec, version) in policy.endpoints.iter_mut().zip(["v1", "v2", "v2", "v2"]) {
            spec.version = SoftwareVersion::new(version);
        }
    });
    warm_up(&mut harness, 4);
    report_part(&mut harness, LARGE_PART, &[0]);
    occupy(&mut harness, &[0]);
    let first = submit_and_take(&mut harness, prompt(1, LARGE_PART, 500));
    assert_eq!(first.source, None, "the only engine that has the part runs another version");
    finish(&mut harness, 1);
    let holder = number_of(&first.engine);
    occupy(&mut harness, &[holder]);
    let second = submit_and_take(&mut harness, prompt(2, LARGE_PART, 500));
    assert_ne!(second.engine, first.engine);
    assert_eq!(second.source, Some(first.engine));
}

/// Guards against copies where an engine that has the part is free.
#[test]
fn an_idle_engine_that_has_the_part_gets_the_prompt_without_a_copy() {
    let mut harness = engines(3, TRAITS);
    report_part(&mut harness, LARGE_PART, &[0, 1]);
    let grant = submit_and_take(&mut harness, prompt(1, LARGE_PART, 500));
    assert!([endpoint(0), endpoint(1)].contains(&grant.engine));
    assert_eq!(grant.source, None, "the engine has cached whatever a source could give");
}

/// Guards against changed decisions where the plan doesn't offer the feature.
#[test_case(EngineTraits { token_bytes: 0, ..TRAITS }; "unknown token size")]
#[test_case(EngineTraits { link_bytes_per_second: 0, ..TRAITS }; "unknown link")]
fn without_traits_no_source_is_named(traits: EngineTraits) {
    let mut harness = engines(2, traits);
    warm_up(&mut harness, 2);
    report_part(&mut harness, LARGE_PART, &[0]);
    occupy(&mut harness, &[0]);
    harness.submit(1, prompt(1, LARGE_PART, 500));
    harness.advance_with_heartbeats(3_000, &[1]);
    let grants = take_grants(&mut harness);
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].source, None);
    assert_eq!(harness.core.status(harness.now).copies, None);
}

/// Guards against copies that take as long as prefill.
#[test]
fn a_part_that_is_prefilled_as_fast_is_not_copied() {
    let mut harness = engines(2, TRAITS);
    warm_up(&mut harness, 2);
    report_part(&mut harness, SMALL_PART, &[0]);
    occupy(&mut harness, &[0]);
    let grant = submit_and_take(&mut harness, prompt(1, SMALL_PART, 500));
    assert_eq!((grant.engine, grant.source), (endpoint(1), None));
}

/// Guards against a queue of copies at one source that delays prompts for longer than prefill.
#[test]
fn copies_from_one_source_are_bounded() {
    let count = 40;
    let mut harness = engines(count, TRAITS);
    warm_up(&mut harness, count);
    report_part(&mut harness, LARGE_PART, &[0]);
    occupy(&mut harness, &[0]);
    for number in 0..count as u128 {
        harness.submit(1, prompt(number, LARGE_PART, 500));
    }
    let grants = take_grants(&mut harness);
    let copied = grants.iter().filter(|grant| grant.source.is_some()).count();
    let prefilled = grants.len() - copied;
    assert!(
        (4..=9).contains(&copied),
        "the part takes 110 ms to prefill, and 12 to 25 ms to copy: {copied} copies, {prefilled} without"
    );
    assert!(grants.iter().flat_map(|grant| &grant.source).all(|source| *source == endpoint(0)));
    // Once the queue has shrunk, the source is used again, and those that have copied the part are sources.
    harness.advance_with_heartbeats(150, &[1]);
    for grant in &grants {
        begin(&mut harness, grant.request);
    }
    occupy(&mut harness, &(0..count - 1).collect::<Vec<_>>());
    take_grants(&mut harness);
    harness.submit(1, prompt(1_000, LARGE_PART, 500));
    let later = take_grants(&mut harness);
    assert!(later.iter().all(|grant| grant.source.is_some() || grant.engine == endpoint(count - 1)));
}

/// Guards against copies between halls, which take twice as long, while the same hall has a source, and against a
/// queue of copies at one source while another one has none.
#[test]
fn a_source_in_the_same_hall_is_preferred_then_the_one_with_fewer_copies() {
    // e1, e4 and e7 are in hall 1.
    let mut harness = engines(12, TRAITS);
    warm_up(&mut harness, 12);
    let other_part = CachedPart { prefix: 9, ..LARGE_PART };
    report_part(&mut harness, LARGE_PART, &[0, 2, 3, 1, 4, 5]);
    report_part(&mut harness, other_part, &[0, 2, 3, 1, 4, 5]);
    occupy(&mut harness, &[0, 1, 2, 3, 4, 5, 6, 8, 9, 11]);
    let first = submit_and_take(&mut harness, prompt(1, LARGE_PART, 500));
    let second = submit_and_take(&mut harness, prompt(2, other_part, 500));
    let hall = BTreeSet::from([endpoint(7), endpoint(10)]);
    assert_eq!(BTreeSet::from([first.engine, second.engine]), hall, "the two idle engines are in hall 1");
    let sources: BTreeSet<_> = [first.source, second.source].into_iter().flatten().collect();
    assert_eq!(sources, BTreeSet::from([endpoint(1), endpoint(4)]), "both sources of hall 1 are used");
}

/// Guards against prefill of a part that only an engine in another hall has, although copying it is faster.
#[test]
fn a_source_in_another_hall_is_used_if_there_is_none_in_the_same() {
    let mut harness = engines(2, TRAITS);
    warm_up(&mut harness, 2);
    report_part(&mut harness, LARGE_PART, &[1]);
    occupy(&mut harness, &[1]);
    let grant = submit_and_take(&mut harness, prompt(1, LARGE_PART, 500));
    assert_eq!((grant.engine, grant.source), (endpoint(0), Some(endpoint(1))));
}

#[derive(Clone, Copy)]
enum Loss {
    Listed,
    Draining,
    Settings,
    Evacuated,
    Unreachable,
    Overdue,
    Dropped,
    WholeListWithout,
}

/// Guards against naming a source that can't give the part.
#[test_case(Loss::Listed; "listed as leaving")]
#[test_case(Loss::Draining; "draining")]
#[test_case(Loss::Settings; "out of the settings")]
#[test_case(Loss::Evacuated; "evacuated")]
#[test_case(Loss::Unreachable; "unreachable, thus paused")]
#[test_case(Loss::Overdue; "with an overdue first event")]
#[test_case(Loss::Dropped; "dropped the part")]
#[test_case(Loss::WholeListWithout; "reported a list without the part")]
fn an_engine_that_is_lost_is_no_source(loss: Loss) {
    let mut harness = engines(2, TRAITS);
    warm_up(&mut harness, 2);
    report_part(&mut harness, LARGE_PART, &[0]);
    match loss {
        Loss::Listed => harness.step(ShardEvent::Listed(BTreeSet::from([endpoint(0)]))),
        Loss::Draining => harness.report_load(0, 0, true),
        Loss::Settings => harness.update_policy(|policy| policy.endpoints[0].leaving = true),
        Loss::Evacuated => harness.update_policy(|policy| policy.endpoints[0].evacuated = true),
        Loss::Unreachable => harness.step(ShardEvent::Unreachable(endpoint(0))),
        Loss::Overdue => {
            let grant = submit_and_take(&mut harness, prompt(50, LARGE_PART, 500));
            assert_eq!(grant.engine, endpoint(0));
            harness.advance_with_heartbeats(2_000, &[1]);
        }
        Loss::Dropped => {
            harness.step(ShardEvent::Cache(CacheUpdate { dropped: vec![LARGE_PART.prefix], ..update(0) }))
        }
        Loss::WholeListWithout => harness.step(ShardEvent::Cache(CacheUpdate { whole: true, ..update(0) })),
    }
    if matches!(loss, Loss::Dropped | Loss::WholeListWithout) {
        occupy(&mut harness, &[0]);
    }
    let grant = submit_and_take(&mut harness, prompt(1, LARGE_PART, 500));
    assert_eq!((grant.engine, grant.source), (endpoint(1), None));
}

/// Guards against copying from an engine that still prefills the part.
#[test]
fn an_engine_is_a_source_only_after_its_first_event() {
    let mut harness = engines(3, TRAITS);
    warm_up(&mut harness, 3);
    let first = submit_and_take(&mut harness, prompt(1, LARGE_PART, 500));
    let others: Vec<usize> = (0..3).filter(|number| endpoint(*number) != first.engine).collect();
    harness.advance_with_heartbeats(20, &[1]);
    occupy(&mut harness, &[number_of(&first.engine), others[0]]);
    let early = submit_and_take(&mut harness, prompt(2, LARGE_PART, 500));
    assert_eq!((early.engine, early.source), (endpoint(others[1]), None));
    harness.advance_with_heartbeats(130, &[1]);
    begin(&mut harness, 1);
    harness.advance_with_heartbeats(1_000, &[1]);
    occupy(&mut harness, &[number_of(&first.engine), others[1]]);
    let late = submit_and_take(&mut harness, prompt(3, LARGE_PART, 500));
    assert_eq!((late.engine, late.source), (endpoint(others[0]), Some(first.engine)));
}

/// Guards against a source that lacks a part in the middle being named instead of one that has all parts, because
/// it has the shorter queue of copies.
#[test]
fn a_source_of_all_parts_goes_before_one_that_lacks_a_part() {
    // e1, e4, e7 and e10 are in hall 1.
    let mut harness = engines(12, TRAITS);
    warm_up(&mut harness, 12);
    let parts = [LARGE_PART, CachedPart { prefix: 8, ..LARGE_PART }, CachedPart { prefix: 9, ..LARGE_PART }];
    let other_part = CachedPart { prefix: 20, ..LARGE_PART };
    parts.iter().for_each(|part| report_part(&mut harness, *part, &[1]));
    report_part(&mut harness, parts[0], &[4]);
    report_part(&mut harness, parts[2], &[4]);
    report_part(&mut harness, other_part, &[1]);
    occupy(&mut harness, &[0, 1, 2, 3, 4, 5, 6, 8, 9, 11]);
    let first = submit_and_take(&mut harness, prompt(1, other_part, 500));
    assert_eq!(first.source, Some(endpoint(1)), "e1 has a queue of copies now");
    let all_parts = RequestTicket {
        prefixes: parts.iter().map(|part| part.prefix).collect(),
        prefix_tokens: parts.iter().map(|part| part.tokens).collect(),
        prompt_tokens: Cost(17_000),
        ..ticket(2, "a", 17_000)
    };
    let second = submit_and_take(&mut harness, all_parts);
    assert_eq!(second.source, Some(endpoint(1)), "e4 has only the first and the last part");
}

/// Guards against naming an engine again and again for a part that it doesn't have.
#[test]
fn a_source_that_gave_nothing_is_not_named_for_the_part_until_it_is_known_to_have_it() {
    // e0 and e3 are in the same hall.
    let mut harness = engines(4, TRAITS);
    warm_up(&mut harness, 4);
    report_part(&mut harness, LARGE_PART, &[0]);
    occupy(&mut harness, &[0, 2, 3]);
    let first = submit_and_take(&mut harness, prompt(1, LARGE_PART, 1_500));
    assert_eq!((first.engine, first.source), (endpoint(1), Some(endpoint(0))));
    harness.advance_with_heartbeats(7_000 / PACE + LATENCY, &[1]);
    finish(&mut harness, 1);
    harness.advance_with_heartbeats(1_500, &[1]);
    occupy(&mut harness, &[0, 1, 2]);
    let second = submit_and_take(&mut harness, prompt(2, LARGE_PART, 1_500));
    assert_eq!((second.engine, second.source), (endpoint(3), Some(endpoint(1))));
    harness.settle(1, 2, 0, GrantOutcome::Unsent);
    harness.step(ShardEvent::Cache(CacheUpdate { whole: true, ..update(3) }));
    report_part(&mut harness, LARGE_PART, &[0]);
    harness.advance_with_heartbeats(1_500, &[1]);
    occupy(&mut harness, &[0, 1, 2]);
    take_grants(&mut harness);
    let third = submit_and_take(&mut harness, prompt(3, LARGE_PART, 1_500));
    assert_eq!((third.engine, third.source), (endpoint(3), Some(endpoint(0))));
}

/// Grants one prompt with a copy from `e0` to another engine of the shard, and lets its first event come as if
/// the copy had worked or not. Returns false if no source was named.
fn copy_once(harness: &mut ShardHarness, number: u128, works: bool) -> bool {
    let part = CachedPart { prefix: 2_000 + number as u64, ..LARGE_PART };
    report_part(harness, part, &[0]);
    occupy(harness, &[0]);
    let grant = submit_and_take(harness, prompt(number, part, 1_500));
    let prefill = if works { 1_500 / PACE + 12 } else { (5_500 + 1_500) / PACE };
    harness.advance_with_heartbeats(prefill + LATENCY, &[1]);
    finish(harness, number);
    // The next prompt goes to another engine, since this one caches the most.
    harness.advance_with_heartbeats(300, &[1]);
    take_grants(harness);
    grant.source.is_some()
}

/// Guards against a source that has lost its cache unnoticed being named for every prompt.
#[test]
fn a_source_whose_copies_bring_nothing_is_not_used_for_a_while() {
    let mut harness = engines(7, TRAITS);
    warm_up(&mut harness, 7);
    let named = (0..12).filter(|number| copy_once(&mut harness, *number, false)).count();
    let status = copies(&harness);
    assert!(status.suspensions >= 1 && status.missed >= 3, "{status:?}");
    assert!(named < 12, "{named} of 12 prompts named the source, {status:?}");
    harness.advance_with_heartbeats(10_000, &[1]);
    assert!(copy_once(&mut harness, 100, true), "after a while the source is tried again");
}

/// Guards against learning a wrong prefill rate or latency from prompts of which most was copied.
#[test_case(true; "copies work")]
#[test_case(false; "copies bring nothing")]
fn prompts_with_copies_do_not_distort_the_prefill_rate(works: bool) {
    let mut harness = engines(4, TRAITS);
    warm_up(&mut harness, 4);
    let before = harness.core.status(harness.now);
    let copied = (0..60).filter(|number| copy_once(&mut harness, *number, works)).count();
    assert!(copied >= 10, "{copied} prompts had a source");
    let after = harness.core.status(harness.now);
    for (before, after) in before.endpoints.iter().zip(&after.endpoints).skip(1) {
        let (before, after) = (before.prefill.expect("an engine"), after.prefill.expect("an engine"));
        let ratio = after.tokens_per_milli / before.tokens_per_milli;
        assert!((0.7..1.3).contains(&ratio), "{before:?} {after:?}");
        assert!(after.latency < before.latency + Duration::from_millis(10), "{before:?} {after:?}");
    }
}

/// Guards against copy times that are never corrected: links that are slower than the plan says.
#[test]
fn slow_copies_are_learnt() {
    let mut harness = engines(7, TRAITS);
    warm_up(&mut harness, 7);
    assert!((copies(&harness).slowdown - 1.0).abs() < 0.01);
    for number in 0..20 {
        let part = CachedPart { prefix: 2_000 + number as u64, ..LARGE_PART };
        report_part(&mut harness, part, &[0]);
        occupy(&mut harness, &[0]);
        let grant = submit_and_take(&mut harness, prompt(number, part, 1_500));
        assert!(grant.source.is_some());
        harness.advance_with_heartbeats(1_500 / PACE + 45 + LATENCY, &[1]);
        finish(&mut harness, number);
        harness.advance_with_heartbeats(200, &[1]);
        take_grants(&mut harness);
    }
    assert!(copies(&harness).slowdown > 1.2, "{:?}", copies(&harness));
    harness.advance_with_heartbeats(30_000, &[1]);
    assert!(copies(&harness).slowdown < 1.1, "older copies lose their weight, {:?}", copies(&harness));
}
