//! What routers are told about the queue of their customer.

use crate::harness::{hello, ticket, ShardHarness};
use micaspool_dispatch::{QueueFill, RequestTicket, ShardAction};
use std::time::Duration;
use test_case::test_case;

const OBJECTIVE: Duration = Duration::from_secs(1);

/// The fill that each action for a router states.
fn told(harness: &mut ShardHarness) -> Vec<Option<QueueFill>> {
    let actions = std::mem::take(&mut harness.actions);
    let fills = actions.into_iter().filter_map(|action| match action {
        ShardAction::Accepted { queue_fill, .. }
        | ShardAction::Grant { queue_fill, .. }
        | ShardAction::Refuse { queue_fill, .. } => Some(queue_fill),
        _ => None,
    });
    fills.collect()
}

#[test_case(Some(OBJECTIVE) => vec![Some(QueueFill(0)); 2]; "with an objective")]
#[test_case(None => vec![None; 2]; "without an objective")]
fn an_empty_queue_is_told_with_a_grant_and_when_a_ticket_is_queued(
    objective: Option<Duration>,
) -> Vec<Option<QueueFill>> {
    let mut harness = ShardHarness::new(1, 1, &["c0"]);
    harness.join(1, hello("r1", 1));
    harness.submit(1, RequestTicket { objective, ..ticket(1, "c0", 10) });
    harness.submit(1, RequestTicket { objective, ..ticket(2, "c0", 10) });
    told(&mut harness)
}

#[test]
fn a_customer_at_its_limit_is_told_that_its_queue_is_full() {
    let mut harness = ShardHarness::new(1, 1, &["c0"]);
    harness.update_policy(|policy| policy.customers[0].max_waiting = 1);
    harness.join(1, hello("r1", 1));
    for number in 1..=3 {
        harness.submit(1, RequestTicket { objective: Some(OBJECTIVE), ..ticket(number, "c0", 10) });
    }
    assert_eq!(told(&mut harness).last(), Some(&Some(QueueFill::FULL)));
}

#[test_case(0, 800 => true)]
#[test_case(390, 800 => true)]
#[test_case(400, 800 => false)]
#[test_case(900, 0 => false)]
fn a_queue_is_short_below_half_of_what_first_attempts_tolerate(expected: u64, tolerated: u64) -> bool {
    QueueFill::of(Duration::from_millis(expected), Duration::from_millis(tolerated)).is_short()
}
