//! Observes how late the tasks of a gateway run, and logs it with what the process did meanwhile.

use crate::metrics::GatewayMetrics;
use micaspool_clock::BootInstant;
use micaspool_telemetry::events::{self, field, record};
use rustix::time::{clock_gettime, ClockId};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The length of the spans over which lateness is summed up.
const SPAN: Duration = Duration::from_secs(2);
/// A span is logged if tasks ran this much late in its mean.
const LATE: Duration = Duration::from_millis(10);

/// Sums up how late tasks run.
#[derive(Debug)]
pub(crate) struct LatenessWatch {
    metrics: GatewayMetrics,
    span: Mutex<LateSpan>,
}

/// What has been observed since the start of a span.
#[derive(Debug)]
struct LateSpan {
    since: BootInstant,
    samples: u32,
    total: Duration,
    longest: Duration,
    /// Connections that were closed unread.
    closed: usize,
    before: ProcessFigures,
}

/// What a process has done and used so far.
#[derive(Clone, Copy, Debug)]
struct ProcessFigures {
    processor_time: Duration,
    answered: u64,
    refused: u64,
}

impl ProcessFigures {
    fn now(metrics: &GatewayMetrics) -> ProcessFigures {
        let used = clock_gettime(ClockId::ProcessCPUTime);
        let seconds = u64::try_from(used.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(used.tv_nsec).unwrap_or_default();
        ProcessFigures {
            processor_time: Duration::new(seconds, nanos),
            answered: metrics.answered.get(),
            refused: metrics.refusals(),
        }
    }
}

impl LateSpan {
    fn begin(metrics: &GatewayMetrics) -> LateSpan {
        LateSpan {
            since: BootInstant::now(),
            samples: 0,
            total: Duration::ZERO,
            longest: Duration::ZERO,
            closed: 0,
            before: ProcessFigures::now(metrics),
        }
    }

    fn mean(&self) -> Duration {
        self.total / self.samples.max(1)
    }
}

impl LatenessWatch {
    pub fn new(metrics: GatewayMetrics) -> LatenessWatch {
        let span = Mutex::new(LateSpan::begin(&metrics));
        LatenessWatch { metrics, span }
    }

    /// Counts connections that were closed unread.
    pub fn count_closed(&self, connections: usize) {
        self.lock().closed += connections;
    }

    /// Adds a sample. At the end of a span, what was late is logged.
    pub fn observe(&self, lag: Duration) {
        self.metrics.lag_seconds.observe(lag.as_secs_f64());
        let mut span = self.lock();
        span.samples += 1;
        span.total += lag;
        span.longest = span.longest.max(lag);
        if span.since.elapsed() < SPAN {
            return;
        }
        let ended = std::mem::replace(&mut *span, LateSpan::begin(&self.metrics));
        let now = span.before;
        drop(span);
        if ended.mean() >= LATE {
            log_span(&ended, now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, LateSpan> {
        self.span.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_span(span: &LateSpan, now: ProcessFigures) {
    let before = span.before;
    let fields = [
        field("span_ms", span.since.elapsed().as_millis()),
        field("mean_ms", span.mean().as_millis()),
        field("longest_ms", span.longest.as_millis()),
        field("processor_ms", now.processor_time.saturating_sub(before.processor_time).as_millis()),
        field("answered", now.answered - before.answered),
        field("refused", now.refused - before.refused),
        field("closed", span.closed),
    ];
    record(&events::GATEWAY_LATE, &fields);
}
