//! The advice table that all senders of one process share.

use crate::table::{AdviceChange, AdviceTable, EndpointStanding};
use micaspool_clock::BootInstant;
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{AdviceRecord, EndpointAdvice, EndpointName, Moment, ServiceName};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The endpoint that gave advice and the request whose response carried it.
#[derive(Clone, Copy, Debug)]
pub struct AdviceSource<'a> {
    /// The name of this start of the endpoint.
    pub endpoint: &'a EndpointName,
    /// The service that the endpoint belongs to.
    pub service: &'a ServiceName,
    /// The id of the answered request, as it is logged.
    pub request: &'a str,
}

/// A thread-safe [`AdviceTable`] with a clock and logging. It uses the boot-time clock, so that rests also expire on
/// time after the machine was suspended.
#[derive(Debug)]
pub struct SharedAdvice {
    start: BootInstant,
    table: Mutex<AdviceTable>,
    /// The number of endpoints in the table. Lets readers skip the lock while the table is empty.
    entries: AtomicUsize,
}

impl Default for SharedAdvice {
    fn default() -> Self {
        SharedAdvice { start: BootInstant::now(), table: Mutex::default(), entries: AtomicUsize::new(0) }
    }
}

impl SharedAdvice {
    /// Creates an empty table.
    pub fn new() -> Arc<SharedAdvice> {
        Arc::default()
    }

    /// Applies advice from the head of a response and logs the change, if there is one. Returns the advice now in
    /// force if it changed.
    pub fn apply(&self, source: AdviceSource<'_>, advice: EndpointAdvice) -> Option<AdviceRecord> {
        if advice.is_empty() {
            return None;
        }
        // Also expires entries here, so that the table stays bounded in a process that never calls `expire`.
        self.expire();
        let now = self.now();
        let mut table = self.lock();
        let change = table.apply(now, source.endpoint, source.service, advice);
        let standing = table.standing(now, source.endpoint);
        self.entries.store(table.len(), Ordering::Release);
        drop(table);
        log_change(source, change, standing);
        (change != AdviceChange::Unchanged).then(|| record_of(source.endpoint, standing)).flatten()
    }

    /// Returns whether requests may currently be sent to an endpoint, and if not, why.
    pub fn standing(&self, endpoint: &EndpointName) -> EndpointStanding {
        if self.entries.load(Ordering::Acquire) == 0 {
            return EndpointStanding::Open;
        }
        self.lock().standing(self.now(), endpoint)
    }

    /// Returns true if a request may be sent to an endpoint now.
    pub fn may_send(&self, endpoint: &EndpointName) -> bool {
        self.standing(endpoint).is_open()
    }

    /// Returns the advice in force for an endpoint, or `None` if requests may be sent to it.
    pub fn record_of(&self, endpoint: &EndpointName) -> Option<AdviceRecord> {
        record_of(endpoint, self.standing(endpoint))
    }

    /// Returns the advice in force for the endpoints of a service, in name order.
    pub fn records(&self, service: &ServiceName) -> Vec<AdviceRecord> {
        self.lock().records(self.now(), service)
    }

    /// Removes expired entries and logs the rests that have ended.
    pub fn expire(&self) {
        if self.entries.load(Ordering::Acquire) == 0 {
            return;
        }
        let now = self.now();
        let mut table = self.lock();
        let ended = table.expire(now);
        self.entries.store(table.len(), Ordering::Release);
        drop(table);
        for rest in ended {
            let fields = [
                field("endpoint", &rest.endpoint),
                field("lasted_ms", rest.lasted.as_millis()),
                field("asked", rest.advice_count),
            ];
            record(&events::REST_ENDED, &fields);
        }
    }

    /// Returns the number of resting and of leaving endpoints, in this order.
    pub fn counts(&self) -> (usize, usize) {
        self.lock().counts(self.now())
    }

    fn now(&self) -> Moment {
        Moment(0) + self.start.elapsed()
    }

    /// A panic under the lock ends the call that met it; the others go on with what it left.
    fn lock(&self) -> MutexGuard<'_, AdviceTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn record_of(endpoint: &EndpointName, standing: EndpointStanding) -> Option<AdviceRecord> {
    let advice = match standing {
        EndpointStanding::Open => return None,
        EndpointStanding::Resting(rest) => EndpointAdvice { rest, leaving: false },
        EndpointStanding::Leaving => EndpointAdvice { rest: Duration::ZERO, leaving: true },
    };
    Some(AdviceRecord { endpoint: endpoint.clone(), advice })
}

fn log_change(source: AdviceSource<'_>, change: AdviceChange, standing: EndpointStanding) {
    let mut fields = vec![
        field("endpoint", source.endpoint),
        field("service", source.service),
        field("request", source.request),
    ];
    if let EndpointStanding::Resting(rest) = standing {
        fields.push(field("rest_ms", rest.as_millis()));
    }
    match change {
        AdviceChange::Unchanged => {}
        AdviceChange::Began => record(&events::REST_STARTED, &fields),
        AdviceChange::Prolonged => record(&events::REST_EXTENDED, &fields),
        AdviceChange::LeavingAnnounced => record(&events::ENDPOINT_LEAVING, &fields),
    }
}
