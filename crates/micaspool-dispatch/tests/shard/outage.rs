//! A small service whose endpoints are all away, or fail for a while, and come back.
//!
//! Each pause of an endpoint is twice as long as the one before, 16 s at most, and nothing bounds which part of a service
//! is paused at once. Three endpoints that had been away for 12 s were left alone for up to 3.5 s more after their return,
//! after longer ones for up to 16 s, while every request was refused.

use crate::harness::{hello, ticket, ShardHarness};
use micaspool_dispatch::{GrantFate, RequestTicket, ShardAction};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use test_case::test_case;

const ENDPOINTS: usize = 3;
/// From one request to the next, in milliseconds.
const EVERY: u64 = 20;
/// How soon after its endpoints are back a service is used again, in milliseconds: a second, and what is asked for.
const SOON: u64 = 1_100;

/// One router that asks for something each 20 ms.
struct Callers {
    harness: ShardHarness,
    next: u128,
}

/// What became of requests.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    served: u32,
    /// Sent to an endpoint and failed there.
    failed: u32,
    refused: u32,
}

impl Callers {
    fn new() -> Callers {
        Callers::of(ENDPOINTS)
    }

    fn of(endpoints: usize) -> Callers {
        let mut harness = ShardHarness::new(endpoints, 6, &["a"]);
        harness.join(1, hello("r1", 1));
        Callers { harness, next: 1 }
    }

    /// Asks for so many milliseconds; each grant ends at once as `fate` says.
    fn ask_for(&mut self, millis: u64, mut fate: impl FnMut() -> GrantFate) -> Outcome {
        let mut outcome = Outcome::default();
        for _ in 0..millis / EVERY {
            self.next += 1;
            let wanted =
                RequestTicket { objective: Some(Duration::from_millis(200)), ..ticket(self.next, "a", 1) };
            self.harness.submit(1, wanted);
            self.harness.advance_with_heartbeats(EVERY, &[1]);
            while !self.harness.actions.is_empty() {
                for action in std::mem::take(&mut self.harness.actions) {
                    self.take(action, &mut fate, &mut outcome);
                }
            }
        }
        outcome
    }

    fn take(&mut self, action: ShardAction, fate: &mut impl FnMut() -> GrantFate, outcome: &mut Outcome) {
        match action {
            ShardAction::Grant { request, .. } => {
                let fate = fate();
                let counter = if fate == GrantFate::Done { &mut outcome.served } else { &mut outcome.failed };
                *counter += 1;
                self.harness.settle(1, request.0, 1, fate);
            }
            ShardAction::Refuse { .. } => outcome.refused += 1,
            _ => {}
        }
    }
}

#[test_case(3_000, GrantFate::Unreachable; "away for three seconds")]
#[test_case(12_000, GrantFate::Unreachable; "away for twelve seconds")]
#[test_case(40_000, GrantFate::Unreachable; "away for forty seconds")]
#[test_case(12_000, GrantFate::Refused; "full for twelve seconds")]
fn a_service_is_used_again_soon_after_all_of_its_endpoints_are_back(millis: u64, fate: GrantFate) {
    let mut callers = Callers::new();
    callers.ask_for(1_000, || GrantFate::Done);
    callers.ask_for(millis, || fate);
    callers.ask_for(SOON, || GrantFate::Done);
    let after = callers.ask_for(1_000, || GrantFate::Done);
    assert!(after.served >= 45 && after.refused == 0, "{after:?}");
}

/// While most are away they are asked a few times a second together, however many they are, and not by every request.
#[test_case(1)]
#[test_case(3)]
#[test_case(30)]
#[test_case(300)]
fn endpoints_that_are_away_are_asked_seldom(endpoints: usize) {
    let mut callers = Callers::of(endpoints);
    callers.ask_for(100_000, || GrantFate::Unreachable);
    let away = callers.ask_for(20_000, || GrantFate::Unreachable);
    let fastest = 40 * endpoints as u32;
    assert!(away.failed <= fastest.min(20 * 20), "{away:?}");
}

/// Endpoints that fail half of their requests still serve some all the while.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_service_that_fails_half_of_the_time_is_used(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut callers = Callers::new();
    callers.ask_for(1_000, || GrantFate::Done);
    let grey = |rng: &mut ChaCha8Rng| {
        if rng.random_bool(0.5) {
            GrantFate::Done
        } else {
            GrantFate::Broken
        }
    };
    for second in 0..8 {
        let outcome = callers.ask_for(1_000, || grey(&mut rng));
        assert!(outcome.served > 0, "nothing was served in second {second}: {outcome:?}");
    }
}
