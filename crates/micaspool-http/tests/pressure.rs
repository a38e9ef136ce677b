//! Tests how an overloaded server shares its capacity between callers.

use micaspool_http::pressure::{CallerRotation, RoundBudget};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;
use test_case::test_case;

const ON_TIME: Duration = Duration::from_millis(1);
const LATE: Duration = Duration::from_millis(200);

fn caller(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

/// One caller opens ten times as many connections as the server serves; four others then open one each.
#[test]
fn a_flood_from_one_caller_does_not_starve_others() {
    let mut waiting = vec![caller(1); 50];
    waiting.extend((2..6).map(caller));
    let served = CallerRotation::default().select_served(&waiting, 8);
    assert_eq!(
        served,
        [46, 47, 48, 49, 50, 51, 52, 53],
        "the newest ones of the flood and all of the others"
    );
}

#[test_case(0, 5, 0)]
#[test_case(5, 0, 0)]
#[test_case(5, 9, 5; "more budget than connections")]
#[test_case(5, 2, 2)]
fn the_number_served_is_limited_by_budget_and_waiting(waiting: usize, budget: usize, served: usize) {
    assert_eq!(CallerRotation::default().select_served(&vec![caller(1); waiting], budget).len(), served);
}

/// With a budget of one connection per round, each caller is served once before any is served twice.
#[test]
fn callers_are_served_round_robin() {
    let waiting: Vec<IpAddr> = (1..6).chain(1..6).map(caller).collect();
    let mut rotation = CallerRotation::default();
    let served: Vec<IpAddr> = (0..5).map(|_| waiting[rotation.select_served(&waiting, 1)[0]]).collect();
    assert_eq!(served, (1..6).map(caller).collect::<Vec<_>>());
}

#[test]
fn a_server_without_lag_accepts_all_connections() {
    let mut budget = RoundBudget::default();
    for _ in 0..1_000 {
        budget.observe(ON_TIME);
        assert_eq!(budget.get(), None);
    }
}

#[test]
fn the_budget_shrinks_under_lag_but_stays_above_zero() {
    let mut budget = RoundBudget::default();
    let mut before = usize::MAX;
    for _ in 0..10 {
        budget.observe(LATE);
        let now = budget.get().expect("the server is overloaded");
        assert!(now <= before && now > 0);
        before = now;
    }
    assert_eq!(before, 1);
}

/// A server that has recovered stops closing connections within 70 rounds, which is three and a half seconds.
#[test]
fn a_recovered_server_accepts_all_connections_again() {
    let mut budget = RoundBudget::default();
    (0..10).for_each(|_| budget.observe(LATE));
    let rounds = (0..100).take_while(|_| {
        budget.observe(ON_TIME);
        budget.get().is_some()
    });
    assert!(rounds.count() <= 70);
}
