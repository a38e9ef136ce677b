//! Which dispatcher a router uses.

use micaspool_dispatch::{rank_candidates, CandidateChoice, ChoiceOptions, ChoiceStep};
use micaspool_types::{InstanceName, Moment, ServiceName};

fn names(count: usize) -> Vec<InstanceName> {
    (0..count).map(|number| InstanceName::parse(&format!("entry-{number}")).expect("a name")).collect()
}

fn service(number: usize) -> ServiceName {
    ServiceName::parse(&format!("model-{number}")).expect("a name")
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn every_router_ranks_alike_and_services_are_spread() {
    let mut reversed = names(9);
    reversed.reverse();
    let mut first = std::collections::BTreeMap::new();
    for number in 0..90 {
        let ranked = rank_candidates(&service(number), &names(9));
        assert_eq!(ranked, rank_candidates(&service(number), &reversed));
        *first.entry(ranked[0].clone()).or_insert(0) += 1;
    }
    assert_eq!(first.len(), 9, "each instance comes first for some service");
    assert!(first.values().all(|count| *count < 25), "{first:?}");
}

#[test]
fn losing_an_instance_moves_only_its_services() {
    for number in 0..50 {
        let before = rank_candidates(&service(number), &names(9));
        let after = rank_candidates(&service(number), &names(8));
        if before[0] != names(9)[8] {
            assert_eq!(before[0], after[0]);
        }
    }
}

#[test]
fn the_next_candidate_is_tried_at_once() {
    let mut choice = CandidateChoice::new(3, ChoiceOptions::default());
    assert_eq!(choice.next(at(0)), ChoiceStep::Connect(0));
    choice.failed(at(0), 0);
    assert_eq!(choice.next(at(0)), ChoiceStep::Connect(1));
    choice.failed(at(0), 1);
    choice.failed(at(0), 2);
    assert!(matches!(choice.next(at(0)), ChoiceStep::Wait(_)));
    assert_eq!(choice.next(at(60)), ChoiceStep::Connect(0));
}

#[test]
fn a_router_moves_up_only_after_the_hold_down() {
    let mut choice = CandidateChoice::new(2, ChoiceOptions::default());
    choice.failed(at(0), 0);
    choice.connected(1);
    assert_eq!(choice.next(at(10)), ChoiceStep::Probe(0));
    choice.probed(at(10), 0, true);
    for millis in [510, 1_010, 1_510] {
        assert_eq!(choice.next(at(millis)), ChoiceStep::Probe(0));
        choice.probed(at(millis), 0, true);
    }
    assert_eq!(choice.next(at(2_010)), ChoiceStep::Connect(0));
}

#[test]
fn a_candidate_that_comes_and_goes_does_not_draw_routers_back_and_forth() {
    let mut choice = CandidateChoice::new(2, ChoiceOptions::default());
    choice.failed(at(0), 0);
    choice.connected(1);
    for number in 0..100 {
        let now = at(number * 500);
        assert_eq!(choice.next(now), ChoiceStep::Probe(0));
        choice.probed(now, 0, number % 3 != 0);
    }
    assert_eq!(choice.current(), Some(1));
}

#[test]
fn a_stopping_dispatcher_is_left_without_a_pause_for_the_next() {
    let mut choice = CandidateChoice::new(2, ChoiceOptions::default());
    choice.connected(0);
    choice.left(0);
    assert_eq!(choice.next(at(0)), ChoiceStep::Connect(0));
    choice.failed(at(0), 0);
    assert_eq!(choice.next(at(0)), ChoiceStep::Connect(1));
}
