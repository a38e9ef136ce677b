//! The stated bound of the gap over random arrivals, costs, hints, weights and endpoint losses.
//!
//! Two customers with the same halls that both wait without a break differ in what they received,
//! divided by weight, by at most `(slots + 1) * (1 + rest)` of the largest request, twice; see
//! `docs/design/001-order.md`.

use crate::harness::{endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{GrantFate, SessionId, ShardAction, ShardCore, ShardEvent, ShardOptions};
use micaspool_fair::{policies::ProgressCounters, GapMeter};
use micaspool_types::{Cost, HallMask, Weight};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::sync::Arc;

const LARGEST: u64 = 100;
const REMAINING_PERCENT: u64 = 10;

struct World {
    harness: ShardHarness,
    meter: GapMeter,
    waiting: Vec<Vec<u128>>,
    running: HashMap<u128, (usize, u64, u64)>,
    next: u128,
    rng: ChaCha8Rng,
}

impl World {
    fn new(seed: u64, customers: usize, endpoints: usize, slots: u32, weights: &[u32]) -> World {
        let names: Vec<String> = (0..customers).map(|number| format!("c{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let policy = Arc::new(ProgressCounters::with_remaining_percent(REMAINING_PERCENT));
        let options = ShardOptions::builder().policy(policy).cost_ceiling(Cost(LARGEST)).build();
        let mut harness = ShardHarness::recovering(endpoints, slots, &names, options);
        harness.advance(1_000);
        harness.update_policy(|policy| {
            for (spec, weight) in policy.customers.iter_mut().zip(weights) {
                spec.weight = Weight::new(*weight).expect("weights are above zero");
            }
        });
        harness.join(1, hello("r1", 1));
        let metered: Vec<(Weight, HallMask)> =
            weights.iter().map(|weight| (Weight::new(*weight).expect("above zero"), HallMask(7))).collect();
        World {
            harness,
            meter: GapMeter::new(&metered),
            waiting: vec![Vec::new(); customers],
            running: HashMap::new(),
            next: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn arrive(&mut self, number: usize) {
        let request = self.next;
        self.next += 1;
        let cost = self.rng.random_range(1..=LARGEST);
        let hint = (cost as f64 * 4f64.powf(self.rng.random_range(-1.0..1.0))) as u64;
        let ticket = ticket(request, &format!("c{number}"), hint);
        self.waiting[number].push(request);
        self.meter.set_waiting(number, true);
        self.running.insert(request, (number, cost, u64::MAX));
        self.step(ShardEvent::Submit(SessionId(1), ticket));
    }

    fn step(&mut self, event: ShardEvent) {
        self.harness.step(event);
        let actions = std::mem::take(&mut self.harness.actions);
        for action in actions {
            if let ShardAction::Grant { request, .. } = action {
                let entry = self.running.get_mut(&request.0).expect("a known request");
                entry.2 = 0;
                let number = entry.0;
                self.waiting[number].retain(|other| *other != request.0);
                let waits = !self.waiting[number].is_empty();
                self.meter.set_waiting(number, waits);
            }
        }
    }

    /// Delivers a random step of one running request and reports it.
    fn deliver(&mut self) {
        let mut running: Vec<u128> = self
            .running
            .iter()
            .filter(|(_, (_, _, done))| *done != u64::MAX)
            .map(|(request, _)| *request)
            .collect();
        running.sort();
        if running.is_empty() {
            return;
        }
        let request = running[self.rng.random_range(0..running.len())];
        let (number, cost, done) = self.running[&request];
        let step = self.rng.random_range(1..=LARGEST / 4).min(cost - done);
        self.meter.record_service(number, Cost(step));
        if done + step == cost {
            self.running.remove(&request);
            self.step(ShardEvent::Settle(SessionId(1), request_id(request), Cost(cost), GrantFate::Done));
        } else {
            self.running.insert(request, (number, cost, done + step));
            self.step(ShardEvent::Progress(SessionId(1), request_id(request), Cost(done + step)));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_gap_stays_within_its_bound(
        seed in any::<u64>(),
        weights in proptest::collection::vec(1u32..4, 2..6),
        endpoints in 1usize..4,
        slots in 1u32..4,
    ) {
        let customers = weights.len();
        let mut world = World::new(seed, customers, endpoints, slots, &weights);
        for number in 0..customers {
            for _ in 0..40 {
                world.arrive(number);
            }
        }
        for _ in 0..1_500 {
            match world.rng.random_range(0..20) {
                0 | 1 => {
                    let number = world.rng.random_range(0..customers);
                    world.arrive(number);
                }
                2 => {
                    let lost = world.rng.random_range(0..endpoints);
                    world.step(ShardEvent::Unreachable(endpoint(lost)));
                    world.harness.advance_with_heartbeats(600, &[1]);
                }
                _ => world.deliver(),
            }
        }
        let all_slots = (endpoints as u64 * u64::from(slots)) as f64;
        let bound = 2.0 * (all_slots + 1.0) * LARGEST as f64 * (1.0 + REMAINING_PERCENT as f64 / 100.0);
        let report = world.meter.report();
        prop_assert!(report.largest <= bound, "gap {} above {}", report.largest, bound);
    }

    #[test]
    fn no_customer_starves_under_a_flood_of_a_hundred_times_its_share(seed in any::<u64>()) {
        let mut world = World::new(seed, 2, 1, 2, &[1, 1]);
        for _ in 0..400 {
            world.arrive(0);
        }
        for _ in 0..4 {
            world.arrive(1);
        }
        let mut deliveries = 0;
        while !world.waiting[1].is_empty() {
            world.deliver();
            deliveries += 1;
            prop_assert!(deliveries < 400, "four requests of the small customer still wait");
        }
    }
}

#[test]
fn the_core_starts_empty() {
    let core = ShardCore::new(micaspool_types::Moment(0), ShardOptions::default());
    assert_eq!(core.status(micaspool_types::Moment(0)).waiting, 0);
}
