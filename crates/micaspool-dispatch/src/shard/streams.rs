//! Tickets that take a stream up: binds them to the software version that began it.
//!
//! A ticket whose stream is not known is refused: what two versions write does not fit together. A shard that has
//! just started waits with that until its routers have told what they remember.

use super::overdue::RefusalCause;
use super::tickets::WaitingTicket;
use super::ShardCore;
use crate::action::{RefusalReason, ShardAction};
use micaspool_types::{Moment, RequestId, StreamOrigin, VersionLimit};

impl ShardCore {
    /// Records which versions began streams.
    pub(super) fn record_origins(&mut self, now: Moment, origins: &[StreamOrigin]) {
        for origin in origins {
            self.origins.record(now, origin);
        }
    }

    /// Replaces a limit to the version of a stream by a limit to that version, if it is known.
    pub(super) fn resolve_versions(&self, limit: VersionLimit) -> VersionLimit {
        let VersionLimit::OfStream(stream) = limit else { return limit };
        self.origins.version_of(stream).map_or(limit, |version| VersionLimit::Only(version.clone()))
    }

    /// Why a ticket with this limit takes up a stream that is not known; `None` while routers may still tell.
    pub(super) fn stream_refusal(&self, limit: &VersionLimit) -> Option<RefusalReason> {
        let is_unknown = match limit {
            VersionLimit::Any | VersionLimit::Only(_) => false,
            VersionLimit::OfStream(_) => self.recovering_until.is_none(),
            // Routers can't tell.
            VersionLimit::Unnamed(_) => true,
        };
        is_unknown.then_some(RefusalReason::StreamUnknown)
    }

    /// Binds the waiting tickets whose streams are known now, and refuses the others.
    pub(super) fn resolve_waiting(&mut self, now: Moment, actions: &mut Vec<ShardAction>) {
        let takes_up = |ticket: &WaitingTicket| ticket.versions.is_unresolved();
        let waiting = self.waiting.iter().filter(|(_, ticket)| takes_up(ticket));
        let mut requests: Vec<RequestId> = waiting.map(|(request, _)| *request).collect();
        requests.sort();
        for request in requests {
            let limit = self.resolve_versions(self.waiting[&request].versions.clone());
            let refusal = self.stream_refusal(&limit);
            self.waiting.get_mut(&request).expect("the ticket waits").versions = limit;
            if let Some(reason) = refusal {
                self.refuse_for(now, request, RefusalCause::of(reason), actions);
            }
        }
        self.refuse_unplaceable(now, actions);
    }
}
