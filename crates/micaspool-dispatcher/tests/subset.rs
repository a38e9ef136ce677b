//! The engines that routers use while each orders its own requests.

use micaspool_dispatcher::EngineSubset;
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_types::{EndpointName, HallName, Incarnation, InstanceName, ServiceName};
use std::collections::BTreeMap;
use std::time::Duration;

const HALLS: usize = 4;

fn hall(number: usize) -> HallName {
    HallName::parse(&format!("hall-{number}")).expect("a name")
}

fn engine(number: usize) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::parse(&format!("engine-{number}")).expect("a name"),
        identity: EndpointName::parse(&format!("engine-{number}")).expect("a name"),
        incarnation: Incarnation(0),
        service: ServiceName::parse("model").expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
        hall: hall(number % HALLS),
        slots: 48,
        stage: EndpointStage::Serving,
        sequence: 1,
        cold: Duration::ZERO,
    }
}

fn router(number: usize) -> EngineSubset {
    let instance = InstanceName::parse(&format!("router-{number}")).expect("a name");
    EngineSubset { instance, hall: hall(number % HALLS) }
}

fn names(engines: Vec<EndpointRecord>) -> Vec<EndpointName> {
    engines.into_iter().map(|engine| engine.name).collect()
}

#[test]
fn a_small_site_is_used_whole() {
    assert_eq!(router(1).choose((0..9).map(engine).collect()).len(), 9);
}

#[test]
fn each_router_uses_a_few_of_its_own_hall_and_all_are_used_alike() {
    let mut users: BTreeMap<EndpointName, usize> = BTreeMap::new();
    for number in 0..55 {
        let chosen = router(number).choose((0..90).map(engine).collect());
        assert_eq!(chosen.len(), 12);
        assert!(chosen.iter().all(|engine| engine.hall == hall(number % HALLS)));
        for name in names(chosen) {
            *users.entry(name).or_default() += 1;
        }
    }
    assert!(users.len() >= 85, "{} of 90 engines are used", users.len());
    let most = users.values().max().copied().unwrap_or_default();
    assert!(most <= 14, "an engine is used by {most} routers; the mean is 7");
}

#[test]
fn one_that_leaves_changes_one_place() {
    let before = names(router(3).choose((0..90).map(engine).collect()));
    let without = |engine: &EndpointRecord| engine.name != before[0];
    let after = names(router(3).choose((0..90).map(engine).filter(without).collect()));
    assert_eq!(after.iter().filter(|name| before.contains(name)).count(), 11);
}

#[test]
fn other_halls_fill_up_and_leaving_engines_do_not_count() {
    let mut engines: Vec<EndpointRecord> = (0..16).map(engine).collect();
    let leaving = engines[0].name.clone();
    engines[0].stage = EndpointStage::Draining;
    let chosen = names(router(0).choose(engines));
    assert_eq!(chosen.len(), 12);
    assert!(!chosen.contains(&leaving));
}
