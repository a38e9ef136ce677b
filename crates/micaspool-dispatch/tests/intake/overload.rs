//! A shard that is sent more than it can handle, most of it by one customer.
//!
//! Guards against a queue that is served in the order of arrival: all that waits there grows old together, whoever sent
//! it, and each answer comes after its caller has left.

use crate::driver::{customer_name, LateShard, Outcome, Share, LENGTH, OBJECTIVE, SMALL_CUSTOMERS};
use std::time::Duration;
use test_case::test_case;

/// The window in which no customer may get less than half of the smaller of what it asked for and what the best served
/// one got.
const WINDOW: Duration = Duration::from_secs(6);
const WINDOW_STEP: Duration = Duration::from_millis(500);
/// The part of what the shard can handle that is served in time at least, in percent.
const LEAST_SERVED_PERCENT: f64 = 75.0;
/// The part of the submissions refused without a decision that may have waited before, in percent.
const MOST_WAITED_PERCENT: usize = 10;

/// The first breach of the rule on shares.
fn breach_of_shares(outcome: &Outcome) -> Option<String> {
    let mut from = Duration::ZERO;
    while from + WINDOW + OBJECTIVE <= LENGTH {
        let until = from + WINDOW;
        let mut asked = [0u64; SMALL_CUSTOMERS + 1];
        let mut got = [0u64; SMALL_CUSTOMERS + 1];
        for request in outcome.requests.values() {
            let is_served = request.served_at.is_some_and(|at| (from..until).contains(&at));
            asked[request.customer] += u64::from((from..until).contains(&request.asked_at));
            got[request.customer] += u64::from(is_served);
        }
        let best = got.iter().copied().max().unwrap_or(0);
        for customer in 0..=SMALL_CUSTOMERS {
            let owed = asked[customer].min(best);
            if 2 * got[customer] < owed {
                let name = customer_name(customer);
                return Some(format!("from {from:?} {name} is owed {owed} and got {}", got[customer]));
            }
        }
        from += WINDOW_STEP;
    }
    None
}

#[test_case(1.2, Share::WHOLE, 1; "a fifth more than the shard can handle")]
#[test_case(1.5, Share::WHOLE, 2; "half more")]
#[test_case(2.0, Share::WHOLE, 3; "twice")]
#[test_case(2.0, Share::WHOLE, 4; "twice, another seed")]
#[test_case(4.0, Share::WHOLE, 5; "four times")]
#[test_case(1.2, Share::THIRDS, 6; "a fifth more, stalled for a third of the time")]
#[test_case(2.0, Share::THIRDS, 7; "twice, stalled for a third of the time")]
fn a_flood_beyond_what_the_shard_can_handle_shuts_nobody_out(load: f64, share: Share, seed: u64) {
    let mut outcome = LateShard::new(load, share, seed).run();
    if let Some(breach) = breach_of_shares(&outcome) {
        outcome.breaches.insert("shares", breach);
    }
    let served = outcome.requests.values().filter(|request| request.served_at.is_some()).count();
    let percent = served as f64 * 100.0 / (share.capacity() * LENGTH.as_secs_f64());
    if percent < LEAST_SERVED_PERCENT {
        outcome.breaches.insert("served in time", format!("{percent:.1} percent of the capacity"));
    }
    let (unread, waited) = (outcome.refused_unread, outcome.refused_unread_after_wait);
    if waited * 100 > unread * MOST_WAITED_PERCENT {
        outcome.breaches.insert("refused after a wait", format!("{waited} of {unread}"));
    }
    assert!(outcome.breaches.is_empty(), "{:#?}", outcome.breaches);
}

#[test]
fn a_load_within_what_the_shard_can_handle_is_served() {
    let outcome = LateShard::new(0.8, Share::WHOLE, 8).run();
    assert!(outcome.breaches.is_empty(), "{:#?}", outcome.breaches);
    assert_eq!(outcome.refused_unread, 0);
    let due = outcome.requests.values().filter(|request| request.asked_at + OBJECTIVE < LENGTH);
    let unserved = due.filter(|request| request.served_at.is_none()).count();
    assert_eq!(unserved, 0);
}
