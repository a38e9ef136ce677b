//! The documented bound of the fairness gap under random arrivals, costs, hints, weights and endpoint
//! losses.
//!
//! Two customers with the same halls that both wait without a break differ in the service they received,
//! divided by weight, by at most `2 * (slots + 1) * (1 + remaining)` times the largest cost, where
//! `remaining` is the part of the estimated remaining cost that is charged in advance; see
//! `docs/design/001-order.md`.

use crate::harness::{endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{GrantOutcome, SessionId, ShardAction, ShardCore, ShardEvent, ShardOptions};
use micaspool_fair::{policies::ProgressCounters, GapMeter};
use micaspool_types::{Cost, HallMask, Weight};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::sync::Arc;

/// The largest cost of a request.
const MAX_COST: u64 = 100;
/// The part of the estimated remaining cost that is charged in advance.
const REMAINING_PERCENT: u64 = 10;

/// A shard under random load whose fairness gap is measured.
struct GapSimulation {
    harness: ShardHarness,
    meter: GapMeter,
    waiting: Vec<Vec<u128>>,
    /// Customer, cost and delivered cost of each request; `u64::MAX` delivered while it waits.
    requests: HashMap<u128, (usize, u64, u64)>,
    next: u128,
    rng: ChaCha8Rng,
}

impl GapSimulation {
    fn new(seed: u64, customers: usize, endpoints: usize, slots: u32, weights: &[u32]) -> GapSimulation {
        let names: Vec<String> = (0..customers).map(|number| format!("c{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let policy = Arc::new(ProgressCounters::with_remaining_percent(REMAINING_PERCENT));
        let options = ShardOptions::builder().policy(policy).cost_ceiling(Cost(MAX_COST)).build();
        let mut harness = ShardHarness::recovering(endpoints, slots, &names, options);
        harness.advance(1_000);
        harness.update_policy(|policy| {
            for (spec, weight) in policy.customers.iter_mut().zip(weights) {
                spec.weight = Weight::new(*weight).expect("weight is positive");
            }
        });
        harness.join(1, hello("r1", 1));
        let metered: Vec<(Weight, HallMask)> = weights
            .iter()
            .map(|weight| (Weight::new(*weight).expect("weight is positive"), HallMask(7)))
            .collect();
        GapSimulation {
            harness,
            meter: GapMeter::new(&metered),
            waiting: vec![Vec::new(); customers],
            requests: HashMap::new(),
            next: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn arrive(&mut self, number: usize) {
        let request = self.next;
        self.next += 1;
        let cost = self.rng.random_range(1..=MAX_COST);
        let hint = (cost as f64 * 4f64.powf(self.rng.random_range(-1.0..1.0))) as u64;
        let ticket = ticket(request, &format!("c{number}"), hint);
        self.waiting[number].push(request);
        self.meter.set_waiting(number, true);
        self.requests.insert(request, (number, cost, u64::MAX));
        self.step(ShardEvent::Submit(SessionId(1), ticket));
    }

    fn step(&mut self, event: ShardEvent) {
        self.harness.step(event);
        let taken = std::mem::take(&mut self.harness.actions);
        for action in taken {
            if let ShardAction::Grant { request, .. } = action {
                let entry = self.requests.get_mut(&request.0).expect("granted request was submitted");
                entry.2 = 0;
                let number = entry.0;
                self.waiting[number].retain(|other| *other != request.0);
                let waits = !self.waiting[number].is_empty();
                self.meter.set_waiting(number, waits);
            }
        }
    }

    /// Advances one random running request by a random amount of cost and reports the progress or the end.
    fn deliver(&mut self) {
        let mut running: Vec<u128> = self
            .requests
            .iter()
            .filter(|(_, (_, _, delivered))| *delivered != u64::MAX)
            .map(|(request, _)| *request)
            .collect();
        running.sort();
        if running.is_empty() {
            return;
        }
        let request = running[self.rng.random_range(0..running.len())];
        let (number, cost, delivered) = self.requests[&request];
        let step = self.rng.random_range(1..=MAX_COST / 4).min(cost - delivered);
        self.meter.record_service(number, Cost(step));
        if delivered + step == cost {
            self.requests.remove(&request);
            self.step(ShardEvent::Settle(SessionId(1), request_id(request), Cost(cost), GrantOutcome::Done));
        } else {
            self.requests.insert(request, (number, cost, delivered + step));
            self.step(ShardEvent::Progress(SessionId(1), request_id(request), Cost(delivered + step)));
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
        let mut simulation = GapSimulation::new(seed, customers, endpoints, slots, &weights);
        for number in 0..customers {
            for _ in 0..40 {
                simulation.arrive(number);
            }
        }
        for _ in 0..1_500 {
            match simulation.rng.random_range(0..20) {
                0 | 1 => {
                    let number = simulation.rng.random_range(0..customers);
                    simulation.arrive(number);
                }
                2 => {
                    let lost = simulation.rng.random_range(0..endpoints);
                    simulation.step(ShardEvent::Unreachable(endpoint(lost)));
                    simulation.harness.advance_with_heartbeats(600, &[1]);
                }
                _ => simulation.deliver(),
            }
        }
        let all_slots = (endpoints as u64 * u64::from(slots)) as f64;
        let bound = 2.0 * (all_slots + 1.0) * MAX_COST as f64 * (1.0 + REMAINING_PERCENT as f64 / 100.0);
        let report = simulation.meter.report();
        prop_assert!(report.largest <= bound, "gap {} exceeds bound {}", report.largest, bound);
    }

    #[test]
    fn a_customer_does_not_starve_beside_a_flood_of_a_hundred_times_its_share(seed in any::<u64>()) {
        let mut simulation = GapSimulation::new(seed, 2, 1, 2, &[1, 1]);
        for _ in 0..400 {
            simulation.arrive(0);
        }
        for _ in 0..4 {
            simulation.arrive(1);
        }
        let mut deliveries = 0;
        while !simulation.waiting[1].is_empty() {
            simulation.deliver();
            deliveries += 1;
            prop_assert!(deliveries < 400, "requests of the small customer still wait after {deliveries} deliveries");
        }
    }
}

#[test]
fn a_new_core_has_no_waiting_tickets() {
    let core = ShardCore::new(micaspool_types::Moment(0), ShardOptions::default());
    assert_eq!(core.status(micaspool_types::Moment(0)).waiting, 0);
}
