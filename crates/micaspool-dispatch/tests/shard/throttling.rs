//! Customers that send many times their share through hundreds of routers at once.
//!
//! A model of the shard takes a customer's requests at a fixed rate and refuses the rest at once. The tests
//! check how many requests reach it, and how many it could have taken but did not get.

use micaspool_dispatch::{QueueFill, RequestThrottle};
use micaspool_types::{CustomerName, Moment};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use test_case::test_case;

const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Requests that the model of the shard queues.
const QUEUE_DEPTH: f64 = 16.0;
/// How long a first attempt and a retry whose objective has passed can wait, in seconds.
const FIRST_ATTEMPT_TOLERANCE: f64 = 0.8;
const LATE_RETRY_TOLERANCE: f64 = 0.1;
/// Late retries per first attempt.
const LATE_RETRIES: u32 = 2;

/// The routers of one customer, and the shard's queue for it.
struct CrowdedFleet {
    routers: Vec<RequestThrottle>,
    customer: CustomerName,
    taken_per_second: f64,
    queue: f64,
    /// For how many requests the shard has room before a first attempt.
    depth: f64,
    now: f64,
    random: ChaCha8Rng,
}

/// Counts of the requests of one span.
#[derive(Debug, Default)]
struct FlowOutcome {
    submitted: u32,
    reached: u32,
    taken: u32,
    /// Requests refused by a router although the shard had room.
    wrongly_refused: u32,
}

impl CrowdedFleet {
    fn new(routers: usize, taken_per_second: f64) -> CrowdedFleet {
        CrowdedFleet {
            routers: vec![RequestThrottle::default(); routers],
            customer: CustomerName::parse("coop-01").expect("valid name"),
            taken_per_second,
            queue: 0.0,
            depth: QUEUE_DEPTH,
            now: 1.0,
            random: ChaCha8Rng::seed_from_u64(7),
        }
    }

    /// Submits requests at an even rate for `seconds`, each at a random router.
    fn run(&mut self, submitted_per_second: f64, seconds: f64) -> FlowOutcome {
        let mut outcome = FlowOutcome::default();
        let end = self.now + seconds;
        while self.now < end {
            self.advance(1.0 / submitted_per_second);
            self.submit(self.depth, &mut outcome);
        }
        outcome
    }

    /// Submits first attempts and `LATE_RETRIES` retries of each, and returns the outcome of the first
    /// attempts.
    fn run_with_retries(&mut self, callers_per_second: f64, seconds: f64) -> FlowOutcome {
        let mut first_attempts = FlowOutcome::default();
        let mut retries = FlowOutcome::default();
        let end = self.now + seconds;
        self.depth = self.taken_per_second * FIRST_ATTEMPT_TOLERANCE;
        while self.now < end {
            self.advance(1.0 / callers_per_second);
            self.submit(self.depth, &mut first_attempts);
            (0..LATE_RETRIES)
                .for_each(|_| self.submit(self.taken_per_second * LATE_RETRY_TOLERANCE, &mut retries));
        }
        first_attempts
    }

    fn advance(&mut self, seconds: f64) {
        self.now += seconds;
        self.queue = (self.queue - self.taken_per_second * seconds).max(0.0);
    }

    /// Submits a request for which the shard has room behind fewer than `depth` others.
    fn submit(&mut self, depth: f64, outcome: &mut FlowOutcome) {
        let now = Moment((self.now * 1e6) as u64);
        let index = self.random.random_range(0..self.routers.len());
        let draw = self.random.random();
        let has_room = self.queue + 1.0 <= depth;
        outcome.submitted += 1;
        let router = &mut self.routers[index];
        if router.admit(now, &self.customer, draw).is_err() {
            outcome.wrongly_refused += u32::from(has_room);
            return;
        }
        outcome.reached += 1;
        let fill = QueueFill((self.queue / self.depth * 100.0) as u32);
        router.note_queue_fill(now, &self.customer, fill);
        if has_room {
            self.queue += 1.0;
            outcome.taken += 1;
            router.note_granted(now, &self.customer);
        } else {
            router.note_refused(now, &self.customer, RETRY_AFTER);
        }
    }
}

#[test_case(30, 100.0, 1_200.0; "30 routers, twelve times the share")]
#[test_case(295, 100.0, 3_500.0; "295 routers, 35 times the share")]
#[test_case(600, 100.0, 8_000.0; "600 routers, 80 times the share")]
fn a_flood_is_throttled_while_the_queue_of_the_shard_stays_full(
    routers: usize,
    taken_per_second: f64,
    submitted_per_second: f64,
) {
    let mut fleet = CrowdedFleet::new(routers, taken_per_second);
    fleet.run(submitted_per_second, 2.0);
    let flood = fleet.run(submitted_per_second, 5.0);
    assert!(f64::from(flood.reached) <= 0.4 * f64::from(flood.submitted), "{flood:?}");
    assert!(f64::from(flood.taken) >= 0.97 * taken_per_second * 5.0, "{flood:?}");
}

#[test]
fn a_customer_within_its_share_is_never_throttled() {
    let mut fleet = CrowdedFleet::new(295, 100.0);
    let flow = fleet.run(90.0, 20.0);
    assert_eq!(flow.taken, flow.submitted, "{flow:?}");
}

#[test]
fn throttling_ends_with_the_flood() {
    let mut fleet = CrowdedFleet::new(295, 100.0);
    fleet.run(3_500.0, 5.0);
    fleet.run(50.0, 0.6);
    let after = fleet.run(50.0, 5.0);
    assert_eq!(after.taken, after.submitted, "{after:?}");
}

#[test]
fn a_customer_slightly_above_its_share_gets_all_of_its_share() {
    let mut fleet = CrowdedFleet::new(12, 100.0);
    fleet.run(130.0, 2.0);
    let flow = fleet.run(130.0, 10.0);
    assert!(f64::from(flow.taken) >= 0.99 * 1_000.0, "{flow:?}");
}

#[test_case(1, 110.0, 8.0, 130.0; "one router")]
#[test_case(2, 110.0, 8.0, 130.0; "two routers")]
#[test_case(2, 350.0, 30.0, 400.0; "two routers, more callers")]
#[test_case(6, 110.0, 4.0, 130.0; "six routers, hardly any capacity")]
fn a_customer_of_few_routers_is_served_again_as_soon_as_capacity_returns(
    routers: usize,
    callers_per_second: f64,
    scarce_per_second: f64,
    taken_per_second: f64,
) {
    let mut fleet = CrowdedFleet::new(routers, scarce_per_second);
    fleet.run_with_retries(callers_per_second, 10.0);
    fleet.taken_per_second = taken_per_second;
    let seconds: Vec<FlowOutcome> = (0..2).map(|_| fleet.run_with_retries(callers_per_second, 1.0)).collect();
    let is_served = |second: &FlowOutcome| second.taken * 2 >= second.submitted;
    assert!(seconds.iter().all(is_served), "{seconds:?}");
}
