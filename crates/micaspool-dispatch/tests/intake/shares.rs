//! A shard that is sent more than it can handle, by customers whose prompts and routers differ.
//!
//! Guards against a queue before the shard that shares its turns by submission: what is read is granted at once while the
//! shard is late, so the customer with the longest prompts gets most.

use crate::driver::{customer_name, CustomerLoad, LateShard, Outcome, Share, LENGTH, OBJECTIVE, ROUTERS};
use std::time::Duration;
use test_case::test_case;

const WINDOW: Duration = Duration::from_secs(6);
const WINDOW_STEP: Duration = Duration::from_millis(500);
/// The prompt tokens of a short and of a long request.
const SHORT: u64 = 1_200;
const LONG: u64 = 12_000;
/// A shortfall of this many of the largest requests is tolerated.
const TOLERATED_REQUESTS: u64 = 3;

/// Customers that got less than half of the smaller of what they asked for and what the best served one got, in prompt
/// tokens.
fn starved(outcome: &Outcome, customers: usize) -> Vec<String> {
    let mut found = Vec::new();
    let mut from = Duration::ZERO;
    let largest = outcome.requests.values().map(|request| request.tokens).max().unwrap_or(0);
    while from + WINDOW + OBJECTIVE <= LENGTH {
        let until = from + WINDOW;
        let mut asked = vec![0; customers];
        let mut got = vec![0; customers];
        for request in outcome.requests.values() {
            let is_served = request.served_at.is_some_and(|at| (from..until).contains(&at));
            asked[request.customer] +=
                if (from..until).contains(&request.asked_at) { request.tokens } else { 0 };
            got[request.customer] += if is_served { request.tokens } else { 0 };
        }
        let best = got.iter().copied().max().unwrap_or(0);
        for customer in 0..customers {
            let owed = asked[customer].min(best);
            if 2 * (got[customer] + TOLERATED_REQUESTS * largest) < owed {
                let name = customer_name(customer);
                found.push(format!("from {from:?} {name} is owed {owed} and got {}", got[customer]));
            }
        }
        from += WINDOW_STEP;
    }
    found
}

fn load(rate: f64, tokens: u64, routers: u64, is_throttled: bool) -> CustomerLoad {
    CustomerLoad { rate, tokens, routers, is_throttled, objective: OBJECTIVE, failing: 0.0 }
}

/// A customer whose only router is late itself and leaves this much of the objective.
fn behind_late_router(rate: f64, tokens: u64, objective_millis: u64) -> CustomerLoad {
    CustomerLoad { objective: Duration::from_millis(objective_millis), ..load(rate, tokens, 1, true) }
}

/// Two customers that each ask for more than the shard can handle of both, beside small ones.
#[test_case(load(800.0, LONG, ROUTERS, false), load(1_500.0, SHORT, ROUTERS, false), Share::WHOLE, 1; "long and short prompts")]
#[test_case(load(800.0, LONG, ROUTERS, true), load(1_500.0, SHORT, ROUTERS, true), Share::WHOLE, 2; "with throttles")]
#[test_case(load(800.0, LONG, ROUTERS, true), load(1_500.0, SHORT, 1, true), Share::WHOLE, 3; "short prompts through one router")]
#[test_case(load(800.0, LONG, 1, true), load(1_500.0, SHORT, ROUTERS, true), Share::WHOLE, 4; "long prompts through one router")]
#[test_case(load(1_000.0, LONG, ROUTERS, true), load(1_000.0, LONG, 1, true), Share::WHOLE, 5; "one through one router")]
#[test_case(load(800.0, LONG, ROUTERS, false), load(1_500.0, SHORT, ROUTERS, false), Share::THIRDS, 6; "stalled for a third of the time")]
#[test_case(load(800.0, LONG, ROUTERS, true), load(1_500.0, SHORT, 1, true), Share::THIRDS, 7; "stalled, one router")]
fn a_customer_with_short_prompts_is_shut_out_by_one_with_long_prompts(
    large: CustomerLoad,
    other: CustomerLoad,
    share: Share,
    seed: u64,
) {
    let small = load(20.0, SHORT, ROUTERS, false);
    let mut loads = vec![large, other];
    loads.extend(std::iter::repeat_n(small, 8));
    let customers = loads.len();
    let outcome = LateShard::with_loads(loads, share, seed).run();
    let found = starved(&outcome, customers);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// Guards against submissions that are given up unread in each pause of the shard's process, since a late router has left
/// little of their objective.
#[test_case(behind_late_router(1_000.0, LONG, 150), Share::THIRDS, 8; "some of it")]
#[test_case(behind_late_router(1_000.0, LONG, 20), Share::THIRDS, 9; "hardly any")]
#[test_case(behind_late_router(1_000.0, LONG, 20), Share::WHOLE, 10; "hardly any, without pauses")]
#[test_case(behind_late_router(150.0, LONG, 70), Share::THIRDS, 11; "a small customer")]
fn a_customer_behind_a_late_router_is_shut_out(late: CustomerLoad, share: Share, seed: u64) {
    let loads = vec![load(1_000.0, LONG, ROUTERS, true), late, load(100.0, SHORT, ROUTERS, false)];
    let outcome = LateShard::with_loads(loads, share, seed).run();
    let found = starved(&outcome, 3);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// Guards against silence about a request that is submitted again while the shard has no room for it.
#[test_case(2.0, Share::WHOLE, 12; "twice what the shard can handle")]
#[test_case(4.0, Share::WHOLE, 13; "four times")]
#[test_case(2.0, Share::THIRDS, 14; "twice, stalled for a third of the time")]
fn a_submission_of_a_request_that_is_tried_again_gets_no_answer(demand: f64, share: Share, seed: u64) {
    let rate = demand * share.capacity() / 4.0;
    let failing = CustomerLoad { failing: 0.3, ..load(rate, SHORT, ROUTERS, false) };
    let outcome = LateShard::with_loads(vec![failing; 4], share, seed).run();
    let unheard = outcome.breaches.get("submissions without an answer");
    assert_eq!(unheard, None);
}
