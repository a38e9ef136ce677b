//! Tests of accounts, cost estimates, ranks and the fairness gap.

use micaspool_fair::{
    policy_named, CostEstimator, CustomerIndex, GapMeter, HeadTicket, Rank, RankIndex, ServiceAccount,
    ServiceLevel, LEVEL_SCALE, POLICY_NAMES,
};
use micaspool_types::{Cost, HallMask, OrderNumber, Weight};
use proptest::prelude::*;
use test_case::test_case;

fn weight(value: u32) -> Weight {
    Weight::new(value).expect("weight is positive")
}

#[test_case("progress", 100 + 10; "a tenth of the remaining cost is charged in advance")]
#[test_case("estimate", 200; "the whole estimate is charged in advance")]
#[test_case("hint", 200; "the estimate is charged at the grant")]
#[test_case("settled", 0; "nothing is charged before the end")]
#[test_case("rounds", 1; "one request is counted")]
fn a_running_request_is_charged_by_its_policy(policy: &str, units: u64) {
    let policy = policy_named(policy).expect("known policy");
    let mut account = ServiceAccount::new(Weight::ONE);
    account.charge_grant(Cost(200));
    account.charge_progress(Cost(200), Cost(0), Cost(100));
    assert_eq!(policy.level(&account), ServiceLevel(units * LEVEL_SCALE));
}

#[test]
fn every_policy_name_resolves_to_its_policy() {
    for name in POLICY_NAMES {
        assert_eq!(policy_named(name).expect("known policy").name(), *name);
    }
    assert!(policy_named("other").is_none());
}

#[test]
fn arrival_order_ranks_by_arrival() {
    let policy = policy_named("arrival").expect("known policy");
    let account = ServiceAccount::new(Weight::ONE);
    assert_eq!(policy.rank(&account, HeadTicket { order: OrderNumber(7) }), Rank(7));
}

#[test]
fn a_revoked_grant_leaves_no_charge() {
    let policy = policy_named("estimate").expect("known policy");
    let mut account = ServiceAccount::new(weight(2));
    account.charge_grant(Cost(50));
    account.charge_progress(Cost(50), Cost(0), Cost(20));
    account.revoke_grant(Cost(50), Cost(20));
    assert_eq!(policy.level(&account), ServiceLevel(0));
    assert_eq!(account.granted_count(), 0);
}

#[test]
fn a_lift_raises_a_level_but_never_lowers_it() {
    let policy = policy_named("settled").expect("known policy");
    let mut account = ServiceAccount::new(Weight::ONE);
    account.charge_grant(Cost(5));
    account.charge_end(Cost(5), Cost(0), Cost(5));
    let level = policy.level(&account);
    account.lift(level, ServiceLevel(3 * LEVEL_SCALE));
    assert_eq!(account.base(), ServiceLevel(0));
    account.lift(level, ServiceLevel(9 * LEVEL_SCALE));
    assert_eq!(account.base().saturating_add(level), ServiceLevel(9 * LEVEL_SCALE));
}

#[test]
fn estimates_follow_actual_costs() {
    let mut estimator = CostEstimator::new(Cost(1_000));
    assert_eq!(estimator.predict(Cost(40)), Cost(40));
    for _ in 0..50 {
        estimator.learn(Cost(100), Cost(25));
    }
    let prediction = estimator.predict(Cost(100)).0;
    assert!((23..=27).contains(&prediction), "{prediction}");
    assert_eq!(estimator.predict(Cost(u64::MAX)), Cost(1_000));
    assert!((23..=27).contains(&estimator.predict(Cost(0)).0));
}

#[test]
fn the_index_offers_customers_in_rank_order_over_all_usable_halls() {
    let mut index = RankIndex::default();
    for (halls, rank, customer) in [(0b01, 5, 1), (0b10, 3, 2), (0b11, 4, 3), (0b10, 1, 4)] {
        index.insert(HallMask(halls), Rank(rank), CustomerIndex(customer));
    }
    let mut seen = Vec::new();
    let none: Option<()> = index.find(HallMask(0b10), |customer| {
        seen.push(customer.0);
        None
    });
    assert!(none.is_none());
    assert_eq!(seen, vec![4, 2, 3]);
    index.remove(HallMask(0b10), Rank(1), CustomerIndex(4));
    assert_eq!(index.lowest_rank(HallMask(0b11)), Some(Rank(3)));
}

#[test]
fn the_gap_counts_only_service_while_both_customers_wait() {
    let mut meter =
        GapMeter::new(&[(weight(1), HallMask(1)), (weight(2), HallMask(1)), (weight(1), HallMask(2))]);
    meter.record_service(0, Cost(1_000));
    meter.set_waiting(0, true);
    meter.set_waiting(1, true);
    meter.set_waiting(2, true);
    meter.record_service(0, Cost(10));
    meter.record_service(1, Cost(60));
    meter.record_service(2, Cost(5_000));
    assert_eq!(meter.report().largest, 30.0);
    meter.set_waiting(1, false);
    meter.record_service(0, Cost(500));
    meter.set_waiting(1, true);
    meter.record_service(1, Cost(4));
    assert_eq!(meter.report().largest, 30.0);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn charges_of_a_request_add_up_to_its_cost(
        estimate in 1u64..1_000,
        steps in proptest::collection::vec(1u64..100, 0..10),
        cost in 1u64..2_000,
    ) {
        let policy = policy_named("progress").expect("known policy");
        let mut account = ServiceAccount::new(Weight::ONE);
        account.charge_grant(Cost(estimate));
        let mut delivered = 0;
        for step in steps {
            account.charge_progress(Cost(estimate), Cost(delivered), Cost(delivered + step));
            delivered += step;
        }
        account.charge_end(Cost(estimate), Cost(delivered), Cost(cost));
        prop_assert_eq!(policy.level(&account), ServiceLevel(cost * LEVEL_SCALE));
    }
}
