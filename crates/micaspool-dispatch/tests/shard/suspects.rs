//! What is held against a request, by how its runs and its endpoints end.

use crate::bench::{customer, endpoint, hello, id, ticket, Bench};
use micaspool_dispatch::{
    CrashRecord, EndpointCrash, GrantOutcome, LoadReport, RefusalReason, RequestTicket, RouterHello,
    SessionId, ShardAction, ShardEvent,
};
use micaspool_types::{Cost, EndpointName, RequestDigest};
use std::time::Duration;
use test_case::test_case;

const LETTER: RequestDigest = RequestDigest(7);
const OTHER: RequestDigest = RequestDigest(8);

fn asked(number: u128, digest: RequestDigest) -> RequestTicket {
    RequestTicket { digest: Some(digest), ..ticket(number, "a", 10) }
}

/// Endpoints with many slots, and two routers.
fn fleet(endpoints: usize) -> Bench {
    let mut bench = Bench::new(endpoints, 8, &["a"]);
    bench.join(1, hello("r1", 1));
    bench.join(2, hello("r2", 1));
    bench.seen.clear();
    bench
}

/// Submits a request that is granted, and gives where.
fn granted(bench: &mut Bench, session: u64, ticket: RequestTicket) -> EndpointName {
    let request = ticket.request;
    bench.seen.clear();
    bench.submit(session, ticket);
    let grants = bench.grants();
    assert_eq!(grants.iter().map(|grant| grant.request).collect::<Vec<_>>(), [request], "it is granted");
    grants[0].endpoint.clone()
}

/// Why a ticket is refused at once, and when its caller may come back.
fn refused(bench: &mut Bench, session: u64, ticket: RequestTicket) -> Option<(RefusalReason, Duration)> {
    let request = ticket.request;
    bench.seen.clear();
    bench.submit(session, ticket);
    refusals(bench)
        .into_iter()
        .find(|(refused, ..)| *refused == request.0)
        .map(|(_, reason, after)| (reason, after))
}

fn refusals(bench: &Bench) -> Vec<(u128, RefusalReason, Duration)> {
    let refusal = |action: &ShardAction| match action {
        ShardAction::Refuse { request, reason, retry_after, .. } => Some((request.0, *reason, *retry_after)),
        _ => None,
    };
    bench.seen.iter().filter_map(refusal).collect()
}

/// What routers were told of a request: the stream, and how many crashes.
fn told(bench: &Bench, digest: RequestDigest) -> Vec<(u64, usize)> {
    let word = |action: &ShardAction| match action {
        ShardAction::SendRecord { session, record } if record.digest == digest => {
            Some((session.0, record.crashes.len()))
        }
        _ => None,
    };
    bench.seen.iter().filter_map(word).collect()
}

/// Ends an endpoint under one run of a request after another, each at another endpoint that is paused then.
fn end_endpoints(bench: &mut Bench, digest: RequestDigest, first: u128, times: u128) {
    for number in first..first + times {
        let ended = granted(bench, 1, asked(number, digest));
        bench.settle(1, number, 0, GrantOutcome::Severed);
        bench.step(ShardEvent::Unreachable(ended));
    }
}

fn crash(number: usize) -> EndpointCrash {
    EndpointCrash { endpoint: endpoint(number), age: Duration::from_millis(100) }
}

fn told_by(router: &str, crashes: Vec<EndpointCrash>) -> RouterHello {
    let record = CrashRecord { digest: LETTER, customer: customer("a"), crashes };
    RouterHello { crashes: vec![record], ..hello(router, 1) }
}

#[test]
fn a_request_in_doubt_runs_once_at_a_time_and_others_are_told_at_once() {
    let mut bench = fleet(4);
    end_endpoints(&mut bench, LETTER, 1, 1);
    granted(&mut bench, 1, asked(2, LETTER));
    let second = refused(&mut bench, 2, asked(3, LETTER));
    assert_eq!(second, Some((RefusalReason::CopyRunning, Duration::from_secs(1))));
    granted(&mut bench, 2, asked(4, OTHER));
    bench.settle(1, 2, 10, GrantOutcome::Abandoned);
    granted(&mut bench, 2, asked(5, LETTER));
}

#[test]
fn copies_that_wait_when_it_comes_into_doubt_are_refused_but_for_one() {
    let mut bench = Bench::new(2, 1, &["a"]);
    bench.join(1, hello("r1", 1));
    for number in 1..=5 {
        bench.submit(1, asked(number, LETTER));
    }
    assert_eq!(bench.granted_requests(), [1, 2]);
    bench.settle(1, 1, 0, GrantOutcome::Severed);
    assert_eq!(refusals(&bench).len(), 3, "a copy runs, so none of three need wait");
    bench.seen.clear();
    bench.submit(1, asked(6, OTHER));
    assert!(refusals(&bench).is_empty());
}

