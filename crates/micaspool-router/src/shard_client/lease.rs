//! A grant in the hands of the path of a request.

use super::ShardClient;
use micaspool_clock::BootInstant;
use micaspool_dispatch::GrantOutcome;
use micaspool_types::{Cost, EndpointName, OrderNumber, RequestId};
use std::sync::Arc;
use std::time::Duration;

/// The time before the end of a lease in which a request is no longer sent.
const LEASE_MARGIN: Duration = Duration::from_millis(100);
/// Progress is told after this much more was delivered, or after this time.
const PROGRESS_STEP: u64 = 128;
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// What a dispatcher granted.
#[derive(Debug, Clone)]
pub(super) struct LeaseTerms {
    pub endpoint: EndpointName,
    pub order: OrderNumber,
    pub expires: Option<BootInstant>,
}

/// The right to send one request to one endpoint. Dropping it ends the grant.
#[derive(Debug)]
pub struct GrantLease {
    client: Arc<ShardClient>,
    request: RequestId,
    terms: LeaseTerms,
    delivered: Cost,
    reported: Cost,
    reported_at: BootInstant,
    sent: bool,
    ended: bool,
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
            sent: false,
            ended: false,
        }
    }

    /// Where the request may run.
    pub fn endpoint(&self) -> &EndpointName {
        &self.terms.endpoint
    }

    /// The request's place in the arrival order.
    pub fn order(&self) -> OrderNumber {
        self.terms.order
    }

    /// True while the request may still be sent. The lease runs from when this router sent the
    /// heartbeat that the dispatcher had, so a router that was frozen does not trust it.
    pub fn is_valid(&self) -> bool {
        self.terms.expires.is_some_and(|expires| BootInstant::now() + LEASE_MARGIN < expires)
    }

    /// Notes that the request is being sent.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Notes how much was delivered, and tells the dispatcher at the beginning and now and then.
    pub fn progress(&mut self, delivered: Cost) {
        self.delivered = delivered;
        let unreported = delivered.0.saturating_sub(self.reported.0);
        let is_first = self.reported == Cost(0) && unreported > 0;
        let is_due = is_first
            || unreported >= PROGRESS_STEP
            || (unreported > 0 && self.reported_at.elapsed() >= PROGRESS_INTERVAL);
        if is_due {
            self.reported = delivered;
            self.reported_at = BootInstant::now();
            self.client.lock_state().progress(self.request, delivered);
        }
    }

    /// Ends the grant.
    pub fn settle(mut self, cost: Cost, fate: GrantOutcome) {
        self.end_once(cost, fate);
    }

    fn end_once(&mut self, cost: Cost, fate: GrantOutcome) {
        if !self.ended {
            self.ended = true;
            self.client.lock_state().settle(self.request, cost, fate);
        }
    }
}

impl Drop for GrantLease {
    fn drop(&mut self) {
        let fate = if self.sent { GrantOutcome::Abandoned } else { GrantOutcome::Unsent };
        self.end_once(self.delivered, fate);
    }
}
