//! Counters of a customer's load: granted, begun, and ended before a response.

use crate::harness::{customer, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{CustomerCounters, GrantOutcome, RequestTicket, SessionId, ShardEvent};
use micaspool_types::Cost;
use test_case::test_case;

const LOAD: u64 = 100;

fn granted_request() -> ShardHarness {
    let mut harness = ShardHarness::new(1, 1, &["c0"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, RequestTicket { prompt_tokens: Cost(LOAD), ..ticket(1, "c0", LOAD) });
    harness
}

fn counters(harness: &ShardHarness) -> CustomerCounters {
    let status = harness.core.status(harness.now);
    let found = status.customers.iter().find(|status| status.name == customer("c0"));
    found.expect("the customer had a ticket").counters
}

#[test_case(GrantOutcome::Done, LOAD, 0; "answered")]
#[test_case(GrantOutcome::Broken, 0, LOAD; "broken")]
#[test_case(GrantOutcome::Unreachable, 0, LOAD; "unreachable")]
#[test_case(GrantOutcome::Unsent, 0, LOAD; "unsent")]
fn a_grant_without_events_counts_by_its_outcome(outcome: GrantOutcome, begun: u64, lost: u64) {
    let mut harness = granted_request();
    harness.settle(1, 1, 0, outcome);
    let counters = counters(&harness);
    assert_eq!((counters.granted_load, counters.begun_load, counters.lost_load), (LOAD, begun, lost));
}

#[test]
fn a_response_that_breaks_counts_as_begun() {
    let mut harness = granted_request();
    harness.step(ShardEvent::Progress(SessionId(1), request_id(1), Cost(LOAD)));
    harness.settle(1, 1, LOAD, GrantOutcome::Severed);
    let counters = counters(&harness);
    assert_eq!((counters.begun_load, counters.lost_load), (LOAD, 0));
}
