//! Records that arrive late, out of order, or after a restart or deregistration.

use micaspool_registry::{EndpointRecord, EndpointRegistry, EndpointStage, MergeOutcome};
use micaspool_types::{EndpointName, HallName, Incarnation, Moment, ServiceName, SoftwareVersion};
use proptest::prelude::*;
use std::time::Duration;
use test_case::test_case;

fn record(sequence: u64, stage: EndpointStage) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::parse("e-1").expect("a name"),
        identity: EndpointName::parse("e-1").expect("a name"),
        incarnation: Incarnation(0),
        service: ServiceName::parse("model").expect("a name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: HallName::parse("a").expect("a name"),
        slots: 4,
        stage,
        sequence,
        cold: Duration::ZERO,
        version: SoftwareVersion::default(),
    }
}

#[test_case(EndpointStage::Serving, 2, EndpointStage::Serving, 1 => MergeOutcome::Stale; "late record")]
#[test_case(EndpointStage::Serving, 2, EndpointStage::Serving, 3 => MergeOutcome::Refreshed; "next record")]
#[test_case(EndpointStage::Serving, 2, EndpointStage::Draining, 3 => MergeOutcome::Changed; "drain")]
#[test_case(EndpointStage::Draining, 3, EndpointStage::Serving, 2 => MergeOutcome::Stale; "late serving after drain")]
#[test_case(EndpointStage::Draining, 3, EndpointStage::Serving, 4 => MergeOutcome::Stale; "a drain is final")]
#[test_case(EndpointStage::Left, 0, EndpointStage::Serving, 9 => MergeOutcome::Stale; "a deregistration is final")]
fn the_outcome_of_a_second_record_depends_on_stage_and_sequence(
    first: EndpointStage,
    at: u64,
    second: EndpointStage,
    next: u64,
) -> MergeOutcome {
    let mut registry = EndpointRegistry::default();
    registry.merge(Moment(0), record(at, first));
    registry.merge(Moment(1), record(next, second))
}

#[test]
fn merging_is_independent_of_order() {
    let records = [
        record(1, EndpointStage::Serving),
        record(2, EndpointStage::Draining),
        record(3, EndpointStage::Draining),
    ];
    let merged = |order: [usize; 3]| {
        let mut registry = EndpointRegistry::default();
        for index in order {
            registry.merge(Moment(0), records[index].clone());
        }
        registry.get(&records[0].name).cloned()
    };
    let orders = [[0, 1, 2], [2, 1, 0], [1, 0, 2], [2, 0, 1], [0, 2, 1], [1, 2, 0]];
    assert!(orders.iter().all(|order| merged(*order) == merged([0, 1, 2])));
}

#[test]
fn a_silent_endpoint_is_removed_and_one_that_left_is_remembered() {
    let mut registry = EndpointRegistry::default();
    let name = record(1, EndpointStage::Serving).name;
    registry.merge(Moment(0), record(1, EndpointStage::Serving));
    assert!(registry.expire(Moment::from_millis(9_000), Duration::from_secs(8)));
    assert!(registry.get(&name).is_none());
    registry.merge(Moment(0), record(1, EndpointStage::Serving));
    assert!(registry.merge(Moment(0), record(1, EndpointStage::Left)).is_change());
    assert!(!registry.expire(Moment::from_millis(9_000), Duration::from_secs(8)));
    assert_eq!(registry.merge(Moment(1), record(2, EndpointStage::Serving)), MergeOutcome::Stale);
}

/// A record of the start with this incarnation number.
fn started(number: u64, sequence: u64, stage: EndpointStage) -> EndpointRecord {
    let name = EndpointName::parse(&format!("e-1.{number}")).expect("a name");
    EndpointRecord { name, incarnation: Incarnation(number), ..record(sequence, stage) }
}

/// A restarted endpoint counts its records from one again, and the records of its previous start no longer count.
#[test_case(EndpointStage::Serving; "after a crash")]
#[test_case(EndpointStage::Draining; "while it drained")]
#[test_case(EndpointStage::Left; "after it left")]
fn a_later_start_replaces_the_previous_one(before: EndpointStage) {
    let mut registry = EndpointRegistry::default();
    registry.merge(Moment(0), started(100, 900, before));
    let again = started(200, 1, EndpointStage::Serving);
    assert_eq!(registry.merge(Moment(1), again.clone()), MergeOutcome::Restarted);
    assert_eq!(registry.iter().collect::<Vec<_>>(), vec![&again]);
    assert!(registry.get(&started(100, 900, before).name).is_none());
}

/// Records delayed by a network partition arrive after the endpoint has restarted, and again after its newest start was
/// removed.
#[test_case(EndpointStage::Serving)]
#[test_case(EndpointStage::Draining)]
#[test_case(EndpointStage::Left)]
fn a_late_record_of_an_earlier_start_is_ignored(late: EndpointStage) {
    let mut registry = EndpointRegistry::default();
    let newest = started(200, 1, EndpointStage::Serving);
    registry.merge(Moment(0), newest.clone());
    assert_eq!(registry.merge(Moment::from_millis(7_000), started(100, 900, late)), MergeOutcome::Stale);
    assert_eq!(registry.iter().collect::<Vec<_>>(), vec![&newest]);
    let now = Moment::from_millis(9_000);
    assert!(registry.expire(now, Duration::from_secs(8)), "the late record did not refresh the newest start");
    assert_eq!(registry.merge(now, started(100, 901, late)), MergeOutcome::Stale);
    assert_eq!(registry.iter().count(), 0);
}

