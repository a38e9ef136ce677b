//! The state machines that the log drives.

use micaspool_ledger::{ClaimCommand, ClaimVerdict, FinishCommand, LedgerOptions, LedgerState};
use micaspool_settings::apply::{self, SettingsChange, SettingsState};
use micaspool_types::Revision;
use serde::{Deserialize, Serialize};

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperCommand {
    /// Change the settings.
    Apply(SettingsChange),
    /// Claim a call.
    Claim(ClaimCommand),
    /// Record how a call ended.
    Finish(FinishCommand),
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
}

/// Both state machines.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeeperState {
    /// The settings tree.
    pub settings: SettingsState,
    /// The claims.
    pub ledger: LedgerState,
}

impl KeeperState {
    /// Empty state machines.
    pub fn new(options: LedgerOptions) -> KeeperState {
        KeeperState { settings: SettingsState::default(), ledger: LedgerState::new(options) }
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
        }
    }

    /// The state as bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the state has nothing that cannot be encoded")
    }

    /// The state from bytes.
    pub fn decode(bytes: &[u8]) -> Result<KeeperState, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
