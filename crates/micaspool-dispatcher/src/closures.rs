//! Logs which endpoints a shard closes and opens, with the cause and the duration.

use micaspool_clock::BootInstant;
use micaspool_dispatch::{EndpointClosure, EndpointStatus};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{EndpointName, ServiceName};
use std::collections::HashMap;
use std::time::Duration;

/// The maximum number of lines per update; there are about 20 updates a second. If all engines of a site close at
/// once, the periodic line about the shard's decisions contains their number.
const MAX_LINES: usize = 8;

/// Why an endpoint is closed, and since when.
#[derive(Debug, Clone, Copy)]
struct ClosedEndpoint {
    cause: EndpointClosure,
    since: BootInstant,
}

/// Tracks the closed endpoints of one shard and logs changes.
#[derive(Debug)]
pub(crate) struct ClosureLog {
    service: ServiceName,
    closed: HashMap<EndpointName, ClosedEndpoint>,
}

impl ClosureLog {
    pub fn new(service: ServiceName) -> ClosureLog {
        ClosureLog { service, closed: HashMap::new() }
    }

    /// Compares the endpoints with their last known state and logs what has changed.
    pub fn update(&mut self, now: BootInstant, endpoints: &[EndpointStatus]) {
        let mut lines = 0;
        for endpoint in endpoints {
            let before = self.closed.get(&endpoint.name).copied();
            if before.map(|closed| closed.cause) == endpoint.closure {
                continue;
            }
            match endpoint.closure {
                Some(cause) => {
                    let since = before.map_or(now, |closed| closed.since);
                    self.closed.insert(endpoint.name.clone(), ClosedEndpoint { cause, since });
                }
                None => {
                    self.closed.remove(&endpoint.name);
                }
            }
            lines += 1;
            if lines <= MAX_LINES {
                self.log_change(now, endpoint, before);
            }
        }
    }

    /// Returns for how long the longest closed endpoint has been closed. Endpoints closed by the settings do not count.
    pub fn longest_closure(&self, now: BootInstant) -> Duration {
        let not_by_settings = self.closed.values().filter(|closed| closed.cause != EndpointClosure::Settings);
        not_by_settings.map(|closed| now.saturating_duration_since(closed.since)).max().unwrap_or_default()
    }

    fn log_change(&self, now: BootInstant, endpoint: &EndpointStatus, before: Option<ClosedEndpoint>) {
        let mut fields = vec![
            field("service", &self.service),
            field("endpoint", &endpoint.name),
            field("failures", endpoint.failures),
        ];
        if let Some(before) = before {
            fields.push(field("closed_ms", now.saturating_duration_since(before.since).as_millis()));
            fields.push(field("was_closed_by", before.cause.as_str()));
        }
        match endpoint.closure {
            Some(cause) => {
                fields.push(field("cause", cause.as_str()));
                record(&events::ENDPOINT_CLOSED, &fields);
            }
            None => record(&events::ENDPOINT_OPENED, &fields),
        }
    }
}
