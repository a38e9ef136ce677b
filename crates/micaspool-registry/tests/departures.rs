//! The departures that keepers remember.

use micaspool_registry::{ConfirmedDepartures, DepartureCommand, EndpointRecord, EndpointStage};
use micaspool_types::{EndpointName, HallName, Incarnation, ServiceName, SoftwareVersion};
use std::time::Duration;
use test_case::test_case;

/// How long a departure is remembered, in milliseconds.
const RETENTION_MILLIS: u64 = 120_000;

fn command(name: &str, stage: EndpointStage, at_millis: u64) -> DepartureCommand {
    let record = EndpointRecord {
        name: EndpointName::parse(name).expect("a name"),
        identity: EndpointName::parse(name).expect("a name"),
        incarnation: Incarnation(0),
        service: ServiceName::parse("model").expect("a name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: HallName::parse("a").expect("a name"),
        version: SoftwareVersion::default(),
        slots: 4,
        stage,
        sequence: 1,
        cold: Duration::ZERO,
    };
    DepartureCommand { record, at_millis }
}

fn stages(departures: &ConfirmedDepartures) -> Vec<(String, EndpointStage)> {
    departures.iter().map(|record| (record.name.to_string(), record.stage)).collect()
}

#[test_case(&[EndpointStage::Draining] => Some(EndpointStage::Draining); "a drain")]
#[test_case(&[EndpointStage::Draining, EndpointStage::Left] => Some(EndpointStage::Left); "an end after a drain")]
#[test_case(&[EndpointStage::Left, EndpointStage::Draining] => Some(EndpointStage::Left); "a drain that comes late")]
#[test_case(&[EndpointStage::Left, EndpointStage::Serving] => Some(EndpointStage::Left); "no way back")]
#[test_case(&[EndpointStage::Serving] => None; "no departure")]
fn a_departure_only_moves_forward(announced: &[EndpointStage]) -> Option<EndpointStage> {
    let mut departures = ConfirmedDepartures::default();
    announced.iter().for_each(|stage| departures.accept(&command("e-1", *stage, 5)));
    stages(&departures).pop().map(|(_, stage)| stage)
}

#[test]
fn departures_are_forgotten_by_the_time_of_the_log() {
    let mut departures = ConfirmedDepartures::default();
    departures.accept(&command("e-1", EndpointStage::Left, 1_000));
    // Another leader's clock is behind.
    departures.accept(&command("e-2", EndpointStage::Left, 10));
    departures.accept(&command("e-3", EndpointStage::Left, 1_000 + RETENTION_MILLIS));
    assert_eq!(stages(&departures).len(), 3);
    departures.accept(&command("e-4", EndpointStage::Left, 1_001 + RETENTION_MILLIS));
    let names: Vec<String> = stages(&departures).into_iter().map(|(name, _)| name).collect();
    assert_eq!(names, ["e-3", "e-4"]);
}

/// Guards against a state that grows with the endpoints that left at once.
#[test]
fn the_oldest_departures_give_way() {
    let mut departures = ConfirmedDepartures::default();
    for number in 0..20_000 {
        departures.accept(&command(&format!("e-{number}"), EndpointStage::Left, number));
    }
    assert_eq!(departures.iter().count(), 16_384);
    assert!(departures.iter().all(|record| record.name.as_str() != "e-3615"));
    assert!(departures.iter().any(|record| record.name.as_str() == "e-3616"));
}
