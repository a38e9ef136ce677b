//! What customers are charged for requests that end.

use crate::harness::{customer, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{GrantOutcome, SessionId, ShardEvent};
use micaspool_fair::LEVEL_SCALE;
use micaspool_types::Cost;
use test_case::test_case;

const DELIVERED: u64 = 100;

#[test_case(GrantOutcome::Broken)]
#[test_case(GrantOutcome::Severed)]
#[test_case(GrantOutcome::Abandoned)]
fn a_run_that_breaks_stays_charged_for_what_it_delivered(outcome: GrantOutcome) {
    let mut harness = ShardHarness::new(1, 1, &["c0"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, ticket(1, "c0", DELIVERED));
    harness.step(ShardEvent::Progress(SessionId(1), request_id(1), Cost(DELIVERED)));
    harness.settle(1, 1, 0, outcome);
    let status = harness.core.status(harness.now);
    let found = status.customers.iter().find(|status| status.name == customer("c0"));
    assert_eq!(found.expect("the customer had a ticket").level.0, DELIVERED * LEVEL_SCALE);
}
