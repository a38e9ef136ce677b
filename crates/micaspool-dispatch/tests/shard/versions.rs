//! Tickets that go on with a stream and may run only at the software version that began it.

use crate::harness::{endpoint, hello, request_id, ticket, ShardHarness};
use micaspool_dispatch::{GrantOutcome, RefusalReason, RequestTicket, SessionId, ShardEvent};
use micaspool_types::{SoftwareVersion, VersionLimit};

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::new(text)
}

fn bound_ticket(number: u128, text: &str) -> RequestTicket {
    RequestTicket { versions: VersionLimit::Only(version(text)), ..ticket(number, "a", 10) }
}

/// A shard whose endpoints run `v0`, `v1`, `v0`, ... in turn.
fn two_versions(endpoints: usize, slots: u32) -> ShardHarness {
    let mut harness = ShardHarness::new(endpoints, slots, &["a"]);
    harness.update_policy(|policy| {
        for (number, spec) in policy.endpoints.iter_mut().enumerate() {
            spec.version = version(&format!("v{}", number % 2));
        }
    });
    harness.join(1, hello("r1", 1));
    harness
}

#[test]
fn a_bound_ticket_runs_only_at_its_version() {
    let mut harness = two_versions(2, 4);
    for number in 0..4 {
        harness.submit(1, bound_ticket(number, "v1"));
    }
    let grants = harness.take_grants();
    assert_eq!(grants.len(), 4);
    assert!(grants.iter().all(|grant| grant.endpoint == endpoint(1)), "{grants:?}");
    harness.submit(1, bound_ticket(9, "v1"));
    assert!(harness.take_grants().is_empty(), "only the other version has a free endpoint");
    harness.submit(1, ticket(10, "a", 10));
    assert_eq!(harness.take_grants().len(), 1, "a ticket without a limit is not held up by one that waits");
    harness.settle(1, 0, 1, GrantOutcome::Done);
    assert_eq!(harness.take_grants()[0].request, request_id(9));
}

#[test]
fn a_bound_ticket_whose_version_runs_nowhere_is_refused_at_once() {
    let mut harness = two_versions(2, 1);
    harness.submit(1, bound_ticket(1, "v2"));
    harness.submit(1, bound_ticket(2, ""));
    assert_eq!(harness.refusals(), [(1, RefusalReason::VersionGone), (2, RefusalReason::VersionGone)]);
}

#[test]
fn a_waiting_bound_ticket_is_refused_once_the_last_endpoint_of_its_version_leaves() {
    let mut harness = two_versions(2, 1);
    harness.submit(1, bound_ticket(1, "v1"));
    harness.submit(1, bound_ticket(2, "v1"));
    harness.submit(1, ticket(3, "a", 10));
    harness.submit(1, ticket(4, "a", 10));
    harness.update_policy(|policy| policy.endpoints[1].leaving = true);
    assert_eq!(harness.refusals(), [(2, RefusalReason::VersionGone)]);
}

#[test]
fn a_bound_ticket_that_waits_again_after_a_lost_grant_keeps_its_version() {
    let mut harness = two_versions(4, 1);
    harness.submit(1, bound_ticket(1, "v1"));
    let first = harness.take_grants().remove(0).endpoint;
    assert!(first == endpoint(1) || first == endpoint(3));
    harness.step(ShardEvent::Left(SessionId(1)));
    let mut again = hello("r1", 1);
    again.waiting.push(bound_ticket(1, "v1"));
    harness.join(2, again);
    let second = harness.take_grants().remove(0).endpoint;
    assert!(second == endpoint(1) || second == endpoint(3));
}
