//! Cold endpoints, which sustain only a low request rate for a while after their start, under a higher rate
//! of short requests.
//!
//! A cold endpoint fails when more requests than 1.5 times its sustained rate plus five arrive within one
//! second, from all senders together. Limited by its prefill rate alone, an engine would get thirty short
//! prompts a second.

use crate::harness::{customer, endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{
    ColdStartLimits, GrantOutcome, RequestTicket, SessionId, ShardAction, ShardEvent, ShardOptions,
};
use micaspool_types::{Cost, EndpointName, Moment};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;
use test_case::test_case;

/// Requests a second that a cold endpoint sustains.
const SUSTAINED_RATE: f64 = 6.1;
/// The most requests that may arrive within any one second: 1.5 times the sustained rate plus five.
const MAX_ARRIVALS: usize = 14;
/// How long endpoints are cold, in milliseconds.
const COLD_MILLIS: u64 = 3_000;
/// A span within the cold time, in milliseconds.
const WITHIN_COLD_MILLIS: u64 = COLD_MILLIS - 50;
/// Requests that an endpoint may run at once.
const SLOTS: u32 = 32;
/// Time from a request's arrival at the endpoint to its first event.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

fn cold_limits() -> ColdStartLimits {
    ColdStartLimits {
        start: Duration::from_millis(COLD_MILLIS),
        request_time: Duration::from_secs_f64(1.0 / SUSTAINED_RATE),
    }
}

/// A shard of engines under more requests than they can take.
struct ColdHall {
    harness: ShardHarness,
    next: u128,
    /// The granted requests that have not begun, each with the time of its first event.
    granted: Vec<(Moment, u128)>,
    /// The granted requests that have not ended, each with the time of its end.
    running: Vec<(Moment, u128)>,
    /// The times at which requests arrived at each endpoint.
    arrivals: HashMap<EndpointName, Vec<Moment>>,
}

impl ColdHall {
    fn new(engines: usize, options: ShardOptions) -> ColdHall {
        let mut harness = ShardHarness::recovering(engines, SLOTS, &["a", "b"], options);
        harness.advance(1_000);
        harness.update_policy(|policy| {
            policy.cold = cold_limits();
            policy.planned_pace = 50.0;
            for spec in &mut policy.endpoints {
                spec.memory_tokens = 500_000;
            }
        });
        harness.join(1, hello("r1", 1));
        ColdHall { harness, next: 1, granted: Vec::new(), running: Vec::new(), arrivals: HashMap::new() }
    }

    /// Marks all endpoints as cold in the policy.
    fn turn_cold(&mut self) {
        self.harness.update_policy(|policy| {
            policy.endpoints.iter_mut().for_each(|spec| spec.cold = Duration::from_millis(COLD_MILLIS));
        });
    }

    /// Submits a short prompt.
    fn submit_question(&mut self) {
        self.next += 1;
        let name = if self.next.is_multiple_of(3) { "b" } else { "a" };
        let question = RequestTicket {
            prompt_tokens: Cost(400),
            objective: Some(Duration::from_millis(600)),
            ..ticket(self.next, name, 500)
        };
        self.harness.submit(1, question);
    }

    /// Submits `per_step` prompts every 10 ms for `millis`. A grant reaches its endpoint after `delay`, and
    /// its request ends `work` ms later with `outcome`.
    fn run_load(
        &mut self,
        millis: u64,
        per_step: usize,
        mut delay: impl FnMut() -> u64,
        work: u64,
        mut outcome: impl FnMut() -> GrantOutcome,
    ) {
        for _ in 0..millis / 10 {
            for _ in 0..per_step {
                self.submit_question();
            }
            self.harness.now = self.harness.now + Duration::from_millis(10);
            self.harness.step(ShardEvent::Heartbeat(SessionId(1), 1));
            let now = self.harness.now;
            for action in std::mem::take(&mut self.harness.actions) {
                let ShardAction::Grant { request, endpoint, .. } = action else { continue };
                let arrives = now + Duration::from_millis(delay());
                self.arrivals.entry(endpoint).or_default().push(arrives);
                self.granted.push((arrives + FIRST_EVENT_DELAY, request.0));
                self.running.push((arrives + Duration::from_millis(work), request.0));
            }
            for request in take_due(&mut self.granted, now) {
                self.harness.step(ShardEvent::Progress(SessionId(1), request_id(request), Cost(1)));
            }
            for request in take_due(&mut self.running, now) {
                let outcome = outcome();
                self.harness.settle(1, request, 1, outcome);
            }
        }
    }

    /// Returns the most requests that arrived at one endpoint within one second.
    fn max_arrivals_per_second(&self) -> usize {
        self.arrivals.values().map(|arrivals| max_arrivals_per_second(arrivals.clone())).max().unwrap_or(0)
    }
}

/// Removes and returns the requests that are due at `now`.
fn take_due(planned: &mut Vec<(Moment, u128)>, now: Moment) -> Vec<u128> {
    let (past, rest): (Vec<_>, Vec<_>) = planned.drain(..).partition(|(at, _)| *at <= now);
    *planned = rest;
    past.into_iter().map(|(_, request)| request).collect()
}

fn max_arrivals_per_second(mut arrivals: Vec<Moment>) -> usize {
    arrivals.sort();
    let within =
        |first: &Moment| arrivals.iter().filter(|at| *at >= first && at.since(*first) < SECOND).count();
    arrivals.iter().map(within).max().unwrap_or(0)
}

#[test]
fn a_cold_hall_gets_the_rate_it_sustains() {
    let mut hall = ColdHall::new(6, ShardOptions::default());
    hall.turn_cold();
    hall.run_load(WITHIN_COLD_MILLIS, 4, || 1, 300, || GrantOutcome::Done);
    assert!(hall.max_arrivals_per_second() <= 7, "{}", hall.max_arrivals_per_second());
    let least = (0.8 * SUSTAINED_RATE * WITHIN_COLD_MILLIS as f64 / 1_000.0) as usize;
    for number in 0..6 {
        let got = hall.arrivals.get(&endpoint(number)).map_or(0, Vec::len);
        assert!(got >= least, "endpoint {number} got {got} requests, expected at least {least}");
    }
}

/// The limit ends when the reported cold time has passed, without a further report.
#[test]
fn an_endpoint_that_is_warm_again_is_not_limited() {
    let mut hall = ColdHall::new(3, ShardOptions::default());
    hall.turn_cold();
    hall.run_load(COLD_MILLIS + 100, 4, || 1, 300, || GrantOutcome::Done);
    hall.arrivals.clear();
    hall.run_load(1_000, 4, || 1, 300, || GrantOutcome::Done);
    assert!(hall.max_arrivals_per_second() > 20, "{}", hall.max_arrivals_per_second());
}

/// An endpoint may turn cold at any time, while it runs requests granted when it was warm.
#[test]
fn an_endpoint_that_turns_cold_without_a_restart_is_limited_at_once() {
    let mut hall = ColdHall::new(3, ShardOptions::default());
    hall.run_load(1_000, 4, || 1, 300, || GrantOutcome::Done);
    hall.arrivals.clear();
    hall.turn_cold();
    hall.run_load(WITHIN_COLD_MILLIS, 4, || 1, 300, || GrantOutcome::Done);
    assert!(hall.max_arrivals_per_second() <= MAX_ARRIVALS, "{}", hall.max_arrivals_per_second());
}

/// A new dispatcher learns from its first settings that endpoints are cold; the grants that its predecessor
/// made within the last second add to its own.
#[test]
fn a_dispatcher_that_starts_during_the_cold_time_keeps_the_bound() {
    let mut before = ColdHall::new(3, ShardOptions::default());
    before.turn_cold();
    before.run_load(1_000, 4, || 1, 300, || GrantOutcome::Done);
    let mut after = ColdHall::new(3, ShardOptions::default());
    after.turn_cold();
    let shift = after.harness.now;
    after.run_load(1_000, 4, || 1, 300, || GrantOutcome::Done);
    for (name, arrivals) in &after.arrivals {
        let began = before.harness.now;
        let later = arrivals.iter().map(|at| began + at.since(shift));
        let all = before.arrivals[name].iter().copied().chain(later).collect();
        assert!(max_arrivals_per_second(all) <= MAX_ARRIVALS);
    }
}

/// An endpoint that was unreachable for a while may have restarted, and reports that only with its next
/// heartbeat.
#[test]
fn an_endpoint_that_was_unreachable_is_assumed_cold() {
    let mut hall = ColdHall::new(1, ShardOptions::default());
    hall.run_load(4_000, 1, || 1, 10, || GrantOutcome::Unreachable);
    hall.arrivals.clear();
    hall.run_load(2_500, 4, || 1, 100, || GrantOutcome::Done);
    assert!(hall.max_arrivals_per_second() <= MAX_ARRIVALS, "{}", hall.max_arrivals_per_second());
    assert!(hall.arrivals[&endpoint(0)].len() > 5);
}

/// Without cold-start limits, endpoints get any number of requests after a start.
#[test]
fn grants_are_not_spaced_without_cold_start_limits() {
    let mut hall = ColdHall::new(2, ShardOptions::default());
    hall.harness.update_policy(|policy| policy.cold = ColdStartLimits::default());
    hall.turn_cold();
    hall.run_load(1_000, 4, || 1, 300, || GrantOutcome::Done);
    assert!(hall.max_arrivals_per_second() > 20, "{}", hall.max_arrivals_per_second());
}

/// A prompt does not wait for a cold engine that caches its parts while a warm one can prefill it in time.
#[test]
fn a_warm_engine_is_chosen_over_a_cold_one_that_caches_the_parts() {
    let mut hall = ColdHall::new(2, ShardOptions::default());
    let known = |number: u128| RequestTicket {
        prefixes: vec![77],
        prefix_tokens: vec![2_000],
        prompt_tokens: Cost(2_400),
        objective: Some(Duration::from_millis(600)),
        customer: customer("a"),
        ..ticket(number, "a", 500)
    };
    hall.harness.submit(1, known(1_000));
    let holder = hall.harness.take_grants()[0].endpoint.clone();
    hall.harness.settle(1, 1_000, 1, GrantOutcome::Done);
    hall.harness.advance_with_heartbeats(500, &[1]);
    hall.harness.update_policy(|policy| {
        let cold = policy.endpoints.iter_mut().filter(|spec| spec.name == holder);
        cold.for_each(|spec| spec.cold = Duration::from_millis(COLD_MILLIS));
    });
    let mut grants = Vec::new();
    for step in 0..32 {
        if step < 20 {
            hall.harness.submit(1, known(2_000 + step));
        }
        hall.harness.advance_with_heartbeats(50, &[1]);
        for grant in hall.harness.take_grants() {
            hall.harness.step(ShardEvent::Progress(SessionId(1), grant.request, Cost(1)));
            grants.push(grant);
        }
    }
    let elsewhere = grants.iter().filter(|grant| grant.endpoint != holder).count();
    assert_eq!(grants.len(), 20, "all are granted in time, {elsewhere} of them at the warm engine");
}

/// Two dispatchers that do not know of each other, with random send delays; in some runs every grant is
/// returned unsent.
#[test_case(0..2_500)]
#[test_case(2_500..5_000)]
#[test_case(5_000..7_500)]
#[test_case(7_500..10_000)]
fn the_arrival_bound_holds_for_two_independent_dispatchers(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let spread = rng.random_range(1..=250);
        let mut arrivals = Vec::new();
        let offset = rng.random_range(0..200);
        for shard in 0..2 {
            let mut hall = ColdHall::new(1, ShardOptions::default());
            hall.turn_cold();
            let is_unsent = rng.random_bool(0.3);
            let work = rng.random_range(10..400);
            let mut delays = ChaCha8Rng::seed_from_u64(seed * 2 + shard);
            let outcome = || if is_unsent { GrantOutcome::Unsent } else { GrantOutcome::Done };
            let began = hall.harness.now;
            hall.run_load(1_200, 1, || delays.random_range(0..spread), work, outcome);
            let all = hall.arrivals.into_values().flatten();
            let shift = Duration::from_millis(offset * shard);
            arrivals.extend(all.map(|at| Moment(0) + at.since(began) + shift));
        }
        assert!(
            max_arrivals_per_second(arrivals.clone()) <= MAX_ARRIVALS,
            "seed {seed}: {}",
            max_arrivals_per_second(arrivals)
        );
    }
}

/// Dispatchers built into routers, each of which begins with a small share of the engine, leave the others
/// theirs.
#[test]
fn dispatchers_inside_routers_share_the_rate_of_a_cold_endpoint() {
    let mut arrivals = Vec::new();
    for _ in 0..7 {
        let mut hall = ColdHall::new(1, ShardOptions::builder().initial_share(20).build());
        hall.turn_cold();
        let began = hall.harness.now;
        hall.run_load(WITHIN_COLD_MILLIS, 2, || 1, 100, || GrantOutcome::Done);
        arrivals.extend(hall.arrivals.into_values().flatten().map(|at| Moment(0) + at.since(began)));
    }
    assert!(
        max_arrivals_per_second(arrivals.clone()) <= MAX_ARRIVALS,
        "{}",
        max_arrivals_per_second(arrivals)
    );
}
