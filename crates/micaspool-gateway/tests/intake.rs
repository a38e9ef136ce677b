//! Tests how a gateway that is out of processor time limits what it takes on, in virtual time.

use micaspool_gateway::IntakeControl;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;
use test_case::test_case;

/// The interval at which lateness is observed, in milliseconds.
const OBSERVED_EACH: usize = 50;
/// The milliseconds of one processor that the gateway gets in each millisecond.
const PROCESSOR_SHARE: f64 = 0.12;
/// The processor time of a request that is served, in turns over its life, and of one that is refused, in milliseconds.
const SERVED_COST: f64 = 0.4;
const REFUSED_COST: f64 = 0.08;
const TURNS: usize = 8;
const LIFE: usize = 400;
/// The time until the control has settled, and the length of a flood, in milliseconds.
const SETTLED: usize = 2_000;
const FLOOD: usize = 10_000;
/// How late tasks may run in one of twenty moments: ten turns at that take up an objective of 800 ms.
const MAX_LAG: Duration = Duration::from_millis(80);
/// The part of the requests for which there is processor time that is served at least.
const MIN_SERVED: f64 = 2.0 / 3.0;
/// What the others ask for beside the flood, in requests a second.
const OTHERS: f64 = 30.0;

/// A gateway whose work stands in one line, simulated in steps of a millisecond.
struct ModelGateway {
    control: IntakeControl,
    /// The work of the next milliseconds.
    upcoming: VecDeque<f64>,
    backlog: f64,
    random: StdRng,
}

impl ModelGateway {
    fn new(seed: u64) -> ModelGateway {
        ModelGateway {
            control: IntakeControl::default(),
            upcoming: VecDeque::from(vec![0.0; LIFE]),
            backlog: 0.0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Runs one millisecond with requests of a flood at this rate a second; returns how many of them were served.
    fn step(&mut self, time: usize, flood: f64) -> usize {
        let mut served = 0;
        for _ in 0..self.arrivals(flood) {
            let draw = self.random.random();
            if self.control.refuses(draw) {
                self.upcoming[0] += REFUSED_COST;
            } else {
                served += 1;
                self.serve();
            }
        }
        (0..self.arrivals(OTHERS)).for_each(|_| self.serve());
        let work = self.upcoming.pop_front().expect("as many entries as the life of a request");
        self.upcoming.push_back(0.0);
        self.backlog = (self.backlog + work - PROCESSOR_SHARE).max(0.0);
        if time % OBSERVED_EACH == 0 {
            self.control.observe(self.lag());
        }
        served
    }

    fn serve(&mut self) {
        for turn in 0..TURNS {
            self.upcoming[turn * LIFE / TURNS] += SERVED_COST / TURNS as f64;
        }
    }

    /// The number of requests in a millisecond at this rate a second.
    fn arrivals(&mut self, rate: f64) -> usize {
        const TRIES: usize = 4;
        (0..TRIES).filter(|_| self.random.random::<f64>() < rate / 1_000.0 / TRIES as f64).count()
    }

    fn lag(&self) -> Duration {
        Duration::from_secs_f64(self.backlog / PROCESSOR_SHARE / 1_000.0)
    }
}

/// Guards against a gateway that takes on all of a flood and serves each request of it too late.
#[test_case(300.0, 1)]
#[test_case(450.0, 2)]
#[test_case(600.0, 3)]
fn a_late_gateway_serves_what_it_can_serve_in_time(flood: f64, seed: u64) {
    let mut gateway = ModelGateway::new(seed);
    let mut served = 0;
    let mut lags = Vec::new();
    for time in 0..FLOOD {
        let more = gateway.step(time, flood);
        if time >= SETTLED {
            served += more;
            lags.push(gateway.lag());
        }
    }
    lags.sort();
    let late = lags[lags.len() * 95 / 100];
    let seconds = (FLOOD - SETTLED) as f64 / 1_000.0;
    // What is left beside the others and the refusals of the rest.
    let processor = PROCESSOR_SHARE * 1_000.0 - OTHERS * SERVED_COST - flood * REFUSED_COST;
    let possible = (processor / (SERVED_COST - REFUSED_COST)).min(flood);
    let rate = served as f64 / seconds;
    println!("flood {flood}: {rate} served a second of {possible} possible, late by {late:?}");
    assert!(late < MAX_LAG, "late by {late:?} in one of twenty moments");
    assert!(rate >= possible * MIN_SERVED, "{rate} a second served of {possible}");
}

/// Guards against a gateway that turns callers away after a flood has ended, or after a pause of its process.
#[test]
fn a_gateway_that_is_in_time_again_refuses_nothing() {
    let mut control = IntakeControl::default();
    (0..100).for_each(|_| control.observe(Duration::from_millis(500)));
    assert!(control.refused_share() > 0.9);
    (0..50).for_each(|_| control.observe(Duration::from_millis(1)));
    (0..10).for_each(|_| control.observe(Duration::ZERO));
    assert_eq!(control.refused_share(), 0.0);
    control.observe(Duration::from_secs(3));
    control.observe(Duration::ZERO);
    assert_eq!(control.refused_share(), 0.0, "one pause says little");
}

#[test]
fn a_gateway_in_time_refuses_nothing() {
    let mut control = IntakeControl::default();
    (0..1_000).for_each(|_| control.observe(Duration::from_millis(9)));
    assert!(!control.refuses(0.0));
}
