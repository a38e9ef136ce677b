//! Orders that arrive late, repeatedly or out of order.

use micaspool_halls::{HallOrder, HallOrders, HallState, OrderCommand, OrderVerdict};
use micaspool_types::{HallName, MAX_HALLS};
use proptest::prelude::*;
use test_case::test_case;

use HallState::{Evacuated, Open};

fn hall(name: &str) -> HallName {
    HallName::parse(name).expect("a name")
}

fn order(name: &str, wanted: HallState, known: u64) -> OrderCommand {
    OrderCommand { hall: hall(name), wanted, known, ordered_by: "operator".into(), at_millis: 5 }
}

#[test]
fn an_accepted_order_is_confirmed_when_resent() {
    let mut orders = HallOrders::default();
    assert_eq!(orders.accept(&order("a", Evacuated, 0)), OrderVerdict::InForce(1));
    assert_eq!(orders.accept(&order("a", Evacuated, 0)), OrderVerdict::InForce(1), "sent again");
    assert!(orders.is_evacuated(&hall("a")) && !orders.is_evacuated(&hall("b")));
    assert_eq!((orders.newest_number(), orders.evacuated_count()), (1, 1));
}

#[test]
fn returning_a_hall_that_was_never_evacuated_changes_nothing() {
    let mut orders = HallOrders::default();
    assert_eq!(orders.accept(&order("a", Open, 0)), OrderVerdict::InForce(0));
    assert_eq!(orders.newest_number(), 0);
}

/// An order is delayed at one keeper, while its sender resends it and then orders the opposite.
#[test_case(Evacuated, Open; "a delayed evacuation")]
#[test_case(Open, Evacuated; "a delayed return")]
fn a_delayed_order_does_not_override_a_newer_one(first: HallState, then: HallState) {
    let mut orders = HallOrders::default();
    if first == Open {
        orders.accept(&order("a", Evacuated, 0));
    }
    let known = orders.newest_number();
    let delayed = order("a", first, known);
    assert_eq!(orders.accept(&order("a", first, known)), OrderVerdict::InForce(known + 1));
    assert_eq!(orders.accept(&order("a", then, known + 1)), OrderVerdict::InForce(known + 2));
    assert_eq!(orders.accept(&delayed), OrderVerdict::Overtaken(known + 2));
    assert_eq!(orders.state_of(&hall("a")), then);
}

#[test]
fn an_order_is_not_overtaken_by_orders_about_other_halls() {
    let mut orders = HallOrders::default();
    orders.accept(&order("a", Evacuated, 0));
    assert_eq!(orders.accept(&order("b", Evacuated, 0)), OrderVerdict::InForce(2));
    assert_eq!(orders.accept(&order("a", Open, 1)), OrderVerdict::InForce(3));
}

#[test]
fn orders_about_too_many_halls_are_rejected() {
    let mut orders = HallOrders::default();
    for number in 0..MAX_HALLS {
        orders.accept(&order(&format!("h{number}"), Evacuated, orders.newest_number()));
    }
    assert_eq!(orders.accept(&order("one-more", Evacuated, 99)), OrderVerdict::TooManyHalls);
    assert_eq!(orders.accept(&order("h3", Open, 99)), OrderVerdict::InForce(MAX_HALLS as u64 + 1));
}

proptest! {
    /// Merging reported orders in any sequence and with repetitions leaves the newest order of each hall in force.
    #[test]
    fn merging_is_independent_of_order_and_repetition(wanted in proptest::collection::vec((0..3u8, any::<bool>()), 1..20), shuffle in any::<u64>()) {
        let mut reported = Vec::new();
        for (number, (name, evacuated)) in wanted.iter().enumerate() {
            let wanted = if *evacuated { Evacuated } else { Open };
            let number = number as u64 + 1;
            reported.push((hall(&format!("h{name}")), HallOrder { number, wanted, ordered_by: "x".into(), at_millis: 0 }));
        }
        let mut in_order = HallOrders::default();
        for (name, order) in &reported {
            in_order.merge(name, order.clone());
        }
        let mut reordered = reported.clone();
        reordered.extend(reported.iter().take(3).cloned());
        reordered.sort_by_key(|(_, order)| (order.number.wrapping_mul(shuffle | 1)) % 17);
        let mut merged = HallOrders::default();
        for (name, order) in reordered {
            merged.merge(&name, order);
        }
        prop_assert_eq!(in_order, merged);
    }
}
