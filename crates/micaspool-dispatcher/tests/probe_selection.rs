//! Which engines are asked for their load and cache.

use micaspool_clock::BootInstant;
use micaspool_dispatch::{EndpointClosure, EndpointStatus};
use micaspool_dispatcher::{ProbeSelection, UsedEngines};
use micaspool_types::EndpointName;
use std::time::Duration;

fn name(number: usize) -> EndpointName {
    EndpointName::parse(&format!("engine-{number}")).expect("the name is valid")
}

/// Engines of which the first `used` run a request.
fn engines(count: usize, used: usize) -> Vec<EndpointStatus> {
    let engine = |number: usize| EndpointStatus {
        name: name(number),
        busy: u32::from(number < used),
        foreign: 0,
        slots: 16,
        closure: None,
        free: true,
        prefill_limited: false,
        failures: 0,
        cold_limited: false,
        cold: Duration::ZERO,
        resting_routers: 0,
        prefill: None,
    };
    (0..count).map(engine).collect()
}

#[test]
fn all_of_a_few_engines_are_asked() {
    let selection = UsedEngines::default().select(BootInstant::now(), &engines(12, 1));
    assert_eq!(selection, ProbeSelection::All);
}

/// Guards against a round over all engines: with 10,000 it took 98 s.
#[test]
fn of_many_engines_those_in_use_are_asked() {
    let mut used_engines = UsedEngines::default();
    let start = BootInstant::now();
    let mut fleet = engines(10_000, 20);
    fleet[5_000].closure = Some(EndpointClosure::Draining);
    let expected = (0..20).chain([5_000]).map(name).collect();
    assert_eq!(used_engines.select(start, &fleet), ProbeSelection::Only(expected));
    let later = start + Duration::from_secs(5);
    assert!(
        matches!(used_engines.select(later, &engines(10_000, 3)), ProbeSelection::Only(n) if n.len() == 21)
    );
    let much_later = start + Duration::from_secs(12);
    let expected = (0..3).map(name).collect();
    assert_eq!(used_engines.select(much_later, &engines(10_000, 3)), ProbeSelection::Only(expected));
}
