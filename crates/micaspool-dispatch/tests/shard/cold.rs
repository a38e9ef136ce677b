//! Endpoints that bear few requests for a while after their start, under short requests that come faster than that.
//!
//! A cold endpoint falls over when more than half as much again as it bears, and five, arrive within one second, from
//! whatever senders. By what an engine reads it would get thirty short prompts a second.

use crate::harness::{customer, endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{
    ColdTerms, GrantFate, RequestTicket, SessionId, ShardAction, ShardEvent, ShardOptions,
};
use micaspool_types::{Cost, EndpointName, Moment};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;
use test_case::test_case;

/// How many requests a second a cold endpoint bears.
const BORNE: f64 = 6.1;
/// How many may arrive within any one second: half as many again as it bears, and five.
const MOST_ARRIVALS: usize = 14;
/// How long endpoints are cold, in milliseconds.
const COLD: u64 = 3_000;
/// A time in which they are cold throughout, in milliseconds.
const STILL_COLD: u64 = COLD - 50;
/// How many requests an endpoint may run at once.
const SLOTS: u32 = 32;
/// From a request's arrival to its first event.
const FIRST_EVENT: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

fn terms() -> ColdTerms {
    ColdTerms { start: Duration::from_millis(COLD), request_time: Duration::from_secs_f64(1.0 / BORNE) }
}

/// A shard whose engines are all cold, and callers that always want more of them.
struct ColdHall {
    harness: ShardHarness,
    next: u128,
    /// Requests that were granted, and when they begin.
    granted: Vec<(Moment, u128)>,
    /// Requests that run, and when they end.
    running: Vec<(Moment, u128)>,
    arrivals: HashMap<EndpointName, Vec<Moment>>,
}

impl ColdHall {
    fn new(engines: usize, options: ShardOptions) -> ColdHall {
        let mut harness = ShardHarness::recovering(engines, SLOTS, &["a", "b"], options);
        harness.advance(1_000);
        harness.update_policy(|policy| {
            policy.cold = terms();
            policy.planned_pace = 50.0;
            for spec in &mut policy.endpoints {
                spec.memory_tokens = 500_000;
            }
        });
        harness.join(1, hello("r1", 1));
        ColdHall { harness, next: 1, granted: Vec::new(), running: Vec::new(), arrivals: HashMap::new() }
    }

    /// All endpoints say that they are cold.
    fn turn_cold(&mut self) {
        self.harness.update_policy(|policy| {
            policy.endpoints.iter_mut().for_each(|spec| spec.cold = Duration::from_millis(COLD));
        });
    }

    /// A short question.
    fn ask(&mut self) {
        self.next += 1;
        let name = if self.next.is_multiple_of(3) { "b" } else { "a" };
        let question = RequestTicket {
            prompt_tokens: Cost(400),
            objective: Some(Duration::from_millis(600)),
            ..ticket(self.next, name, 500)
        };
        self.harness.submit(1, question);
    }

    /// Lets callers ask `every` so often for a while. A grant reaches its endpoint after a delay, and its request ends
    /// after `work`; `fate` says how.
    fn press(
        &mut self,
        millis: u64,
        per_step: usize,
        mut delay: impl FnMut() -> u64,
        work: u64,
        mut fate: impl FnMut() -> GrantFate,
    ) {
        for _ in 0..millis / 10 {
            for _ in 0..per_step {
                self.ask();
            }
            self.harness.now = self.harness.now + Duration::from_millis(10);
            self.harness.step(ShardEvent::Heartbeat(SessionId(1), 1));
            let now = self.harness.now;
            for action in std::mem::take(&mut self.harness.actions) {
                let ShardAction::Grant { request, endpoint, .. } = action else { continue };
                let arrives = now + Duration::from_millis(delay());
                self.arrivals.entry(endpoint).or_default().push(arrives);
                self.granted.push((arrives + FIRST_EVENT, request.0));
                self.running.push((arrives + Duration::from_millis(work), request.0));
            }
            for request in due(&mut self.granted, now) {
                self.harness.step(ShardEvent::Progress(SessionId(1), request_id(request), Cost(1)));
            }
            for request in due(&mut self.running, now) {
                let fate = fate();
                self.harness.settle(1, request, 1, fate);
            }
        }
    }

    /// The most requests that arrived at one endpoint within one second.
    fn worst_second(&self) -> usize {
        self.arrivals.values().map(|arrivals| worst_second(arrivals.clone())).max().unwrap_or(0)
    }
}

/// Takes out what is due at a moment.
fn due(planned: &mut Vec<(Moment, u128)>, now: Moment) -> Vec<u128> {
    let (over, rest): (Vec<_>, Vec<_>) = planned.drain(..).partition(|(at, _)| *at <= now);
    *planned = rest;
    over.into_iter().map(|(_, request)| request).collect()
}

fn worst_second(mut arrivals: Vec<Moment>) -> usize {
    arrivals.sort();
    let within =
        |first: &Moment| arrivals.iter().filter(|at| *at >= first && at.since(*first) < SECOND).count();
    arrivals.iter().map(within).max().unwrap_or(0)
}

#[test]
fn a_hall_that_comes_back_cold_gets_what_it_bears() {
    let mut hall = ColdHall::new(6, ShardOptions::default());
    hall.turn_cold();
    hall.press(STILL_COLD, 4, || 1, 300, || GrantFate::Done);
    assert!(hall.worst_second() <= 7, "{}", hall.worst_second());
    let least = (0.8 * BORNE * STILL_COLD as f64 / 1_000.0) as usize;
    for number in 0..6 {
        let got = hall.arrivals.get(&endpoint(number)).map_or(0, Vec::len);
        assert!(got >= least, "endpoint {number} got {got} of {least} that it bears for sure");
    }
}

/// Once it is warm by its own clock it gets all that it can take, without another word.
#[test]
fn an_endpoint_that_is_warm_again_is_used_fully() {
    let mut hall = ColdHall::new(3, ShardOptions::default());
    hall.turn_cold();
    hall.press(COLD + 100, 4, || 1, 300, || GrantFate::Done);
    hall.arrivals.clear();
    hall.press(1_000, 4, || 1, 300, || GrantFate::Done);
    assert!(hall.worst_second() > 20, "{}", hall.worst_second());
}

/// It may turn cold at any moment, while it runs what it got when it was warm.
#[test]
fn an_endpoint_that_turns_cold_without_a_start_gets_less_from_then_on() {
    let mut hall = ColdHall::new(3, ShardOptions::default());
    hall.press(1_000, 4, || 1, 300, || GrantFate::Done);
    hall.arrivals.clear();
    hall.turn_cold();
    hall.press(STILL_COLD, 4, || 1, 300, || GrantFate::Done);
    assert!(hall.worst_second() <= MOST_ARRIVALS, "{}", hall.worst_second());
}

/// A new dispatcher hears with its first settings that endpoints are cold; what the one before it granted in the last
/// second comes on top.
#[test]
fn a_new_dispatcher_during_it_keeps_the_bound() {
    let mut before = ColdHall::new(3, ShardOptions::default());
    before.turn_cold();
    before.press(1_000, 4, || 1, 300, || GrantFate::Done);
    let mut after = ColdHall::new(3, ShardOptions::default());
    after.turn_cold();
    let shift = after.harness.now;
    after.press(1_000, 4, || 1, 300, || GrantFate::Done);
    for (name, arrivals) in &after.arrivals {
        let began = before.harness.now;
        let later = arrivals.iter().map(|at| began + at.since(shift));
        let all = before.arrivals[name].iter().copied().chain(later).collect();
        assert!(worst_second(all) <= MOST_ARRIVALS);
    }
}

/// One that could not be reached for a while may have started again, and says so only with its next heartbeat.
#[test]
fn an_endpoint_that_was_away_is_taken_for_cold() {
    let mut hall = ColdHall::new(1, ShardOptions::default());
    hall.press(4_000, 1, || 1, 10, || GrantFate::Unreachable);
    hall.arrivals.clear();
    hall.press(2_500, 4, || 1, 100, || GrantFate::Done);
    assert!(hall.worst_second() <= MOST_ARRIVALS, "{}", hall.worst_second());
    assert!(hall.arrivals[&endpoint(0)].len() > 5);
}

/// Where endpoints bear anything after a start nothing is held back.
#[test]
fn without_a_bound_nothing_is_spread() {
    let mut hall = ColdHall::new(2, ShardOptions::default());
    hall.harness.update_policy(|policy| policy.cold = ColdTerms::default());
    hall.turn_cold();
    hall.press(1_000, 4, || 1, 300, || GrantFate::Done);
    assert!(hall.worst_second() > 20, "{}", hall.worst_second());
}

/// A prompt whose parts a cold engine keeps doesn't wait for it while a warm one reads it in time.
#[test]
fn a_cold_engine_with_the_parts_is_passed_over_for_a_warm_one() {
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
    hall.harness.settle(1, 1_000, 1, GrantFate::Done);
    hall.harness.advance_with_heartbeats(500, &[1]);
    hall.harness.update_policy(|policy| {
        let cold = policy.endpoints.iter_mut().filter(|spec| spec.name == holder);
        cold.for_each(|spec| spec.cold = Duration::from_millis(COLD));
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
    assert_eq!(grants.len(), 20, "all in time, {elsewhere} of them elsewhere");
}

/// Two dispatchers that don't hear of each other, sends that take different times, and endpoints that turn some away.
#[test_case(0..2_500)]
#[test_case(2_500..5_000)]
#[test_case(5_000..7_500)]
#[test_case(7_500..10_000)]
fn the_bound_holds_for_all_senders_together(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let spread = rng.random_range(1..=250);
        let mut arrivals = Vec::new();
        let offset = rng.random_range(0..200);
        for shard in 0..2 {
            let mut hall = ColdHall::new(1, ShardOptions::default());
            hall.turn_cold();
            let refused = rng.random_bool(0.3);
            let work = rng.random_range(10..400);
            let mut delays = ChaCha8Rng::seed_from_u64(seed * 2 + shard);
            let fate = || if refused { GrantFate::Unsent } else { GrantFate::Done };
            let began = hall.harness.now;
            hall.press(1_200, 1, || delays.random_range(0..spread), work, fate);
            let all = hall.arrivals.into_values().flatten();
            let shift = Duration::from_millis(offset * shard);
            arrivals.extend(all.map(|at| Moment(0) + at.since(began) + shift));
        }
        assert!(worst_second(arrivals.clone()) <= MOST_ARRIVALS, "seed {seed}: {}", worst_second(arrivals));
    }
}

/// Dispatchers inside routers, each of which uses an engine beside many others, leave them their part.
#[test]
fn routers_on_their_own_share_what_a_cold_endpoint_bears() {
    let mut arrivals = Vec::new();
    for _ in 0..7 {
        let mut hall = ColdHall::new(1, ShardOptions::builder().first_share(20).build());
        hall.turn_cold();
        let began = hall.harness.now;
        hall.press(STILL_COLD, 2, || 1, 100, || GrantFate::Done);
        arrivals.extend(hall.arrivals.into_values().flatten().map(|at| Moment(0) + at.since(began)));
    }
    assert!(worst_second(arrivals.clone()) <= MOST_ARRIVALS, "{}", worst_second(arrivals));
}
