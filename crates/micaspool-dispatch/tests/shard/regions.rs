//! Shards of two regions that tell each other what they have delivered.

use crate::harness::{customer, hello, ticket, ShardHarness};
use micaspool_dispatch::{CustomerTotal, GrantFate, RegionTotals, ShardEvent};
use micaspool_types::{Cost, Incarnation, RegionName};
use std::collections::VecDeque;
use test_case::test_case;

const COST: u64 = 100;

struct Region {
    harness: ShardHarness,
    running: VecDeque<u128>,
    served: [u64; 2],
    next: u128,
}

impl Region {
    /// Customer `a` has work in every region, `b` only where it is said so.
    fn new(with_b: bool) -> Region {
        let mut harness = ShardHarness::new(1, 2, &["a", "b"]);
        harness.join(1, hello("r1", 1));
        let mut region = Region { harness, running: VecDeque::new(), served: [0, 0], next: 2 };
        for _ in 0..4 {
            region.submit(0);
            if with_b {
                region.submit(1);
            }
        }
        region
    }

    fn submit(&mut self, who: usize) {
        let number = self.next * 2 + who as u128;
        self.next += 1;
        self.harness.submit(1, ticket(number, ["a", "b"][who], COST));
        self.running.extend(self.harness.take_granted_requests());
    }

    fn finish_one(&mut self) {
        let number = self.running.pop_front().expect("every slot is busy");
        let who = (number % 2) as usize;
        self.served[who] += COST;
        self.harness.settle(1, number, COST, GrantFate::Done);
        self.running.extend(self.harness.take_granted_requests());
        self.submit(who);
    }

    fn totals(&self, name: &str) -> ShardEvent {
        let region = RegionName::parse(name).expect("a name");
        ShardEvent::Shared(RegionTotals {
            region,
            incarnation: Incarnation(1),
            totals: self.harness.core.totals(),
        })
    }
}

#[test_case(true; "with exchange")]
#[test_case(false; "without exchange")]
fn what_a_customer_receives_elsewhere_counts_here(exchange: bool) {
    let (mut here, mut there) = (Region::new(true), Region::new(false));
    for round in 0..400 {
        here.finish_one();
        there.finish_one();
        if exchange && round % 4 == 0 {
            let (from_here, from_there) = (here.totals("here"), there.totals("there"));
            here.harness.step(from_there.clone());
            here.harness.step(from_there);
            there.harness.step(from_here);
        }
    }
    let a = here.served[0] + there.served[0];
    let b = here.served[1] + there.served[1];
    let gap = a.abs_diff(b) / COST;
    if exchange {
        assert!(gap <= 12, "a {a}, b {b}, also with doubled messages");
    } else {
        assert!(gap > 300, "the baseline favours the customer with work in both: a {a}, b {b}");
    }
}

#[test]
fn after_a_long_cut_the_correction_is_clamped() {
    let mut here = Region::new(true);
    let total = |served: u64| {
        let totals = vec![CustomerTotal { customer: customer("a"), served: Cost(served) }];
        let region = RegionName::parse("there").expect("a name");
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
