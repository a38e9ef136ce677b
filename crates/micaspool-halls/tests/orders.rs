//! What orders come to, however late, often and crossed they come.

use micaspool_halls::{HallOrder, HallOrders, HallUse, OrderCommand, OrderVerdict};
use micaspool_types::{HallName, MAX_HALLS};
use proptest::prelude::*;
use test_case::test_case;

use HallUse::{Evacuated, Open};

fn hall(name: &str) -> HallName {
    HallName::parse(name).expect("a name")
}

fn order(name: &str, wanted: HallUse, known: u64) -> OrderCommand {
    OrderCommand { hall: hall(name), wanted, known, ordered_by: "operator".into(), at_millis: 5 }
}

#[test]
fn an_order_holds_and_is_confirmed_again() {
    let mut orders = HallOrders::default();
    assert_eq!(orders.accept(&order("a", Evacuated, 0)), OrderVerdict::InForce(1));
    assert_eq!(orders.accept(&order("a", Evacuated, 0)), OrderVerdict::InForce(1), "sent again");
    assert!(orders.is_evacuated(&hall("a")) && !orders.is_evacuated(&hall("b")));
    assert_eq!((orders.newest(), orders.evacuated()), (1, 1));
}

#[test]
fn a_hall_that_was_never_evacuated_is_taken_back_without_a_change() {
    let mut orders = HallOrders::default();
    assert_eq!(orders.accept(&order("a", Open, 0)), OrderVerdict::InForce(0));
    assert_eq!(orders.newest(), 0);
}

/// An order was held up at a keeper while its sender sent it again and then ordered the contrary.
#[test_case(Evacuated, Open; "an evacuation does not come back")]
#[test_case(Open, Evacuated; "a return does not come back")]
fn an_order_that_was_held_up_takes_nothing_back(first: HallUse, then: HallUse) {
    let mut orders = HallOrders::default();
    if first == Open {
        orders.accept(&order("a", Evacuated, 0));
    }
    let known = orders.newest();
    let held_up = order("a", first, known);
    assert_eq!(orders.accept(&order("a", first, known)), OrderVerdict::InForce(known + 1));
    assert_eq!(orders.accept(&order("a", then, known + 1)), OrderVerdict::InForce(known + 2));
    assert_eq!(orders.accept(&held_up), OrderVerdict::Overtaken(known + 2));
    assert_eq!(orders.use_of(&hall("a")), then);
}

#[test]
fn orders_about_another_hall_do_not_overtake() {
    let mut orders = HallOrders::default();
    orders.accept(&order("a", Evacuated, 0));
    assert_eq!(orders.accept(&order("b", Evacuated, 0)), OrderVerdict::InForce(2));
    assert_eq!(orders.accept(&order("a", Open, 1)), OrderVerdict::InForce(3));
}

#[test]
fn halls_are_as_many_as_a_fleet_has() {
    let mut orders = HallOrders::default();
    for number in 0..MAX_HALLS {
        orders.accept(&order(&format!("h{number}"), Evacuated, orders.newest()));
    }
    assert_eq!(orders.accept(&order("one-more", Evacuated, 99)), OrderVerdict::TooManyHalls);
    assert_eq!(orders.accept(&order("h3", Open, 99)), OrderVerdict::InForce(MAX_HALLS as u64 + 1));
}

proptest! {
    /// Whatever order keepers' news come in, and however often, the newest order about each hall holds.
    #[test]
    fn news_merge_in_any_order(wanted in proptest::collection::vec((0..3u8, any::<bool>()), 1..20), shuffle in any::<u64>()) {
        let mut told = Vec::new();
        for (number, (name, evacuated)) in wanted.iter().enumerate() {
            let wanted = if *evacuated { Evacuated } else { Open };
            let number = number as u64 + 1;
            told.push((hall(&format!("h{name}")), HallOrder { number, wanted, ordered_by: "x".into(), at_millis: 0 }));
        }
        let mut straight = HallOrders::default();
        for (name, order) in &told {
            straight.merge(name, order.clone());
        }
        let mut crossed = told.clone();
        crossed.extend(told.iter().take(3).cloned());
        crossed.sort_by_key(|(_, order)| (order.number.wrapping_mul(shuffle | 1)) % 17);
        let mut merged = HallOrders::default();
        for (name, order) in crossed {
            merged.merge(&name, order);
        }
        prop_assert_eq!(straight, merged);
    }
}
