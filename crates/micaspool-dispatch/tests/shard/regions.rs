//! Shards of two regions that exchange the totals that they have delivered.

use crate::harness::{customer, hello, ticket, ShardHarness};
use micaspool_dispatch::{CustomerTotal, GrantOutcome, RegionTotals, ShardEvent};
use micaspool_types::{Cost, Incarnation, RegionName};
use std::collections::VecDeque;
use test_case::test_case;

const COST: u64 = 100;

struct RegionModel {
    harness: ShardHarness,
    running: VecDeque<u128>,
    served: [u64; 2],
    next: u128,
}

impl RegionModel {
    /// Creates a region in which customer `a` always has waiting requests, and customer `b` if `has_b`.
    fn new(has_b: bool) -> RegionModel {
        let mut harness = ShardHarness::new(1, 2, &["a", "b"]);
        harness.join(1, hello("r1", 1));
        let mut region = RegionModel { harness, running: VecDeque::new(), served: [0, 0], next: 2 };
        for _ in 0..4 {
            region.submit(0);
            if has_b {
                region.submit(1);
            }
        }
        region
    }

    fn submit(&mut self, index: usize) {
        let number = self.next * 2 + index as u128;
        self.next += 1;
        self.harness.submit(1, ticket(number, ["a", "b"][index], COST));
        self.running.extend(self.harness.take_granted_requests());
    }

    fn finish_one(&mut self) {
        let number = self.running.pop_front().expect("every slot is busy");
        let index = (number % 2) as usize;
        self.served[index] += COST;
        self.harness.settle(1, number, COST, GrantOutcome::Done);
        self.running.extend(self.harness.take_granted_requests());
        self.submit(index);
    }

    fn shared_totals(&self, name: &str) -> ShardEvent {
        let region = RegionName::parse(name).expect("valid name");
        ShardEvent::Shared(RegionTotals {
            region,
            incarnation: Incarnation(1),
            totals: self.harness.core.totals(),
        })
    }
}

#[test_case(true; "with exchange")]
#[test_case(false; "without exchange")]
fn service_received_in_another_region_counts(is_exchanging: bool) {
    let (mut here, mut there) = (RegionModel::new(true), RegionModel::new(false));
    for round in 0..400 {
        here.finish_one();
        there.finish_one();
        if is_exchanging && round % 4 == 0 {
            let (from_here, from_there) = (here.shared_totals("here"), there.shared_totals("there"));
            here.harness.step(from_there.clone());
            here.harness.step(from_there);
            there.harness.step(from_here);
        }
    }
    let a = here.served[0] + there.served[0];
    let b = here.served[1] + there.served[1];
    let gap = a.abs_diff(b) / COST;
    if is_exchanging {
        assert!(gap <= 12, "a {a}, b {b}, with duplicated messages");
    } else {
        assert!(
            gap > 300,
            "without exchange the customer with work in both regions is favoured: a {a}, b {b}"
        );
    }
}

#[test]
fn the_correction_after_a_long_disconnection_is_clamped() {
    let mut here = RegionModel::new(true);
    let total = |served: u64| {
        let totals = vec![CustomerTotal { customer: customer("a"), served: Cost(served) }];
        let region = RegionName::parse("there").expect("valid name");
        ShardEvent::Shared(RegionTotals { region, incarnation: Incarnation(1), totals })
    };
    here.harness.step(total(1_000));
    here.harness.step(total(1_000_000_000));
    let before = here.served[0];
    let mut rounds = 0;
    while here.served[0] < before + 3 * COST {
        here.finish_one();
        rounds += 1;
        assert!(rounds < 16 * 65_536 / COST * 2, "the customer starves");
    }
}