/// A record without an incarnation, such as one from another client, must not end an endpoint that reports its starts.
#[test]
fn a_record_without_an_incarnation_is_older_than_any_with_one() {
    let mut registry = EndpointRegistry::default();
    registry.merge(Moment(0), started(200, 1, EndpointStage::Serving));
    assert_eq!(registry.merge(Moment(1), record(900, EndpointStage::Draining)), MergeOutcome::Stale);
}

#[test]
fn leaving_marks_the_newest_start() {
    let mut registry = EndpointRegistry::default();
    registry.merge(Moment(0), started(100, 9, EndpointStage::Serving));
    registry.merge(Moment(1), started(200, 1, EndpointStage::Serving));
    let identity = record(0, EndpointStage::Serving).identity;
    let newest = registry.newest(&identity).cloned().expect("a start is known");
    assert_eq!(newest.name, started(200, 1, EndpointStage::Left).name);
    let left = EndpointRecord { stage: EndpointStage::Left, ..newest };
    assert!(registry.merge(Moment(2), left).is_change());
    assert_eq!(registry.newest(&identity).map(|record| record.stage), Some(EndpointStage::Left));
}

fn any_record() -> impl Strategy<Value = EndpointRecord> {
    let stages =
        prop_oneof![Just(EndpointStage::Serving), Just(EndpointStage::Draining), Just(EndpointStage::Left)];
    (0_u64..4, 1_u64..6, stages).prop_map(|(incarnation, sequence, stage)| match incarnation {
        0 => record(sequence, stage),
        _ => started(incarnation, sequence, stage),
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The result of merging the same records does not depend on the order in which they arrive.
    #[test]
    fn the_order_of_records_does_not_matter(
        (records, shuffled) in proptest::collection::vec(any_record(), 1..12)
            .prop_flat_map(|records| (Just(records.clone()), Just(records).prop_shuffle())),
    ) {
        let merged = |records: &[EndpointRecord]| {
            let mut registry = EndpointRegistry::default();
            for record in records {
                registry.merge(Moment(0), record.clone());
            }
            registry.iter().cloned().collect::<Vec<_>>()
        };
        prop_assert_eq!(merged(&records), merged(&shuffled));
    }
}

fn cold(sequence: u64, millis: u64) -> EndpointRecord {
    EndpointRecord { cold: Duration::from_millis(millis), ..record(sequence, EndpointStage::Serving) }
}

/// A cold endpoint sends a heartbeat each second with the remaining cold time. They arrive with jitter; only those that
/// differ noticeably from what is expected may count as changes.
#[test_case(1_000, 2_000, MergeOutcome::Refreshed; "as expected")]
#[test_case(1_200, 2_000, MergeOutcome::Refreshed; "as expected, a little late")]
#[test_case(1_000, 0, MergeOutcome::Changed; "warm much earlier")]
#[test_case(1_000, 3_000, MergeOutcome::Changed; "cold again")]
fn a_changed_end_of_the_cold_phase_counts_as_a_change(after: u64, left: u64, expected: MergeOutcome) {
    let mut registry = EndpointRegistry::default();
    let start = Moment::from_millis(10_000);
    registry.merge(start, cold(1, 3_000));
    let later = start + Duration::from_millis(after);
    assert_eq!(registry.merge(later, cold(2, left)), expected);
    assert_eq!(registry.remaining_cold(later, &cold(1, 0).name), Duration::from_millis(left));
}

/// The cold phase ends by the receiver's clock without another record, and is passed on as the remaining time.
#[test]
fn the_cold_phase_ends_without_another_record() {
    let mut registry = EndpointRegistry::default();
    let start = Moment::from_millis(10_000);
    registry.merge(start, cold(1, 3_000));
    let name = cold(1, 0).name;
    let left =
        |millis: u64| registry.remaining_cold(start + Duration::from_millis(millis), &name).as_millis();
    assert_eq!([left(0), left(1_000), left(2_999), left(3_000), left(9_000)], [3_000, 2_000, 1, 0, 0]);
    let known = registry.get(&name).expect("the record is known");
    let refreshed = registry.with_remaining_cold(start + Duration::from_millis(1_000), known);
    assert_eq!(refreshed.cold, Duration::from_millis(2_000));
}

/// A record that was overtaken by a newer one must not change the cold phase.
#[test]
fn an_older_record_does_not_change_the_cold_phase() {
    let mut registry = EndpointRegistry::default();
    let start = Moment::from_millis(10_000);
    registry.merge(start, cold(5, 0));
    assert_eq!(registry.merge(start, cold(4, 3_000)), MergeOutcome::Stale);
    assert_eq!(registry.remaining_cold(start, &cold(1, 0).name), Duration::ZERO);
}
