//! Records that come late, twice, or after a farewell.

use micaspool_registry::{EndpointRecord, EndpointRegistry, EndpointStage, MergeOutcome};
use micaspool_types::{EndpointName, HallName, Moment, ServiceName};
use std::time::Duration;
use test_case::test_case;

fn record(sequence: u64, stage: EndpointStage) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::parse("e-1").expect("a name"),
        service: ServiceName::parse("model").expect("a name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: HallName::parse("a").expect("a name"),
        slots: 4,
        stage,
        sequence,
    }
}

#[test_case(EndpointStage::Serving, 2, EndpointStage::Serving, 1 => MergeOutcome::Stale; "late record")]
#[test_case(EndpointStage::Serving, 2, EndpointStage::Serving, 3 => MergeOutcome::Refreshed; "next record")]
#[test_case(EndpointStage::Serving, 2, EndpointStage::Draining, 3 => MergeOutcome::Changed; "drain")]
#[test_case(EndpointStage::Draining, 3, EndpointStage::Serving, 2 => MergeOutcome::Stale; "late serving after drain")]
#[test_case(EndpointStage::Draining, 3, EndpointStage::Serving, 4 => MergeOutcome::Stale; "a drain is not taken back")]
#[test_case(EndpointStage::Left, 0, EndpointStage::Serving, 9 => MergeOutcome::Stale; "a farewell is final")]
fn a_second_record(first: EndpointStage, at: u64, second: EndpointStage, next: u64) -> MergeOutcome {
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
fn a_silent_endpoint_is_forgotten_and_one_that_left_is_remembered() {
    let mut registry = EndpointRegistry::default();
    let name = record(1, EndpointStage::Serving).name;
    registry.merge(Moment(0), record(1, EndpointStage::Serving));
    assert!(registry.expire(Moment::from_millis(9_000), Duration::from_secs(8)));
    assert!(registry.get(&name).is_none());
    registry.merge(Moment(0), record(1, EndpointStage::Serving));
    assert!(registry.leave(Moment(0), &name));
    assert!(!registry.expire(Moment::from_millis(9_000), Duration::from_secs(8)));
    assert_eq!(registry.merge(Moment(1), record(2, EndpointStage::Serving)), MergeOutcome::Stale);
}
