//! Snapshots of earlier versions are read.

use micaspool_keeper::{KeeperState, PlanDocument};
use micaspool_ledger::LedgerOptions;
use micaspool_settings::apply::SettingsState;

/// The ledger as versions wrote it that did not remember early releases, empty but for its time.
type EarlierLedger = (LedgerOptions, Vec<u8>, Vec<u8>, Vec<u8>, usize, u64);

fn earlier_ledger() -> EarlierLedger {
    (LedgerOptions::default(), Vec::new(), Vec::new(), Vec::new(), 0, 1_792_000_000_000)
}

fn encoded(state: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_stdvec(state).expect("nothing in it cannot be encoded")
}

#[test]
fn a_snapshot_of_this_version_is_read_back() {
    let mut state = KeeperState::new(LedgerOptions::default());
    state.plan = PlanDocument { number: 7, text: "a plan".into() };
    let read = KeeperState::decode(&state.encode()).expect("it is whole");
    assert_eq!(read.plan, state.plan);
}

#[test]
fn a_snapshot_without_early_releases_keeps_its_plan() {
    for number in [0, 1, 7, 300] {
        let plan = PlanDocument { number, text: "x".repeat(number as usize).into() };
        let bytes = encoded(&(SettingsState::default(), earlier_ledger(), plan.clone()));
        assert_eq!(KeeperState::decode(&bytes).expect("an earlier version wrote it").plan, plan);
    }
}

#[test]
fn a_snapshot_without_a_plan_is_read() {
    let bytes = encoded(&(SettingsState::default(), earlier_ledger()));
    assert_eq!(KeeperState::decode(&bytes).expect("an earlier version wrote it").plan.number, 0);
}