#[test_case(GrantOutcome::Done, true; "an answer that came whole")]
#[test_case(GrantOutcome::Abandoned, false; "a caller that left")]
#[test_case(GrantOutcome::Broken, false; "a deadline")]
#[test_case(GrantOutcome::Refused, false; "an endpoint that was full")]
fn only_a_whole_answer_acquits(fate: GrantOutcome, acquits: bool) {
    let mut bench = fleet(6);
    end_endpoints(&mut bench, LETTER, 1, 2);
    granted(&mut bench, 1, asked(3, LETTER));
    bench.settle(1, 3, 10, fate);
    end_endpoints(&mut bench, LETTER, 4, 1);
    let next = refused(&mut bench, 1, asked(5, LETTER));
    assert_eq!(next.is_none(), acquits, "{next:?}");
}

#[test_case(GrantOutcome::Broken; "a deadline or an answer that can't be used")]
#[test_case(GrantOutcome::Unreachable; "no connection")]
#[test_case(GrantOutcome::Draining; "an endpoint that leaves")]
fn other_failures_say_nothing_of_a_request(fate: GrantOutcome) {
    let mut bench = fleet(8);
    for number in 1..=6 {
        granted(&mut bench, 1, asked(number, LETTER));
        bench.settle(1, number, 0, fate);
        bench.pass_with(1_000, &[1, 2]);
    }
    assert_eq!(refused(&mut bench, 1, asked(7, LETTER)), None);
}

#[test]
fn two_copies_at_one_endpoint_are_one_end() {
    let mut bench = Bench::new(1, 8, &["a"]);
    bench.join(1, hello("r1", 1));
    for number in 1..=4 {
        bench.submit(1, asked(number, LETTER));
    }
    for number in 1..=4 {
        bench.settle(1, number, 0, GrantOutcome::Severed);
    }
    assert_eq!(refused(&mut bench, 1, asked(5, LETTER)), None);
}

#[test]
fn after_three_it_is_shut_out_for_an_hour_and_every_router_knows() {
    let mut bench = fleet(6);
    end_endpoints(&mut bench, LETTER, 1, 2);
    let third = granted(&mut bench, 1, asked(3, LETTER));
    bench.settle(1, 3, 0, GrantOutcome::Severed);
    assert_eq!(told(&bench, LETTER), [(1, 3), (2, 3)]);
    bench.step(ShardEvent::Unreachable(third));
    let fresh = refused(&mut bench, 2, asked(4, LETTER));
    assert_eq!(
        fresh,
        Some((RefusalReason::Quarantined, Duration::from_secs(2))),
        "it may turn out otherwise"
    );
    bench.pass_with(10_000, &[1, 2]);
    let (reason, after) = refused(&mut bench, 2, asked(5, LETTER)).expect("it is shut out");
    assert_eq!(reason, RefusalReason::Quarantined);
    assert!(after > Duration::from_secs(3_500) && after <= Duration::from_secs(3_590), "{after:?}");
    bench.join(3, hello("r3", 1));
    assert_eq!(told(&bench, LETTER), [(3, 3)], "one that joins later is told");
    let status = bench.core.status(bench.now);
    assert_eq!(status.suspects.len(), 1);
    assert_eq!(status.suspects[0].record.crashes.len(), 3);
}

#[test]
fn a_suspected_request_is_not_sent_on() {
    let mut bench = fleet(6);
    end_endpoints(&mut bench, LETTER, 1, 1);
    let again = RequestTicket { attempt: 1, ..asked(1, LETTER) };
    granted(&mut bench, 1, again.clone());
    bench.settle(1, 1, 0, GrantOutcome::Severed);
    assert!(refused(&mut bench, 1, RequestTicket { attempt: 2, ..again }).is_some());
    granted(&mut bench, 1, asked(2, LETTER));
}

#[test]
fn suspected_requests_never_share_an_endpoint() {
    let mut bench = fleet(6);
    let digests: Vec<RequestDigest> = (100..104).map(RequestDigest).collect();
    for (number, digest) in digests.iter().enumerate() {
        end_endpoints(&mut bench, *digest, 10 * number as u128 + 1, 2);
        bench.pass_with(1_000, &[1, 2]);
    }
    bench.pass_with(40_000, &[1, 2]);
    let places = digests.iter().enumerate();
    let mut places: Vec<EndpointName> =
        places.map(|(number, digest)| granted(&mut bench, 1, asked(100 + number as u128, *digest))).collect();
    places.sort();
    places.dedup();
    assert_eq!(places.len(), digests.len());
}

