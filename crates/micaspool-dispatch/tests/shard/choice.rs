//! Which dispatcher a router connects to.

use micaspool_dispatch::{
    rank_candidates, rank_distinct, CandidateChoice, CandidateHealth, CandidateKind, ChoiceOptions,
    ChoiceStep,
};
use micaspool_types::{InstanceName, Moment, ServiceName};

fn names(count: usize) -> Vec<InstanceName> {
    (0..count).map(|number| InstanceName::parse(&format!("entry-{number}")).expect("valid name")).collect()
}

fn service(number: usize) -> ServiceName {
    ServiceName::parse(&format!("model-{number}")).expect("valid name")
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn all_routers_compute_the_same_ranking_and_services_are_spread() {
    let mut reversed = names(9);
    reversed.reverse();
    let mut first = std::collections::BTreeMap::new();
    for number in 0..90 {
        let ranked = rank_candidates(&service(number), &names(9));
        assert_eq!(ranked, rank_candidates(&service(number), &reversed));
        *first.entry(ranked[0].clone()).or_insert(0) += 1;
    }
    assert_eq!(first.len(), 9, "each instance is the first choice of some service");
    assert!(first.values().all(|count| *count < 25), "{first:?}");
}

#[test]
fn services_have_different_first_choices_while_there_are_enough_dispatchers() {
    for number in 0..50 {
        let services = [service(number), service(number + 50), service(number + 100)];
        for count in 3..6 {
            let first: std::collections::BTreeSet<_> =
                services.iter().map(|own| rank_distinct(own, &services, &names(count))[0].clone()).collect();
            assert_eq!(first.len(), 3, "{services:?} at {count} dispatchers");
        }
        let alone = rank_distinct(&services[0], &services, &names(1));
        assert_eq!(alone, names(1), "a single dispatcher serves every service");
        let ranked = rank_distinct(&services[1], &services, &names(5));
        assert_eq!(ranked.len(), 5, "each dispatcher is listed exactly once: {ranked:?}");
    }
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
fn a_router_switches_to_a_higher_ranked_candidate_only_after_the_hold_down() {
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
fn a_flapping_candidate_does_not_attract_routers() {
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
fn a_stopping_dispatcher_is_replaced_without_a_pause() {
    let mut choice = CandidateChoice::new(2, ChoiceOptions::default());
    choice.connected(0);
    choice.left(0);
    assert_eq!(choice.next(at(0)), ChoiceStep::Connect(0));
    choice.failed(at(0), 0);
    assert_eq!(choice.next(at(0)), ChoiceStep::Connect(1));
}

const ANSWERS: CandidateKind = CandidateKind::Observed(CandidateHealth::Answering);
const LOST: CandidateKind = CandidateKind::Observed(CandidateHealth::Lost);
const UNRESPONSIVE: CandidateKind = CandidateKind::Observed(CandidateHealth::Unresponsive);
const PENDING: CandidateKind = CandidateKind::Observed(CandidateHealth::Pending);

/// Four candidates whose reachability another stream reports, then the router's own dispatcher as the last
/// resort.
fn with_last_resort(kinds: [CandidateKind; 4]) -> Vec<CandidateKind> {
    kinds.into_iter().chain([CandidateKind::LastResort]).collect()
}

/// A router connected to the best of five candidates, all of which answer.
fn connected_to_best() -> CandidateChoice {
    let mut choice =
        CandidateChoice::with_kinds(at(0), with_last_resort([ANSWERS; 4]), ChoiceOptions::default());
    choice.connected(0);
    choice
}

/// An update of the same five candidates in the same order.
fn ranked_kinds(kinds: [CandidateKind; 4]) -> Vec<(Option<usize>, CandidateKind)> {
    with_last_resort(kinds).into_iter().enumerate().map(|(rank, kind)| (Some(rank), kind)).collect()
}

/// Returns the candidates that a router connects to, each with its time in milliseconds, when all four
/// dispatchers are lost and become reachable again at the times in `reached`.
fn switches_after_return(router: &str, reached: [u64; 4]) -> Vec<(u64, usize)> {
    let router = InstanceName::parse(router).expect("valid name");
    let options = ChoiceOptions::spread_for(&router);
    let mut choice = CandidateChoice::with_kinds(at(0), with_last_resort([ANSWERS; 4]), options);
    choice.connected(0);
    choice.update(at(0), &ranked_kinds([LOST; 4]));
    choice.failed(at(0), 0);
    let mut switches = Vec::new();
    for millis in (1..6_000).step_by(20) {
        let kinds = reached.map(|moment| if millis >= moment { ANSWERS } else { LOST });
        choice.update(at(millis), &ranked_kinds(kinds));
        if let ChoiceStep::Connect(rank) = choice.next(at(millis)) {
            choice.connected(rank);
            switches.push((millis, rank));
        }
    }
    switches
}

#[test]
fn routers_converge_on_one_dispatcher_after_all_were_lost() {
    let orders: [[u64; 4]; 4] =
        [[300, 0, 100, 400], [500, 450, 100, 0], [0, 200, 200, 400], [250, 500, 0, 300]];
    for number in 0..295 {
        let reached = orders[number % orders.len()].map(|moment| 2_000 + moment);
        let switches = switches_after_return(&format!("entry-{number}"), reached);
        let targets: Vec<usize> = switches.iter().map(|(_, rank)| *rank).collect();
        assert_eq!(targets, [4, 0], "the last resort, then the best candidate: {switches:?}");
        let converged_at = switches[1].0;
        assert!(converged_at <= 4_000, "within two seconds of the first return: {switches:?}");
    }
}

#[test]
fn switches_of_many_routers_are_spread_over_time() {
    let mut by_tenth = std::collections::BTreeMap::new();
    for number in 0..295 {
        let switches = switches_after_return(&format!("entry-{number}"), [2_000; 4]);
        *by_tenth.entry(switches[1].0 / 100).or_insert(0) += 1;
    }
    assert!(by_tenth.values().all(|count| *count <= 295 / 3), "{by_tenth:?}");
}

#[test]
fn a_flapping_best_candidate_does_not_delay_the_switch() {
    let mut choice =
        CandidateChoice::with_kinds(at(0), with_last_resort([LOST; 4]), ChoiceOptions::default());
    assert_eq!(choice.next(at(0)), ChoiceStep::Connect(4));
    choice.connected(4);
    let mut switched = None;
    for millis in (0..5_000).step_by(100) {
        let best = if (millis / 300) % 2 == 0 { ANSWERS } else { LOST };
        choice.update(at(millis), &ranked_kinds([best, LOST, ANSWERS, LOST]));
        if let (None, ChoiceStep::Connect(rank)) = (switched, choice.next(at(millis))) {
            switched = Some((millis, rank));
        }
    }
    let (millis, rank) = switched.expect("the router switches");
    assert_eq!(rank, 2);
    assert!(millis <= 1_300, "{millis}");
}

#[test]
fn a_candidate_that_was_never_lost_is_used_at_once() {
    let mut choice = connected_to_best();
    choice.failed(at(5_000), 0);
    choice.update(at(5_000), &ranked_kinds([LOST, ANSWERS, ANSWERS, ANSWERS]));
    assert_eq!(choice.next(at(5_000)), ChoiceStep::Connect(1));
}

#[test]
fn a_starting_router_waits_briefly_for_the_best_candidate() {
    let mut choice =
        CandidateChoice::with_kinds(at(0), with_last_resort([PENDING; 4]), ChoiceOptions::default());
    choice.update(at(20), &ranked_kinds([PENDING, PENDING, ANSWERS, PENDING]));
    assert!(matches!(choice.next(at(20)), ChoiceStep::Wait(_)));
    choice.update(at(40), &ranked_kinds([ANSWERS, PENDING, ANSWERS, PENDING]));
    assert_eq!(choice.next(at(40)), ChoiceStep::Connect(0));
    choice.update(at(40), &ranked_kinds([PENDING, PENDING, ANSWERS, PENDING]));
    assert_eq!(choice.next(at(320)), ChoiceStep::Connect(2), "the wait is limited");
}

#[test]
fn reordered_candidates_keep_the_stream_and_their_history() {
    let mut choice =
        CandidateChoice::with_kinds(at(0), with_last_resort([ANSWERS; 4]), ChoiceOptions::default());
    choice.connected(1);
    let swapped = [(Some(2), ANSWERS), (Some(1), ANSWERS), (Some(0), ANSWERS), (Some(3), ANSWERS)];
    choice.update(at(1_500), &swapped);
    assert_eq!(choice.current(), Some(1));
    assert!(matches!(choice.next(at(1_500)), ChoiceStep::Wait(_)));
    assert_eq!(
        choice.next(at(2_000)),
        ChoiceStep::Connect(0),
        "candidate 0 has answered for the hold-down time"
    );
}

#[test]
fn a_stream_survives_a_short_loss_reported_by_another_stream() {
    let mut choice = connected_to_best();
    choice.update(at(1_000), &ranked_kinds([LOST, ANSWERS, ANSWERS, ANSWERS]));
    assert!(!choice.has_lost_current(at(1_400)));
    assert!(choice.has_lost_current(at(1_500)));
    choice.update(at(1_450), &ranked_kinds([ANSWERS; 4]));
    assert!(!choice.has_lost_current(at(1_500)));
}

#[test]
fn routers_do_not_scatter_while_other_dispatchers_are_unresponsive_but_not_lost() {
    let mut choice = connected_to_best();
    choice.update(at(900), &ranked_kinds([UNRESPONSIVE; 4]));
    choice.failed(at(900), 0);
    assert_eq!(choice.next(at(900)), ChoiceStep::Connect(4));
    choice.connected(4);
    choice.update(at(1_300), &ranked_kinds([LOST, UNRESPONSIVE, LOST, LOST]));
    assert!(matches!(choice.next(at(1_300)), ChoiceStep::Wait(_)));
    choice.update(at(2_000), &ranked_kinds([ANSWERS, LOST, ANSWERS, LOST]));
    assert!(matches!(choice.next(at(2_100)), ChoiceStep::Wait(_)));
    assert_eq!(choice.next(at(2_600)), ChoiceStep::Connect(0));
}

#[test]
fn an_unresponsive_dispatcher_keeps_its_routers() {
    let mut choice = connected_to_best();
    choice.update(at(5_000), &ranked_kinds([UNRESPONSIVE, ANSWERS, ANSWERS, ANSWERS]));
    assert!(!choice.has_lost_current(at(9_000)));
    assert_eq!(choice.current(), Some(0));
}
