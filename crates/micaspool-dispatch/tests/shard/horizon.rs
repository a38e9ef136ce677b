//! What customers received seconds ago, when capacity gets scarce.
//!
//! A customer that asked for many times its share got what others didn't want: 15 to 23 requests a second for four
//! seconds. Then half of the engines turned requests away, and for six seconds it got none at all, 95 a second asked for,
//! while another began 20 a second. That one had been refused once or twice in the three seconds before, kept its level
//! for that, and had all of the other's lead to itself.

use crate::harness::{endpoint, hello, ticket, ShardHarness};
use micaspool_dispatch::{GrantFate, RequestTicket};
use micaspool_types::Cost;
use std::time::Duration;

const COST: u64 = 100;
const SLOTS: u32 = 4;
/// What a customer may have received less than the others and still catch up, in requests: five credits of one
/// request each, and what runs of both, which is charged for the most part as it ends.
const MOST_BEFORE: usize = 5 + 2 * SLOTS as usize;

fn asked(number: u128, name: &str) -> RequestTicket {
    ticket(number, name, COST)
}

/// One customer is refused once, since no slot comes free in time, and then the other has all slots to itself.
fn lead_of_sixty() -> ShardHarness {
    let mut harness = ShardHarness::new(1, SLOTS, &["flood", "b"]);
    harness.update_policy(|policy| policy.idle_credit = Cost(COST));
    harness.join(1, hello("r1", 1));
    for number in 0..4 {
        harness.submit(1, asked(number, "flood"));
    }
    let hurried = RequestTicket { objective: Some(Duration::from_millis(100)), ..asked(1_000, "b") };
    harness.submit(1, hurried);
    harness.advance_with_heartbeats(200, &[1]);
    for number in 0..60 {
        harness.settle(1, number, COST, GrantFate::Done);
        harness.submit(1, asked(number + 4, "flood"));
    }
    harness.take_grants();
    harness
}

/// How many of forty grants go to the other customer before the flood's first, while its four last requests and then
/// what is granted end one after the other.
fn granted_before_the_flood(harness: &mut ShardHarness) -> usize {
    let mut running: Vec<u128> = (60..64).collect();
    let mut order = Vec::new();
    for _ in 0..40 {
        harness.settle(1, running.remove(0), COST, GrantFate::Done);
        running.extend(harness.take_granted_requests());
        order.extend(running.last().copied());
    }
    order.iter().take_while(|request| **request < 3_000).count()
}

#[test]
fn a_lead_from_when_others_wanted_nothing_is_not_held_against_a_customer_for_long() {
    let mut harness = lead_of_sixty();
    for number in 0..60 {
        harness.submit(1, asked(2_000 + number, "b"));
        harness.submit(1, asked(3_000 + number, "flood"));
    }
    let before = granted_before_the_flood(&mut harness);
    assert!(before <= MOST_BEFORE, "{before} requests of the other before its first");
}

#[test]
fn a_customer_that_was_refused_is_served_before_one_with_a_lead() {
    let mut harness = lead_of_sixty();
    for number in 0..4 {
        harness.submit(1, asked(3_000 + number, "flood"));
    }
    for number in 0..4 {
        harness.submit(1, asked(2_000 + number, "b"));
    }
    for number in 60..64 {
        harness.settle(1, number, COST, GrantFate::Done);
    }
    assert_eq!(harness.take_granted_requests(), [2_000, 2_001, 2_002, 2_003]);
}

/// A ticket that waits though an endpoint is free keeps its customer's queue from ever being empty.
#[test]
fn a_customer_is_not_owed_what_its_tickets_passed_over_by_choice() {
    let mut harness = ShardHarness::new(1, SLOTS, &["flood", "b"]);
    harness.update_policy(|policy| policy.idle_credit = Cost(COST));
    harness.join(1, hello("r1", 1));
    harness.submit(1, RequestTicket { avoid: Some(endpoint(0)), ..asked(1_000, "b") });
    (0..4).for_each(|number| harness.submit(1, asked(number, "flood")));
    for number in 0..60 {
        harness.settle(1, number, COST, GrantFate::Done);
        harness.submit(1, asked(number + 4, "flood"));
    }
    harness.take_grants();
    for number in 0..60 {
        harness.submit(1, asked(2_000 + number, "b"));
        harness.submit(1, asked(3_000 + number, "flood"));
    }
    let before = granted_before_the_flood(&mut harness);
    assert!(before <= MOST_BEFORE, "{before} requests of the other before its first");
}