#[test]
fn an_endpoint_that_leaves_is_not_held_against_what_ran_there() {
    let mut bench = fleet(3);
    for number in 1..=4 {
        let at = granted(&mut bench, 1, asked(number, LETTER));
        let leaves = |leaving: bool| {
            let at = at.clone();
            move |policy: &mut micaspool_dispatch::ShardPolicy| {
                let specs = policy.endpoints.iter_mut();
                specs.filter(|spec| spec.name == at).for_each(|spec| spec.leaving = leaving);
            }
        };
        bench.change(leaves(true));
        bench.seen.clear();
        bench.settle(1, number, 0, GrantOutcome::Severed);
        assert_eq!(told(&bench, LETTER), [(1, 0)], "its router holds nothing against it either");
        bench.change(leaves(false));
        bench.pass_with(20_000, &[1, 2]);
    }
    assert_eq!(refused(&mut bench, 1, asked(5, LETTER)), None);
}

#[test_case(100, 50, true; "asked for after the break")]
#[test_case(100, 150, false; "asked for before the break")]
#[test_case(3_000, 0, false; "so late that another may have the address")]
fn a_load_report_shows_that_an_endpoint_is_alive(after: u64, asked_before: u64, is_alive: bool) {
    let mut bench = fleet(4);
    let at = granted(&mut bench, 1, asked(1, LETTER));
    bench.settle(1, 1, 0, GrantOutcome::Severed);
    let asks = bench.seen.iter().any(|action| *action == ShardAction::ProbeEndpoint { endpoint: at.clone() });
    assert!(asks, "it is asked at once");
    bench.pass_with(after, &[1, 2]);
    bench.seen.clear();
    let requested_at = micaspool_types::Moment(bench.now.0 - asked_before * 1_000);
    bench.step(ShardEvent::Load(LoadReport {
        endpoint: at,
        running: 0,
        waiting: 0,
        draining: false,
        requested_at,
    }));
    assert_eq!(told(&bench, LETTER) == [(1, 0)], is_alive);
}

#[test_case(700, false; "a straggler")]
#[test_case(1_300, true; "later")]
fn a_run_that_goes_on_shows_that_an_endpoint_is_alive(after: u64, is_alive: bool) {
    let mut bench = Bench::new(1, 8, &["a"]);
    bench.join(1, hello("r1", 1));
    granted(&mut bench, 1, asked(1, LETTER));
    granted(&mut bench, 1, asked(2, OTHER));
    bench.settle(1, 1, 0, GrantOutcome::Severed);
    bench.pass_with(after, &[1]);
    bench.seen.clear();
    bench.step(ShardEvent::Progress(SessionId(1), id(2), Cost(5)));
    assert_eq!(told(&bench, LETTER) == [(1, 0)], is_alive);
}

#[test]
fn a_new_shard_adds_up_what_its_routers_saw() {
    let mut bench = Bench::recovering(6, 8, &["a"], micaspool_dispatch::ShardOptions::default());
    bench.join(1, told_by("r1", vec![crash(0)]));
    bench.join(2, told_by("r2", vec![crash(1), crash(0)]));
    bench.submit(2, asked(1, LETTER));
    assert!(refusals(&bench).is_empty(), "two endpoints ended under it");
    bench.join(3, told_by("r3", vec![crash(2)]));
    assert_eq!(refusals(&bench), [(1, RefusalReason::Quarantined, Duration::from_secs(2))]);
    bench.pass_with(1_000, &[1, 2, 3]);
    let waiting = RouterHello { waiting: vec![asked(9, LETTER)], ..hello("r4", 1) };
    bench.seen.clear();
    bench.join(4, waiting);
    assert_eq!(refusals(&bench).len(), 1, "what a router brings with it is refused as well");
    assert!(bench.granted_requests().is_empty());
}

#[test]
fn an_operator_lifts_a_quarantine_everywhere() {
    let mut bench = fleet(6);
    end_endpoints(&mut bench, LETTER, 1, 3);
    assert!(refused(&mut bench, 1, asked(4, LETTER)).is_some());
    bench.seen.clear();
    bench.step(ShardEvent::Lift(LETTER));
    assert_eq!(told(&bench, LETTER), [(1, 0), (2, 0)]);
    granted(&mut bench, 2, asked(5, LETTER));
    bench.step(ShardEvent::Lift(OTHER));
}
