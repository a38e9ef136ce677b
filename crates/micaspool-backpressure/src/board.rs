//! The table that one process shares.

use crate::table::{AdviceChange, AdviceTable, EndpointStanding};
use micaspool_clock::BootInstant;
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{AdviceRecord, EndpointAdvice, EndpointName, Moment, ServiceName};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Which endpoint said something, and in the answer to what.
#[derive(Clone, Copy, Debug)]
pub struct AdviceSource<'a> {
    /// The start of the endpoint.
    pub endpoint: &'a EndpointName,
    /// Its service.
    pub service: &'a ServiceName,
    /// The request that it answered, as logs call it.
    pub request: &'a str,
}

/// What endpoints asked of this process. The times run by the clock since boot, so that a rest is over when it should
/// be also after the machine was suspended.
#[derive(Debug)]
pub struct AdviceBoard {
    start: BootInstant,
    table: Mutex<AdviceTable>,
    /// How many endpoints the table has, so that nothing is locked while it is empty.
    entries: AtomicUsize,
}

impl Default for AdviceBoard {
    fn default() -> Self {
        AdviceBoard { start: BootInstant::now(), table: Mutex::default(), entries: AtomicUsize::new(0) }
    }
}

impl AdviceBoard {
    /// An empty board.
    pub fn new() -> Arc<AdviceBoard> {
        Arc::default()
    }

    /// Takes in what the head of an endpoint's answer says, and logs what it changes; gives what holds of it then, if
    /// anything changed.
    pub fn apply(&self, source: AdviceSource<'_>, advice: EndpointAdvice) -> Option<AdviceRecord> {
        if advice.is_empty() {
            return None;
        }
        // Here as well, so that nothing is kept where nobody looks at what is over.
        self.expire();
        let now = self.now();
        let mut table = self.lock();
        let change = table.apply(now, source.endpoint, source.service, advice);
        let standing = table.standing(now, source.endpoint);
        self.entries.store(table.len(), Ordering::Release);
        drop(table);
        log_change(source, change, standing);
        (change != AdviceChange::Same).then(|| record_of(source.endpoint, standing)).flatten()
    }

    /// What may be sent to an endpoint now.
    pub fn standing(&self, endpoint: &EndpointName) -> EndpointStanding {
        if self.entries.load(Ordering::Acquire) == 0 {
            return EndpointStanding::Open;
        }
        self.lock().standing(self.now(), endpoint)
    }

    /// True when a request may be sent to an endpoint now.
    pub fn may_send(&self, endpoint: &EndpointName) -> bool {
        self.standing(endpoint).is_open()
    }

    /// What holds of an endpoint; `None` when it may be sent to.
    pub fn record_of(&self, endpoint: &EndpointName) -> Option<AdviceRecord> {
        record_of(endpoint, self.standing(endpoint))
    }

    /// What holds for the endpoints of a service.
    pub fn records(&self, service: &ServiceName) -> Vec<AdviceRecord> {
        self.lock().records(self.now(), service)
    }

    /// Forgets and logs what is over.
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
                field("asked", rest.asked),
            ];
            record(&events::REST_OVER, &fields);
        }
    }

    /// How many endpoints rest, and how many leave.
    pub fn counts(&self) -> (usize, usize) {
        self.lock().counts(self.now())
    }

    fn now(&self) -> Moment {
        Moment(0) + self.start.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, AdviceTable> {
        self.table.lock().expect("no holder of the table panics")
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
        AdviceChange::Same => {}
        AdviceChange::Began => record(&events::REST_BEGUN, &fields),
        AdviceChange::Prolonged => record(&events::REST_PROLONGED, &fields),
        AdviceChange::Left => record(&events::ENDPOINT_SAYS_LEAVING, &fields),
    }
}
