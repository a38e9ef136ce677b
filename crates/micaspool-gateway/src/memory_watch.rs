//! Observes the memory of a gateway. While it is tight, idle connections to endpoints are closed.

use micaspool_clock::BootInstant;
use micaspool_http::edge::EdgeServer;
use micaspool_http::pool::EndpointPool;
use micaspool_memory::{resident_bytes, MemoryAccount, MemoryState};
use micaspool_telemetry::events::{self, field, record, EventKind};
use std::sync::Arc;
use std::time::Duration;

/// How often the memory is looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// How long memory has to be free before it no longer counts as tight.
const CALM_TIME: Duration = Duration::from_secs(2);
/// How often the figures are logged while memory is tight.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// The memory of a gateway, with what holds most of it.
#[derive(Clone, Debug)]
pub(crate) struct MemoryWatch {
    /// The account of the process.
    pub memory: Arc<MemoryAccount>,
    /// The callers' side.
    pub server: EdgeServer,
    /// The endpoints' side.
    pub pool: Arc<EndpointPool>,
}

/// When memory was tight.
#[derive(Debug, Default)]
struct TightTime {
    /// When it last was, while it counts as tight.
    last: Option<BootInstant>,
    reported: Option<BootInstant>,
}

impl MemoryWatch {
    /// Observes the memory for as long as the process runs.
    pub async fn run(self) {
        let mut time = TightTime::default();
        loop {
            async_std::task::sleep(WATCH_INTERVAL).await;
            self.observe(&mut time);
        }
    }

    fn observe(&self, time: &mut TightTime) {
        let state = self.memory.state();
        let now = BootInstant::now();
        if state.is_tight() {
            time.last = Some(now);
            if time.reported.is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL) {
                time.reported = Some(now);
                self.log(&events::MEMORY_TIGHT, state);
            }
            self.pool.close_oldest_idle();
            return;
        }
        if time.last.is_some_and(|at| now.saturating_duration_since(at) >= CALM_TIME) {
            *time = TightTime::default();
            self.log(&events::MEMORY_FREE, state);
        }
    }

    fn log(&self, kind: &EventKind, state: MemoryState) {
        let fields = [
            field("in_use", state.in_use),
            field("promised", state.promised),
            field("limit", state.limit),
            field("resident", resident_bytes().unwrap_or_default()),
            field("callers", self.server.open()),
            field("callers_idle", self.server.idle()),
            field("endpoint_connections", self.pool.open()),
            field("endpoint_connections_idle", self.pool.idle_counts().0),
        ];
        record(kind, &fields);
    }
}
