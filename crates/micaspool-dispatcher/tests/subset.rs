//! Which engines a dispatcher inside a router selects.

use micaspool_dispatcher::EngineSubset;
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_types::{EndpointName, HallName, Incarnation, InstanceName, ServiceName, SoftwareVersion};
use std::collections::BTreeMap;
use std::time::Duration;

const HALLS: usize = 4;

fn hall(number: usize) -> HallName {
    HallName::parse(&format!("hall-{number}")).expect("the name is valid")
}

fn engine(number: usize) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::parse(&format!("engine-{number}")).expect("the name is valid"),
        identity: EndpointName::parse(&format!("engine-{number}")).expect("the name is valid"),
        incarnation: Incarnation(0),
        service: ServiceName::parse("model").expect("the name is valid"),
        address: ([127, 0, 0, 1], 1).into(),
        hall: hall(number % HALLS),
        slots: 48,
        stage: EndpointStage::Serving,
        sequence: 1,
        cold: Duration::ZERO,
        version: SoftwareVersion::default(),
    }
}

fn router(number: usize) -> EngineSubset {
    let instance = InstanceName::parse(&format!("router-{number}")).expect("the name is valid");
    EngineSubset { instance, hall: hall(number % HALLS) }
}

fn names(engines: Vec<EndpointRecord>) -> Vec<EndpointName> {
    engines.into_iter().map(|engine| engine.name).collect()
}

#[test]
fn a_small_site_uses_all_engines() {
    assert_eq!(router(1).choose((0..9).map(engine).collect()).len(), 9);
}

#[test]
fn routers_choose_engines_of_their_own_hall_evenly() {
    let mut users: BTreeMap<EndpointName, usize> = BTreeMap::new();
    for number in 0..55 {
        let chosen = router(number).choose((0..90).map(engine).collect());
        assert_eq!(chosen.len(), 12);
        assert!(chosen.iter().all(|engine| engine.hall == hall(number % HALLS)));
        for name in names(chosen) {
            *users.entry(name).or_default() += 1;
        }
    }
    assert!(users.len() >= 85, "only {} of 90 engines are used", users.len());
    let most = users.values().max().copied().unwrap_or_default();
    assert!(most <= 14, "an engine is used by {most} routers; the mean is 7");
}

#[test]
fn a_removed_engine_is_replaced_by_one_other() {
    let before = names(router(3).choose((0..90).map(engine).collect()));
    let remains = |engine: &EndpointRecord| engine.name != before[0];
    let after = names(router(3).choose((0..90).map(engine).filter(remains).collect()));
    assert_eq!(after.iter().filter(|name| before.contains(name)).count(), 11);
}

#[test]
fn engines_of_other_halls_fill_the_subset_and_leaving_ones_are_skipped() {
    let mut engines: Vec<EndpointRecord> = (0..16).map(engine).collect();
    let leaving = engines[0].name.clone();
    engines[0].stage = EndpointStage::Draining;
    let chosen = names(router(0).choose(engines));
    assert_eq!(chosen.len(), 12);
    assert!(!chosen.contains(&leaving));
}
