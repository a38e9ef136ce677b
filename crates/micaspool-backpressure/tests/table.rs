//! Applying, querying and expiring advice.

use micaspool_backpressure::{AdviceChange, AdviceSource, AdviceTable, EndpointStanding, SharedAdvice};
use micaspool_types::{EndpointAdvice, EndpointName, Moment, ServiceName};
use proptest::prelude::*;
use std::time::Duration;

fn name(number: u8) -> EndpointName {
    EndpointName::parse(&format!("e{number}")).expect("a name")
}

fn service(name: &str) -> ServiceName {
    ServiceName::parse(name).expect("a name")
}

fn rest(millis: u64) -> EndpointAdvice {
    EndpointAdvice { rest: Duration::from_millis(millis), leaving: false }
}

const LEAVING: EndpointAdvice = EndpointAdvice { rest: Duration::ZERO, leaving: true };

#[test]
fn a_rest_begins_is_prolonged_and_ends() {
    let mut table = AdviceTable::default();
    let at = Moment::from_millis;
    let mut apply = |now, advice| table.apply(at(now), &name(1), &service("plain"), advice);
    assert_eq!(apply(0, rest(0)), AdviceChange::Unchanged);
    assert_eq!(apply(0, rest(1_000)), AdviceChange::Began);
    assert_eq!(apply(500, rest(200)), AdviceChange::Unchanged);
    assert_eq!(apply(500, rest(1_000)), AdviceChange::Prolonged);
    let standing = |table: &AdviceTable, now| table.standing(at(now), &name(1));
    assert_eq!(standing(&table, 1_200), EndpointStanding::Resting(Duration::from_millis(300)));
    assert_eq!(standing(&table, 1_500), EndpointStanding::Open);
    assert!(table.expire(at(1_499)).is_empty());
    let ended = table.expire(at(1_500));
    assert_eq!((ended[0].lasted, ended[0].advice_count), (Duration::from_millis(1_500), 2));
    assert!(table.is_empty());
}

#[test]
fn leaving_outlasts_rests_and_expires_after_its_retention() {
    let mut table = AdviceTable::default();
    let at = Moment::from_millis;
    assert_eq!(table.apply(at(0), &name(1), &service("plain"), LEAVING), AdviceChange::LeavingAnnounced);
    assert_eq!(table.apply(at(1), &name(1), &service("plain"), LEAVING), AdviceChange::Unchanged);
    assert_eq!(table.apply(at(2), &name(1), &service("plain"), rest(10)), AdviceChange::Began);
    assert_eq!(table.standing(at(300_000), &name(1)), EndpointStanding::Leaving);
    assert_eq!(
        table.standing(at(300_000), &name(2)),
        EndpointStanding::Open,
        "another start of the endpoint is unaffected"
    );
    table.expire(at(700_000));
    assert!(table.is_empty());
}

#[test]
fn records_cover_only_the_requested_service() {
    let mut table = AdviceTable::default();
    let now = Moment::from_millis(5);
    table.apply(now, &name(2), &service("plain"), rest(1_000));
    table.apply(now, &name(1), &service("plain"), LEAVING);
    table.apply(now, &name(3), &service("engines"), rest(1_000));
    let records = table.records(Moment::from_millis(405), &service("plain"));
    let advices: Vec<_> = records.iter().map(|record| (record.endpoint.clone(), record.advice)).collect();
    assert_eq!(advices, [(name(1), LEAVING), (name(2), rest(600))]);
    assert_eq!(table.counts(now), (2, 1));
}

#[test]
fn shared_advice_returns_only_changes() {
    let shared = SharedAdvice::new();
    let (endpoint, service) = (name(1), service("plain"));
    let source = AdviceSource { endpoint: &endpoint, service: &service, request: "r" };
    assert!(shared.may_send(&endpoint));
    assert_eq!(shared.apply(source, EndpointAdvice::default()), None);
    let record = shared.apply(source, rest(60_000)).expect("a rest begins");
    assert!(record.advice.rest > Duration::from_secs(59), "{record:?}");
    assert!(!shared.may_send(&endpoint));
    assert_eq!(shared.apply(source, rest(10)), None);
    assert!(shared.apply(source, LEAVING).expect("it leaves").advice.leaving);
    assert_eq!(shared.records(&service).len(), 1);
}

proptest! {
    /// Whatever rests are requested, in whatever order, the endpoint opens exactly at the latest requested end.
    #[test]
    fn the_latest_requested_end_holds(advices in prop::collection::vec((0u64..200, 0u64..3_000), 1..20)) {
        let mut table = AdviceTable::default();
        let mut now = 0;
        let mut latest = 0;
        for (gap, millis) in advices {
            now += gap;
            if now >= latest {
                table.expire(Moment::from_millis(now));
            }
            table.apply(Moment::from_millis(now), &name(1), &service("plain"), rest(millis));
            latest = latest.max(now + millis);
            let standing = table.standing(Moment::from_millis(now), &name(1));
            prop_assert_eq!(standing.is_open(), now >= latest);
        }
        prop_assert!(latest == now || !table.standing(Moment::from_millis(latest - 1), &name(1)).is_open());
        prop_assert!(table.standing(Moment::from_millis(latest), &name(1)).is_open());
    }
}
