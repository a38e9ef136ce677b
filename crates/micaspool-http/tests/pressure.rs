//! A server that is behind shares what it keeps up with between callers.

use micaspool_http::pressure::{CallerTurns, TurnBudget};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;
use test_case::test_case;

const ON_TIME: Duration = Duration::from_millis(1);
const LATE: Duration = Duration::from_millis(200);

fn caller(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

/// One caller opens ten times what a server serves; four others open one connection each, behind the flood.
#[test]
fn a_flood_of_one_caller_leaves_the_others_their_turns() {
    let mut waiting = vec![caller(1); 50];
    waiting.extend((2..6).map(caller));
    let served = CallerTurns::default().served_places(&waiting, 8);
    assert_eq!(served, [46, 47, 48, 49, 50, 51, 52, 53], "the newest of the flood, and each of the others");
}

#[test_case(0, 5, 0)]
#[test_case(5, 0, 0)]
#[test_case(5, 9, 5; "more turns than connections")]
#[test_case(5, 2, 2)]
fn as_many_are_served_as_wait_or_may_be(waiting: usize, budget: usize, served: usize) {
    assert_eq!(CallerTurns::default().served_places(&vec![caller(1); waiting], budget).len(), served);
}

/// A server that takes one connection in a turn serves every caller in time, and none twice before another.
#[test]
fn turns_go_round_between_callers() {
    let waiting: Vec<IpAddr> = (1..6).chain(1..6).map(caller).collect();
    let mut turns = CallerTurns::default();
    let served: Vec<IpAddr> = (0..5).map(|_| waiting[turns.served_places(&waiting, 1)[0]]).collect();
    assert_eq!(served, (1..6).map(caller).collect::<Vec<_>>());
}

#[test]
fn a_server_that_keeps_up_takes_whatever_comes() {
    let mut budget = TurnBudget::default();
    for _ in 0..1_000 {
        budget.observe(ON_TIME);
        assert_eq!(budget.get(), None);
    }
}

#[test]
fn a_server_that_falls_behind_takes_less_and_less_but_something() {
    let mut budget = TurnBudget::default();
    let mut before = usize::MAX;
    for _ in 0..10 {
        budget.observe(LATE);
        let now = budget.get().expect("it is behind");
        assert!(now <= before && now > 0);
        before = now;
    }
    assert_eq!(before, 1);
}

/// Three seconds after it has caught up nothing is closed any more.
#[test]
fn a_server_that_catches_up_takes_everything_again() {
    let mut budget = TurnBudget::default();
    (0..10).for_each(|_| budget.observe(LATE));
    let turns = (0..100).take_while(|_| {
        budget.observe(ON_TIME);
        budget.get().is_some()
    });
    assert!(turns.count() <= 70);
}
