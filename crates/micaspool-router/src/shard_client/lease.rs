//! Leases of grants.

use super::ShardClient;
use micaspool_clock::BootInstant;
use micaspool_dispatch::{FirstEventTime, GrantOutcome, RunStart};
use micaspool_types::{Cost, EndpointName, Moment, OrderNumber, RequestId, SoftwareVersion, StreamOrigin};
use std::sync::Arc;
use std::time::Duration;

/// How long before the end of a lease a request is no longer sent.
const LEASE_MARGIN: Duration = Duration::from_millis(100);
/// Progress is reported after this much more cost was delivered, or after this time if there was any.
const PROGRESS_STEP: u64 = 128;
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// The terms of a grant.
#[derive(Debug, Clone)]
pub(super) struct LeaseTerms {
    pub endpoint: EndpointName,
    pub cache_source: Option<EndpointName>,
    pub bound_version: Option<SoftwareVersion>,
    pub order: OrderNumber,
    pub expires: Option<BootInstant>,
}

/// The right to send one request to one endpoint. Dropping the lease ends the grant.
#[derive(Debug)]
pub struct GrantLease {
    client: Arc<ShardClient>,
    request: RequestId,
    terms: LeaseTerms,
    delivered: Cost,
    reported: Cost,
    reported_at: BootInstant,
    /// When the request was sent; `None` before.
    sent_at: Option<BootInstant>,
    is_ended: bool,
}

impl GrantLease {
    pub(super) fn new(client: Arc<ShardClient>, request: RequestId, terms: LeaseTerms) -> GrantLease {
        GrantLease {
            client,
            request,
            terms,
            delivered: Cost(0),
            reported: Cost(0),
            reported_at: BootInstant::now(),
            sent_at: None,
            is_ended: false,
        }
    }

    /// Returns the endpoint that may run the request.
    pub fn endpoint(&self) -> &EndpointName {
        &self.terms.endpoint
    }

    /// Returns the engine from which the endpoint copies cached parts of the prompt, if any.
    pub fn cache_source(&self) -> Option<&EndpointName> {
        self.terms.cache_source.as_ref()
    }

    /// Returns the software version to which the dispatcher has bound the request, if it has.
    pub fn bound_version(&self) -> Option<&SoftwareVersion> {
        self.terms.bound_version.as_ref()
    }

    /// Returns the order number of the request.
    pub fn order(&self) -> OrderNumber {
        self.terms.order
    }

    /// Returns true while the request may still be sent.
    ///
    /// The lease starts when this router sent the heartbeat that the dispatcher had last received, so a router that was
    /// suspended in between finds it expired.
    pub fn is_valid(&self) -> bool {
        self.terms.expires.is_some_and(|expires| BootInstant::now() + LEASE_MARGIN < expires)
    }

    /// Records that the request is being sent.
    pub fn mark_sent(&mut self) {
        self.sent_at = Some(BootInstant::now());
    }

    /// Records the cost delivered so far and reports it to the dispatcher, at the first delivery and then at intervals.
    pub fn progress(&mut self, delivered: Cost) {
        self.report_progress(delivered, None);
    }

    /// The same with the first event of a stream that its caller may take up elsewhere.
    pub fn begin_stream(&mut self, delivered: Cost, origin: StreamOrigin) {
        self.report_progress(delivered, Some(origin));
    }

    fn report_progress(&mut self, delivered: Cost, began: Option<StreamOrigin>) {
        self.delivered = delivered;
        let unreported = delivered.0.saturating_sub(self.reported.0);
        let is_first = self.reported == Cost(0) && unreported > 0;
        let is_due = is_first
            || began.is_some()
            || unreported >= PROGRESS_STEP
            || (unreported > 0 && self.reported_at.elapsed() >= PROGRESS_INTERVAL);
        if is_due {
            self.reported = delivered;
            self.reported_at = BootInstant::now();
            let first_event = self.sent_at.filter(|_| is_first).map(|sent_at| FirstEventTime {
                router_clock: Moment(0) + self.reported_at.since_boot(),
                after: self.reported_at.saturating_duration_since(sent_at),
            });
            let start = RunStart { origin: began, first_event };
            self.client.lock_state().progress(self.request, delivered, start);
        }
    }

    /// Ends the grant with its cost and outcome.
    pub fn settle(mut self, cost: Cost, outcome: GrantOutcome) {
        self.end_once(cost, outcome);
    }

    fn end_once(&mut self, cost: Cost, outcome: GrantOutcome) {
        if !self.is_ended {
            self.is_ended = true;
            self.client.lock_state().settle(self.request, cost, outcome);
        }
    }
}

impl Drop for GrantLease {
    fn drop(&mut self) {
        let outcome = if self.sent_at.is_some() { GrantOutcome::Abandoned } else { GrantOutcome::Unsent };
        self.end_once(self.delivered, outcome);
    }
}
