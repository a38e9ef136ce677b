//! Decoding of snapshots, including those of earlier versions.

use micaspool_halls::{HallState, OrderCommand};
use micaspool_keeper::{KeeperState, PlanDocument};
use micaspool_ledger::LedgerOptions;
use micaspool_settings::apply::SettingsState;
use micaspool_types::HallName;

/// The fields of a ledger as written by versions that did not remember early releases. It is empty
/// apart from its time.
type LegacyLedger = (LedgerOptions, Vec<u8>, Vec<u8>, Vec<u8>, usize, u64);

fn legacy_ledger() -> LegacyLedger {
    (LedgerOptions::default(), Vec::new(), Vec::new(), Vec::new(), 0, 1_792_000_000_000)
}

fn encode(state: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_stdvec(state).expect("the state can be encoded")
}

#[test]
fn snapshot_of_this_version_is_decoded() {
    let mut state = KeeperState::new(LedgerOptions::default());
    state.plan = PlanDocument { number: 7, text: "a plan".into() };
    let decoded = KeeperState::decode(&state.encode()).expect("the snapshot can be decoded");
    assert_eq!(decoded.plan, state.plan);
}

#[test]
fn snapshot_without_early_releases_keeps_its_plan() {
    for number in [0, 1, 7, 300] {
        let plan = PlanDocument { number, text: "x".repeat(number as usize).into() };
        let bytes = encode(&(SettingsState::default(), legacy_ledger(), plan.clone()));
        assert_eq!(
            KeeperState::decode(&bytes).expect("a snapshot of an earlier version can be decoded").plan,
            plan
        );
    }
}

#[test]
fn snapshot_without_departures_keeps_its_plan_and_orders() {
    let mut state = KeeperState::new(LedgerOptions::default());
    state.plan = PlanDocument { number: 7, text: "a plan".into() };
    let hall = HallName::parse("hall").expect("the name is valid");
    let order = OrderCommand {
        hall: hall.clone(),
        wanted: HallState::Evacuated,
        known: 0,
        ordered_by: "me".into(),
        at_millis: 0,
    };
    state.halls.accept(&order);
    let bytes = encode(&(&state.settings, &state.ledger, &state.plan, &state.halls));
    let decoded = KeeperState::decode(&bytes).expect("a snapshot of an earlier version can be decoded");
    assert_eq!(decoded.plan, state.plan);
    assert!(decoded.halls.is_evacuated(&hall));
}

#[test]
fn snapshot_without_a_plan_is_decoded() {
    let bytes = encode(&(SettingsState::default(), legacy_ledger()));
    assert_eq!(
        KeeperState::decode(&bytes).expect("a snapshot of an earlier version can be decoded").plan.number,
        0
    );
}
