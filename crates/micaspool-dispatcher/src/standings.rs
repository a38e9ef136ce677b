//! Which requests are suspected of ending endpoints, shut out or cleared: a line for each change, within a bound.

use micaspool_dispatch::{CrashRecord, RequestStanding, StandingCause};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::ServiceName;

/// The most lines in an interval of the tally, quarantines apart. An engine that ends has up to 64 requests.
const MOST_LINES: u32 = 100;

/// Writes changes of requests' standing.
#[derive(Debug)]
pub(crate) struct StandingLog {
    service: ServiceName,
    lines: u32,
    left_out: u32,
}

impl StandingLog {
    pub fn new(service: ServiceName) -> StandingLog {
        StandingLog { service, lines: 0, left_out: 0 }
    }

    /// Begins a new interval.
    pub fn renew(&mut self) {
        if self.left_out > 0 {
            record(
                &events::STANDINGS_SUPPRESSED,
                &[field("service", &self.service), field("lines", self.left_out)],
            );
        }
        self.lines = 0;
        self.left_out = 0;
    }

    pub fn tell(
        &mut self,
        known: &CrashRecord,
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
            if self.lines > MOST_LINES {
                self.left_out += 1;
                return;
            }
        }
        let crashes =
            known.crashes.iter().map(|crash| format!("{}:{}", crash.endpoint, crash.age.as_millis()));
        let fields = [
            field("service", &self.service),
            field("digest", known.digest),
            field("customer", &known.customer),
            field("before", before.as_str()),
            field("after", after.as_str()),
            field("cause", cause.as_str()),
            field("ended_ms_ago", crashes.collect::<Vec<_>>().join(",")),
        ];
        record(kind, &fields);
    }
}
