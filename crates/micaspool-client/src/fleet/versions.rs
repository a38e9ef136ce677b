//! Which software versions the endpoints of each service ran lately.

use micaspool_registry::EndpointRecord;
use micaspool_types::{Moment, ServiceName, SoftwareVersion};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a version is remembered after an endpoint last reported or left with it.
const VERSION_RETENTION: Duration = Duration::from_secs(600);

/// The versions of each service, with those of endpoints that left.
#[derive(Debug, Default)]
pub(super) struct VersionHistory {
    seen: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Moment>>,
    /// Since when the endpoints are followed without a gap; `None` while they are not.
    followed_since: Option<Moment>,
}

impl VersionHistory {
    /// Records that an endpoint runs its version now, or did until now.
    pub fn note(&mut self, now: Moment, record: &EndpointRecord) {
        let versions = self.seen.entry(record.service.clone()).or_default();
        versions.insert(record.version.clone(), now);
    }

    /// Records whether the endpoints are followed now.
    pub fn set_followed(&mut self, now: Moment, is_followed: bool) {
        match is_followed {
            true => self.followed_since = self.followed_since.or(Some(now)),
            false => self.followed_since = None,
        }
    }

    /// Returns the versions that were noted for a service in the last `span`, or `None` if endpoints were not followed for
    /// so long.
    pub fn within(
        &self,
        now: Moment,
        service: &ServiceName,
        span: Duration,
    ) -> Option<impl Iterator<Item = &SoftwareVersion>> {
        let is_known = self.followed_since.is_some_and(|since| now.since(since) >= span);
        if !is_known || span > VERSION_RETENTION {
            return None;
        }
        let versions = self.seen.get(service).into_iter().flatten();
        Some(versions.filter(move |(_, at)| now.since(**at) <= span).map(|(version, _)| version))
    }

    /// Forgets what is older than any span that can be asked for.
    pub fn forget(&mut self, now: Moment) {
        self.seen.retain(|_, versions| {
            versions.retain(|_, at| now.since(*at) <= VERSION_RETENTION);
            !versions.is_empty()
        });
    }
}
