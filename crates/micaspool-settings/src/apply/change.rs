//! Changes, updates and the reasons to reject a change.

use crate::document::{join_faults, SettingsFault};
use micaspool_types::Revision;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// A change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// Chosen by the operator; a resend has the same one.
    pub id: String,
    /// Who asks.
    pub operator: String,
    /// The revision that the operator read.
    pub base: Revision,
    /// A JSON Merge Patch for the tree.
    pub patch: String,
}

/// The SHA-256 of a change's base and patch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeDigest([u8; 32]);

impl ChangeDigest {
    /// The digest of a change's content: its base and its patch.
    pub fn of(change: &SettingsChange) -> ChangeDigest {
        let mut hasher = Sha256::new();
        hasher.update(change.base.0.to_be_bytes());
        hasher.update(change.patch.as_bytes());
        ChangeDigest(hasher.finalize().into())
    }
}

/// A change that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The id of the change.
    pub id: String,
    /// Who asked.
    pub operator: String,
    /// The revision before the change.
    pub base: Revision,
    /// The content in short.
    pub digest: ChangeDigest,
    /// The patch as it was sent.
    pub patch: String,
}

impl AcceptedChange {
    /// The revision that the change made.
    pub fn revision(&self) -> Revision {
        Revision(self.base.0 + 1)
    }
}

/// What moves a watcher to a newer revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsUpdate {
    /// The revision that a patch applies to; unused for a whole tree.
    pub base: Revision,
    /// The revision after the update.
    pub revision: Revision,
    /// A patch, or `None` when `tree` is given.
    pub patch: Option<String>,
    /// The whole tree, or `None` when `patch` is given.
    pub tree: Option<String>,
}

impl SettingsUpdate {
    pub(super) fn patch(base: Revision, revision: Revision, patch: &str) -> Self {
        SettingsUpdate { base, revision, patch: Some(patch.to_owned()), tree: None }
    }

    pub(super) fn tree(revision: Revision, tree: &str) -> Self {
        SettingsUpdate { base: Revision(0), revision, patch: None, tree: Some(tree.to_owned()) }
    }
}

/// Why a change was not accepted; the tree is as it was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// Another change was accepted on the same base.
    Conflict {
        /// The revision that the rejected change was made on.
        base: Revision,
        /// The newest revision.
        newest: Revision,
        /// The id and operator of the change that was accepted on that base, if still remembered.
        winner: Option<(String, String)>,
    },
    /// A change with the same id and other content was accepted before.
    IdTaken {
        /// The operator whose change has the id.
        winner: String,
        /// The revision that it made.
        revision: Revision,
    },
    /// The patch is not JSON.
    Malformed(String),
    /// The resulting tree has faults.
    #[serde(skip)]
    Invalid(Vec<SettingsFault>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Conflict { base, newest, winner: Some((id, operator)) } => write!(
                f,
                "conflict: change {id} of {operator} was accepted on revision {base}; read revision {newest} and \
                 make the change again with a new id"
            ),
            Error::Conflict { base, newest, winner: None } => write!(
                f,
                "conflict: revision {base} is not the newest; read revision {newest} and make the change again"
            ),
            Error::IdTaken { winner, revision } => write!(
                f,
                "conflict: {winner} used this change id with other content for revision {revision}; choose a new id"
            ),
            Error::Malformed(reason) => write!(f, "the patch is not JSON ({reason}); mend it and send it again"),
            Error::Invalid(faults) => {
                write!(f, "the tree would have faults; mend them and send the change again:\n{}", join_faults(faults))
            }
        }
    }
}

impl std::error::Error for Error {}
