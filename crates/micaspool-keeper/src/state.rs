//! The state machines that the log drives.

use micaspool_halls::{HallOrders, OrderCommand, OrderVerdict};
use micaspool_ledger::{
    ClaimCommand, ClaimVerdict, EarlierLedger, FinishCommand, LedgerOptions, LedgerState,
};
use micaspool_settings::apply::{self, SettingsChange, SettingsState};
use micaspool_types::Revision;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperCommand {
    /// Change the settings.
    Apply(SettingsChange),
    /// Claim a call.
    Claim(ClaimCommand),
    /// Record how a call ended.
    Finish(FinishCommand),
    /// Offer a route plan.
    Publish(PlanDocument),
    /// Evacuate a data hall or take it back.
    OrderHall(OrderCommand),
}

/// A route plan as its operator sent it. Keepers check it before they propose it, and never read it
/// afterwards, so that keepers of two versions can't differ about it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanDocument {
    /// The operator's number; zero when there is no plan.
    pub number: u64,
    /// The text.
    pub text: Arc<str>,
}

/// What a command gave.
#[derive(Clone, Debug, PartialEq)]
pub enum KeeperReply {
    /// The outcome of a settings change.
    Applied(Result<Revision, apply::Error>),
    /// The verdict on a claim.
    Claimed(ClaimVerdict),
    /// An outcome was recorded.
    Finished,
    /// A read barrier was passed.
    Passed,
    /// The number of the plan in force after an offer.
    Published(u64),
    /// What came of an order about a data hall.
    Ordered(OrderVerdict),
}

/// All state machines.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeeperState {
    /// The settings tree.
    pub settings: SettingsState,
    /// The claims.
    pub ledger: LedgerState,
    /// The route plan in force.
    pub plan: PlanDocument,
    /// The orders about data halls.
    pub halls: HallOrders,
}

/// The state as versions wrote it whose ledger did not remember early releases.
#[derive(Deserialize)]
struct StateWithPlan {
    settings: SettingsState,
    ledger: EarlierLedger,
    plan: PlanDocument,
}

/// The state as versions without route plans wrote it.
#[derive(Deserialize)]
struct StateWithoutPlan {
    settings: SettingsState,
    ledger: EarlierLedger,
}

impl From<StateWithPlan> for KeeperState {
    fn from(earlier: StateWithPlan) -> KeeperState {
        KeeperState {
            settings: earlier.settings,
            ledger: earlier.ledger.into(),
            plan: earlier.plan,
            halls: HallOrders::default(),
        }
    }
}

impl From<StateWithoutPlan> for KeeperState {
    fn from(earlier: StateWithoutPlan) -> KeeperState {
        KeeperState {
            settings: earlier.settings,
            ledger: earlier.ledger.into(),
            plan: PlanDocument::default(),
            halls: HallOrders::default(),
        }
    }
}

impl KeeperState {
    /// Empty state machines.
    pub fn new(options: LedgerOptions) -> KeeperState {
        KeeperState {
            settings: SettingsState::default(),
            ledger: LedgerState::new(options),
            plan: PlanDocument::default(),
            halls: HallOrders::default(),
        }
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &KeeperCommand) -> KeeperReply {
        match command {
            KeeperCommand::Apply(change) => KeeperReply::Applied(self.settings.accept(change)),
            KeeperCommand::Claim(command) => KeeperReply::Claimed(self.ledger.claim(command)),
            KeeperCommand::Finish(command) => {
                self.ledger.finish(command);
                KeeperReply::Finished
            }
            KeeperCommand::Publish(document) => {
                if document.number > self.plan.number {
                    self.plan = document.clone();
                }
                KeeperReply::Published(self.plan.number)
            }
            KeeperCommand::OrderHall(command) => KeeperReply::Ordered(self.halls.accept(command)),
        }
    }

    /// The state as bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the state has nothing that cannot be encoded")
    }

    /// The state from bytes, of this version or an earlier one. Bytes of another version end too early, or are left
    /// over, wherever they happen to be readable.
    pub fn decode(bytes: &[u8]) -> Result<KeeperState, postcard::Error> {
        decode_exact::<KeeperState>(bytes)
            .or_else(|_| decode_exact::<StateWithPlan>(bytes).map(KeeperState::from))
            .or_else(|_| decode_exact::<StateWithoutPlan>(bytes).map(KeeperState::from))
    }
}

/// Reads a value that takes all of the bytes.
fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}
