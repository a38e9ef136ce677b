//! Versions of the software of endpoints.

use crate::stream::StreamKey;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// The version of the software that an endpoint runs, in its own words; not that of the weights of a model. Empty if the
/// endpoint states none: such endpoints count as of one version.
///
/// What two versions write does not fit together, so a stream goes on only at the version that began it.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Creates a version from its text.
    pub fn new(text: &str) -> SoftwareVersion {
        SoftwareVersion(Arc::from(text))
    }

    /// Returns the text; empty if the endpoint states no version.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for SoftwareVersion {
    fn default() -> Self {
        SoftwareVersion::new("")
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.as_str())
    }
}

/// Limits the software versions at which a request may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionLimit {
    /// The request may run at any version.
    #[default]
    Any,
    /// The request goes on with a stream that this version began.
    Only(SoftwareVersion),
    /// The request goes on with this stream, at the version that began it; whoever knows it replaces this by `Only`.
    OfStream(StreamKey),
    /// The request goes on with a stream that its caller does not name, and that lasted no longer than this. If the
    /// service has had a single version for so long, the dispatcher replaces this by `Only`.
    Unnamed(Duration),
}

impl VersionLimit {
    /// Returns true if the request goes on with a stream whose version is not known yet.
    pub fn is_unresolved(&self) -> bool {
        matches!(self, VersionLimit::OfStream(_) | VersionLimit::Unnamed(_))
    }

    /// Returns the version to which the request is bound, if it is known.
    pub fn bound(&self) -> Option<&SoftwareVersion> {
        match self {
            VersionLimit::Only(version) => Some(version),
            VersionLimit::Any | VersionLimit::OfStream(_) | VersionLimit::Unnamed(_) => None,
        }
    }

    /// Returns true if the request may run at this version.
    pub fn allows(&self, version: &SoftwareVersion) -> bool {
        match self {
            VersionLimit::Any => true,
            VersionLimit::Only(only) => only == version,
            VersionLimit::OfStream(_) | VersionLimit::Unnamed(_) => false,
        }
    }
}
