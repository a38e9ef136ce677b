//! The replicated state machines: settings, claims, route plan, data hall orders and departures of endpoints.

use micaspool_halls::{HallOrders, OrderCommand, OrderVerdict};
use micaspool_ledger::{ClaimCommand, ClaimVerdict, FinishCommand, LedgerOptions, LedgerState, LegacyLedger};
use micaspool_registry::{ConfirmedDepartures, DepartureCommand};
use micaspool_settings::apply::{self, SettingsChange, SettingsState};
use micaspool_types::Revision;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperCommand {
    /// Changes the settings.
    Apply(SettingsChange),
    /// Claims an idempotency key for a call.
    Claim(ClaimCommand),
    /// Records how a claimed call ended.
    Finish(FinishCommand),
    /// Publishes a route plan.
    Publish(PlanDocument),
    /// Evacuates a data hall or returns it to service.
    OrderHall(OrderCommand),
    /// Remembers that an endpoint drains or has left.
    Depart(DepartureCommand),
}

/// A route plan as sent by its operator. The core process checks it before it is proposed. Keepers do
/// not parse it when they apply it, so that different versions cannot disagree about it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanDocument {
    /// The operator's number of the plan. Zero if there is no plan.
    pub number: u64,
    /// The text of the plan.
    pub text: Arc<str>,
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum KeeperReply {
    /// The result of a settings change.
    Applied(Result<Revision, apply::Error>),
    /// The verdict on a claim.
    Claimed(ClaimVerdict),
    /// The outcome of a call was recorded.
    Finished,
    /// An entry without a reply was applied: a read barrier, a membership change, or a command that this
    /// version cannot decode.
    Empty,
    /// The number of the plan in force after the command.
    Published(u64),
    /// The verdict on a data hall order.
    Ordered(OrderVerdict),
    /// The departure of an endpoint was recorded.
    Departed,
}

/// The state of all replicated state machines.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeeperState {
    /// The settings tree.
    pub settings: SettingsState,
    /// The ledger of claims.
    pub ledger: LedgerState,
    /// The route plan in force.
    pub plan: PlanDocument,
    /// The data hall orders.
    pub halls: HallOrders,
    /// The endpoints that announced their departure lately.
    pub departures: ConfirmedDepartures,
}

/// The state as written by versions without departures.
#[derive(Deserialize)]
struct StateWithHalls {
    settings: SettingsState,
    ledger: LedgerState,
    plan: PlanDocument,
    halls: HallOrders,
}

/// The state as written by versions with route plans, but without hall orders and with a ledger that
/// did not remember early releases.
#[derive(Deserialize)]
struct StateWithPlan {
    settings: SettingsState,
    ledger: LegacyLedger,
    plan: PlanDocument,
}

/// The state as written by versions without route plans.
#[derive(Deserialize)]
struct StateWithoutPlan {
    settings: SettingsState,
    ledger: LegacyLedger,
}

impl From<StateWithHalls> for KeeperState {
    fn from(legacy: StateWithHalls) -> KeeperState {
        KeeperState {
            settings: legacy.settings,
            ledger: legacy.ledger,
            plan: legacy.plan,
            halls: legacy.halls,
            departures: ConfirmedDepartures::default(),
        }
    }
}

impl From<StateWithPlan> for KeeperState {
    fn from(legacy: StateWithPlan) -> KeeperState {
        KeeperState {
            settings: legacy.settings,
            ledger: legacy.ledger.into(),
            plan: legacy.plan,
            halls: HallOrders::default(),
            departures: ConfirmedDepartures::default(),
        }
    }
}

impl From<StateWithoutPlan> for KeeperState {
    fn from(legacy: StateWithoutPlan) -> KeeperState {
        KeeperState {
            settings: legacy.settings,
            ledger: legacy.ledger.into(),
            plan: PlanDocument::default(),
            halls: HallOrders::default(),
            departures: ConfirmedDepartures::default(),
        }
    }
}

impl KeeperState {
    /// Creates empty state machines.
    pub fn new(options: LedgerOptions) -> KeeperState {
        KeeperState {
            settings: SettingsState::default(),
            ledger: LedgerState::new(options),
            plan: PlanDocument::default(),
            halls: HallOrders::default(),
            departures: ConfirmedDepartures::default(),
        }
    }

    /// Applies a command and returns its reply.
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
            KeeperCommand::Depart(command) => {
                self.departures.accept(command);
                KeeperReply::Departed
            }
        }
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the state can be encoded")
    }

    /// Decodes a snapshot of this version or an earlier one. Where the bytes of another version can be
    /// decoded at all, they end too early or bytes are left over, so each format is tried in turn.
    pub fn decode(bytes: &[u8]) -> Result<KeeperState, postcard::Error> {
        decode_exact::<KeeperState>(bytes)
            .or_else(|_| decode_exact::<StateWithHalls>(bytes).map(KeeperState::from))
            .or_else(|_| decode_exact::<StateWithPlan>(bytes).map(KeeperState::from))
            .or_else(|_| decode_exact::<StateWithoutPlan>(bytes).map(KeeperState::from))
    }
}

/// Decodes a value that must take up all of the bytes.
fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}
