//! The single software version of a service, looked up for tickets that go on with a stream which their caller does not name.

use crate::policy_source::PolicySource;
use async_std::channel::Receiver;
use micaspool_clock::BootInstant;
use micaspool_types::{ServiceName, SoftwareVersion, VersionLimit};
use std::sync::Arc;
use std::time::Duration;

/// How long an answer is used while nothing changes. A lookup walks over all endpoints, and the callers of a lost router
/// come back together.
const MAX_AGE: Duration = Duration::from_millis(100);

/// Looks up the single version of a service.
pub(crate) struct SoleVersions {
    source: Arc<dyn PolicySource>,
    service: ServiceName,
    /// Receives a message after each change of the endpoints.
    changes: Receiver<()>,
    latest: Option<Lookup>,
}

struct Lookup {
    at: BootInstant,
    span: Duration,
    version: Option<SoftwareVersion>,
}

impl SoleVersions {
    pub fn new(source: Arc<dyn PolicySource>, service: ServiceName) -> SoleVersions {
        SoleVersions { changes: source.subscribe(), source, service, latest: None }
    }

    /// Binds a ticket whose caller does not name the stream that it takes up, if the service has had a single version for as
    /// long as the stream may have lasted. All requests that the shard granted ran at versions it knows, whatever the router
    /// of the ticket has heard of.
    pub fn resolve(&mut self, versions: &mut VersionLimit) {
        let VersionLimit::Unnamed(lifetime) = *versions else { return };
        if let Some(version) = self.version_for(lifetime) {
            *versions = VersionLimit::Only(version);
        }
    }

    fn version_for(&mut self, span: Duration) -> Option<SoftwareVersion> {
        let is_changed = self.changes.try_recv().is_ok();
        let latest = self
            .latest
            .take()
            .filter(|latest| !is_changed && latest.span == span && latest.at.elapsed() < MAX_AGE);
        let lookup = latest.unwrap_or_else(|| Lookup {
            at: BootInstant::now(),
            span,
            version: self.source.sole_version(&self.service, span),
        });
        self.latest.insert(lookup).version.clone()
    }
}
