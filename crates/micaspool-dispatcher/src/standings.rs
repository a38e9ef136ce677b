//! Logs when a request is suspected of crashing endpoints, quarantined or cleared, with a limit on the number of lines.

use micaspool_dispatch::{CrashRecord, RequestStanding, StandingCause};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::ServiceName;

/// The maximum number of lines in an interval of the tally; quarantines are always logged. An engine that crashes has
/// up to 64 requests.
const MAX_LINES: u32 = 100;

/// Logs changes of requests' standing.
#[derive(Debug)]
pub(crate) struct StandingLog {
    service: ServiceName,
    lines: u32,
    omitted: u32,
}

impl StandingLog {
    pub fn new(service: ServiceName) -> StandingLog {
        StandingLog { service, lines: 0, omitted: 0 }
    }

    /// Starts a new interval, and logs how many lines the previous one omitted.
    pub fn start_interval(&mut self) {
        if self.omitted > 0 {
            record(
                &events::STANDINGS_SUPPRESSED,
                &[field("service", &self.service), field("lines", self.omitted)],
            );
        }
        self.lines = 0;
        self.omitted = 0;
    }

    /// Logs a change of standing, or counts it as omitted.
    pub fn log_change(
        &mut self,
        crash_record: &CrashRecord,
        before: RequestStanding,
        after: RequestStanding,
        cause: StandingCause,
    ) {
        let kind = match after {
            RequestStanding::Quarantined { .. } => &events::REQUEST_QUARANTINED,
            _ if after < before || after == RequestStanding::Clear => &events::REQUEST_CLEARED,
            _ => &events::REQUEST_SUSPECTED,
        };
        if !matches!(after, RequestStanding::Quarantined { .. }) {
            self.lines += 1;
            if self.lines > MAX_LINES {
                self.omitted += 1;
                return;
            }
        }
        let crashes =
            crash_record.crashes.iter().map(|crash| format!("{}:{}", crash.endpoint, crash.age.as_millis()));
        let fields = [
            field("service", &self.service),
            field("digest", crash_record.digest),
            field("customer", &crash_record.customer),
            field("before", before.as_str()),
            field("after", after.as_str()),
            field("cause", cause.as_str()),
            field("ended_ms_ago", crashes.collect::<Vec<_>>().join(",")),
        ];
        record(kind, &fields);
    }
}
