//! Which endpoints a shard has closed, why and since when, as log lines.

use micaspool_clock::BootInstant;
use micaspool_dispatch::{EndpointClosure, EndpointStatus};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{EndpointName, ServiceName};
use std::collections::HashMap;
use std::time::Duration;

/// The most lines of one look at the endpoints. A shard is looked at some twenty times a second; when all
/// engines of a site close at once, the line on the shard's decisions has their number.
const MAX_LINES: usize = 8;

/// A closed endpoint.
#[derive(Debug, Clone, Copy)]
struct ClosedEndpoint {
    cause: EndpointClosure,
    since: BootInstant,
}

/// Follows which endpoints of one shard are closed.
#[derive(Debug)]
pub(crate) struct ClosureLog {
    service: ServiceName,
    closed: HashMap<EndpointName, ClosedEndpoint>,
}

impl ClosureLog {
    pub fn new(service: ServiceName) -> ClosureLog {
        ClosureLog { service, closed: HashMap::new() }
    }

    /// Takes the state of the endpoints in and tells what has changed.
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

    /// How long the endpoint is closed that settings want to have open and that is closed the longest.
    pub fn longest_closure(&self, now: BootInstant) -> Duration {
        let configured = self.closed.values().filter(|closed| closed.cause != EndpointClosure::Settings);
        configured.map(|closed| now.saturating_duration_since(closed.since)).max().unwrap_or_default()
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
