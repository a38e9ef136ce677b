//! A small service whose endpoints are all unreachable, or fail for a while, and return.
//!
//! Guards against pausing a whole service for long. Each pause of an endpoint is twice as long as the one
//! before, 16 s at most, and nothing bounded how much of a service was paused at once. Three endpoints that
//! had been unreachable for 12 s were left alone for up to 3.5 s more after their return, and after longer
//! outages for up to 16 s, while every request was refused.

use crate::harness::{hello, ticket, ShardHarness};
use micaspool_dispatch::{GrantOutcome, RequestTicket, ShardAction};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use test_case::test_case;

const ENDPOINTS: usize = 3;
/// Time between two requests, in milliseconds.
const REQUEST_INTERVAL_MILLIS: u64 = 20;
/// How soon after the return of its endpoints a service must be used again, in milliseconds: one second, and
/// the time for requests to arrive.
const RECOVERY_MILLIS: u64 = 1_100;

/// One router that submits a request every 20 ms.
struct SteadyCallers {
    harness: ShardHarness,
    next: u128,
}

/// Counts of requests by outcome.
#[derive(Debug, Default, PartialEq, Eq)]
struct RequestOutcome {
    served: u32,
    /// Sent to an endpoint and failed there.
    failed: u32,
    refused: u32,
}

impl SteadyCallers {
    fn new() -> SteadyCallers {
        SteadyCallers::with_endpoints(ENDPOINTS)
    }

    fn with_endpoints(endpoints: usize) -> SteadyCallers {
        let mut harness = ShardHarness::new(endpoints, 6, &["a"]);
        harness.join(1, hello("r1", 1));
        SteadyCallers { harness, next: 1 }
    }

    /// Submits requests for `millis`; each grant is settled at once with `grant_outcome`.
    fn run_for(&mut self, millis: u64, mut grant_outcome: impl FnMut() -> GrantOutcome) -> RequestOutcome {
        let mut outcome = RequestOutcome::default();
        for _ in 0..millis / REQUEST_INTERVAL_MILLIS {
            self.next += 1;
            let timed_ticket =
                RequestTicket { objective: Some(Duration::from_millis(200)), ..ticket(self.next, "a", 1) };
            self.harness.submit(1, timed_ticket);
            self.harness.advance_with_heartbeats(REQUEST_INTERVAL_MILLIS, &[1]);
            while !self.harness.actions.is_empty() {
                for action in std::mem::take(&mut self.harness.actions) {
                    self.take_action(action, &mut grant_outcome, &mut outcome);
                }
            }
        }
        outcome
    }

    fn take_action(
        &mut self,
        action: ShardAction,
        grant_outcome: &mut impl FnMut() -> GrantOutcome,
        outcome: &mut RequestOutcome,
    ) {
        match action {
            ShardAction::Grant { request, .. } => {
                let grant_outcome = grant_outcome();
                let counter = if grant_outcome == GrantOutcome::Done {
                    &mut outcome.served
                } else {
                    &mut outcome.failed
                };
                *counter += 1;
                self.harness.settle(1, request.0, 1, grant_outcome);
            }
            ShardAction::Refuse { .. } => outcome.refused += 1,
            _ => {}
        }
    }
}

#[test_case(3_000, GrantOutcome::Unreachable; "unreachable for three seconds")]
#[test_case(12_000, GrantOutcome::Unreachable; "unreachable for twelve seconds")]
#[test_case(40_000, GrantOutcome::Unreachable; "unreachable for forty seconds")]
#[test_case(12_000, GrantOutcome::Refused; "full for twelve seconds")]
fn a_service_is_used_again_soon_after_all_its_endpoints_return(millis: u64, grant_outcome: GrantOutcome) {
    let mut callers = SteadyCallers::new();
    callers.run_for(1_000, || GrantOutcome::Done);
    callers.run_for(millis, || grant_outcome);
    callers.run_for(RECOVERY_MILLIS, || GrantOutcome::Done);
    let after = callers.run_for(1_000, || GrantOutcome::Done);
    assert!(after.served >= 45 && after.refused == 0, "{after:?}");
}

/// While most endpoints are unreachable they are tried a few times a second in total, however many there
/// are, and not by every request.
#[test_case(1)]
#[test_case(3)]
#[test_case(30)]
#[test_case(300)]
fn unreachable_endpoints_are_tried_seldom(endpoints: usize) {
    let mut callers = SteadyCallers::with_endpoints(endpoints);
    callers.run_for(100_000, || GrantOutcome::Unreachable);
    let outage = callers.run_for(20_000, || GrantOutcome::Unreachable);
    let max_attempts = 40 * endpoints as u32;
    assert!(outage.failed <= max_attempts.min(20 * 20), "{outage:?}");
}

/// Endpoints that fail half of their requests still serve some requests in every second.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_service_that_fails_half_of_its_requests_stays_in_use(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut callers = SteadyCallers::new();
    callers.run_for(1_000, || GrantOutcome::Done);
    let draw_outcome = |rng: &mut ChaCha8Rng| {
        if rng.random_bool(0.5) {
            GrantOutcome::Done
        } else {
            GrantOutcome::Broken
        }
    };
    for second in 0..8 {
        let outcome = callers.run_for(1_000, || draw_outcome(&mut rng));
        assert!(outcome.served > 0, "nothing was served in second {second}: {outcome:?}");
    }
}
