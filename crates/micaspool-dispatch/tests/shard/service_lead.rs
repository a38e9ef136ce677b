//! How service received seconds ago counts when capacity becomes scarce.
//!
//! Guards against an unlimited lead. A customer that asked for many times its share used what others did not
//! want: 15 to 23 requests a second for four seconds. Then half of the engines refused requests, and for six
//! seconds it got none of the 95 requests a second that it asked for, while another customer began 20 a
//! second. That customer had been refused once or twice in the three seconds before, kept its level for that
//! reason, and was served alone until it had caught up with the whole lead.

use crate::harness::{customer, endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{GrantOutcome, RefusalReason, RequestTicket, SessionId, UnreadTicket};
use micaspool_types::Cost;
use std::time::Duration;

const COST: u64 = 100;
const SLOTS: u32 = 4;
/// The most requests by which a customer may be behind the others and still catch up: five credits of one
/// request each, and the running requests of both customers, which are charged mostly when they end.
const MAX_CATCH_UP: usize = 5 + 2 * SLOTS as usize;

fn unit_ticket(number: u128, name: &str) -> RequestTicket {
    ticket(number, name, COST)
}

/// How the only request of customer `b` is refused.
#[derive(Clone, Copy)]
enum Refusal {
    /// No slot becomes free in time.
    AfterWait,
    /// The shard is too late to look at it.
    Unread,
}

/// Customer `b` is refused once; then the flood has all slots to itself for sixty requests.
fn shard_with_lead(refusal: Refusal) -> ShardHarness {
    let mut harness = ShardHarness::new(1, SLOTS, &["flood", "b"]);
    harness.update_policy(|policy| policy.idle_credit = Cost(COST));
    harness.join(1, hello("r1", 1));
    for number in 0..4 {
        harness.submit(1, unit_ticket(number, "flood"));
    }
    match refusal {
        Refusal::AfterWait => {
            let objective = Some(Duration::from_millis(100));
            harness.submit(1, RequestTicket { objective, ..unit_ticket(1_000, "b") });
            harness.advance_with_heartbeats(200, &[1]);
        }
        Refusal::Unread => {
            harness.advance_with_heartbeats(200, &[1]);
            refuse_unread(&mut harness, 1_000, "b");
        }
    }
    for number in 0..60 {
        harness.settle(1, number, COST, GrantOutcome::Done);
        harness.submit(1, unit_ticket(number + 4, "flood"));
    }
    harness.take_grants();
    harness
}

fn refuse_unread(harness: &mut ShardHarness, number: u128, name: &str) {
    let unread = UnreadTicket {
        session: SessionId(1),
        request: request_id(number),
        customer: customer(name),
        prompt_tokens: Cost(0),
        objective: None,
        arrived_at: harness.now,
        reason: RefusalReason::ShardFull,
    };
    harness.core.refuse_unread(harness.now, unread, &mut harness.actions);
}

/// Returns how many of forty grants go to the other customer before the first to the flood. The last four
/// requests of the flood and then the granted ones end one after the other.
fn grants_before_flood(harness: &mut ShardHarness) -> usize {
    let mut running: Vec<u128> = (60..64).collect();
    let mut order = Vec::new();
    for _ in 0..40 {
        harness.settle(1, running.remove(0), COST, GrantOutcome::Done);
        running.extend(harness.take_granted_requests());
        order.extend(running.last().copied());
    }
    order.iter().take_while(|request| **request < 3_000).count()
}

#[test]
fn a_lead_gained_without_contention_delays_a_customer_only_briefly() {
    let mut harness = shard_with_lead(Refusal::AfterWait);
    for number in 0..60 {
        harness.submit(1, unit_ticket(2_000 + number, "b"));
        harness.submit(1, unit_ticket(3_000 + number, "flood"));
    }
    let before = grants_before_flood(&mut harness);
    assert!(
        before <= MAX_CATCH_UP,
        "{before} requests of the other customer were granted before the flood's first"
    );
}

#[test]
fn a_customer_that_was_refused_is_served_before_one_with_a_lead() {
    let mut harness = shard_with_lead(Refusal::AfterWait);
    for number in 0..4 {
        harness.submit(1, unit_ticket(3_000 + number, "flood"));
    }
    for number in 0..4 {
        harness.submit(1, unit_ticket(2_000 + number, "b"));
    }
    for number in 60..64 {
        harness.settle(1, number, COST, GrantOutcome::Done);
    }
    assert_eq!(harness.take_granted_requests(), [2_000, 2_001, 2_002, 2_003]);
}

/// Guards against a late shard that forgives what it owes to a customer whose submissions it did not look at.
#[test]
fn a_customer_that_was_refused_unread_is_owed_what_one_is_that_was_refused_after_a_wait() {
    let owed = |refusal| {
        let mut harness = shard_with_lead(refusal);
        for number in 0..60 {
            harness.submit(1, unit_ticket(2_000 + number, "b"));
            harness.submit(1, unit_ticket(3_000 + number, "flood"));
        }
        grants_before_flood(&mut harness)
    };
    assert_eq!(owed(Refusal::Unread), owed(Refusal::AfterWait));
}

/// A ticket that waits although an endpoint is free keeps its customer's queue from ever being empty, which
/// must not earn the customer credit.
#[test]
fn a_customer_earns_no_credit_while_its_ticket_avoids_a_free_endpoint() {
    let mut harness = ShardHarness::new(1, SLOTS, &["flood", "b"]);
    harness.update_policy(|policy| policy.idle_credit = Cost(COST));
    harness.join(1, hello("r1", 1));
    harness.submit(1, RequestTicket { avoid: Some(endpoint(0)), ..unit_ticket(1_000, "b") });
    (0..4).for_each(|number| harness.submit(1, unit_ticket(number, "flood")));
    for number in 0..60 {
        harness.settle(1, number, COST, GrantOutcome::Done);
        harness.submit(1, unit_ticket(number + 4, "flood"));
    }
    harness.take_grants();
    for number in 0..60 {
        harness.submit(1, unit_ticket(2_000 + number, "b"));
        harness.submit(1, unit_ticket(3_000 + number, "flood"));
    }
    let before = grants_before_flood(&mut harness);
    assert!(
        before <= MAX_CATCH_UP,
        "{before} requests of the other customer were granted before the flood's first"
    );
}
