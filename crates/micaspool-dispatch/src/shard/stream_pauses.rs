//! Spaces the prompts of an engine so that the streams running there keep their longest pause.
//!
//! Between two chunks of a prompt, an engine makes one token for each running request. A pause between two
//! events of a stream therefore lasts as long as the steps of one event and all prefill between them. The
//! first event of a prompt comes as many steps after its prefill as any other event takes, so the prefill
//! that one pause can contain belongs to prompts that were without a first event at the same time. Keeping
//! that work below the limit of the shortest pause keeps every pause, without knowing when the engine
//! begins or ends a chunk. First events that come late, as in a slow period, delay the next prompt.

use micaspool_engine::PrefillRate;
use micaspool_types::{Cost, Moment, RequestId};
use std::time::Duration;

/// The limit allows for prefill that takes longer than learnt by this many times its mean deviation, since
/// engines have slow periods that can't be foreseen. Rare slow periods lie several mean deviations above the
/// mean.
const DEVIATIONS: f64 = 3.3;
/// Bounds of the factor by which prefill may take longer than learnt. The lower one covers the size of a
/// chunk; the upper one keeps an engine whose first events are reported unevenly from getting hardly
/// any work.
const SLOWDOWN_RANGE: (f64, f64) = (1.25, 2.0);
/// The least part of a pause that prefill may take, as a divisor, so that short prompts are still granted
/// together if first events come late.
const MIN_LIMIT_DIVISOR: u32 = 4;
/// An engine is closed while the prefill without a first event exceeds this part of the limit, in percent. The
/// rest is left for the next prompt, whose length is unknown here. A lower part leaves engines idle while reports
/// of first events are on their way; with a higher one, long prompts break pauses.
const OPEN_PERCENT: u32 = 60;
/// How likely a stream breaks its pause in percent if the prefill exceeds the limit but would be done within
/// the pause at the learnt rate. It then breaks in slow periods only.
const POSSIBLE_BREAK_PERCENT: u64 = 20;
const CERTAIN_BREAK_PERCENT: u64 = 100;
/// Cost units per output token in the progress reports of routers.
const TOKEN_COST: u64 = 2;
/// The quantile of the observed times per event that is taken as the time without prefill.
const EVENT_TIME_QUANTILE: f64 = 0.1;
/// Step of that time per observation, relative to it.
const EVENT_TIME_STEP: f64 = 0.2;
/// Routers report the progress of a request about this often.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// A stream without a report for this many pauses beyond the interval is behind. One is the pause itself, the
/// other allows for reports that are delayed at busy routers.
const SILENT_PAUSES: u32 = 2;
/// The longest time for which an engine is closed because it is behind its streams. Most prompts are
/// prefilled within it, and a first event after that shows more than the streams do.
const MAX_CLOSED: Duration = Duration::from_secs(1);

/// A request with a pause that was granted to the engine.
#[derive(Debug, Clone, Copy)]
struct RunningStream {
    request: RequestId,
    pause: Duration,
    /// The latest report; `None` before the first event.
    reported_at: Option<Moment>,
    delivered: Cost,
    /// True if its events came too slowly for its pause between the two latest reports.
    late: bool,
}

/// The streams of an engine, and whether they keep their pauses.
#[derive(Debug, Default)]
pub(super) struct StreamPauses {
    /// Tokens in one event; zero if unknown, which disables all limits.
    event_tokens: u32,
    streams: Vec<RunningStream>,
    shortest: Option<Duration>,
    /// The time that the steps of one event take without prefill; `None` before the first observation.
    event_time: Option<Duration>,
    /// When the engine was first found behind since its last grant; `None` if it isn't behind.
    behind_since: Option<Moment>,
}

impl RunningStream {
    /// True if it gets less than one event per pause.
    fn is_behind(&self, now: Moment) -> bool {
        let silence = REPORT_INTERVAL.saturating_add(self.pause.saturating_mul(SILENT_PAUSES));
        self.reported_at.is_some_and(|at| self.late || now.since(at) > silence)
    }
}

impl StreamPauses {
    /// Sets the number of tokens in one event.
    pub fn set_event_tokens(&mut self, event_tokens: u32) {
        self.event_tokens = event_tokens;
    }

    /// Adds a granted request.
    pub fn add(&mut self, request: RequestId, pause: Option<Duration>) {
        self.behind_since = None;
        let Some(pause) = pause.filter(|_| self.event_tokens > 0) else { return };
        self.streams.push(RunningStream {
            request,
            pause,
            reported_at: None,
            delivered: Cost(0),
            late: false,
        });
        self.update_shortest();
    }

    /// Records the first event of a request or its later progress; true if it is a stream with a pause.
    pub fn note_progress(&mut self, now: Moment, request: RequestId, delivered: Cost) -> bool {
        let event_cost = u64::from(self.event_tokens) * TOKEN_COST;
        let Some(stream) = self.streams.iter_mut().find(|stream| stream.request == request) else {
            return false;
        };
        let mut observed = None;
        if let Some(reported_at) = stream.reported_at {
            let events = (delivered.saturating_sub(stream.delivered).0 / event_cost.max(1)).max(1);
            let allowed = stream.pause.saturating_mul(u32::try_from(events).unwrap_or(u32::MAX));
            let took = now.since(reported_at);
            stream.late = took > allowed;
            observed = Some(took / u32::try_from(events).unwrap_or(u32::MAX));
        }
        stream.reported_at = Some(now);
        stream.delivered = delivered;
        if let Some(observed) = observed {
            self.note_event_time(observed);
        }
        true
    }

    /// Removes a request; true if it was a stream with a pause.
    pub fn remove(&mut self, request: RequestId) -> bool {
        let before = self.streams.len();
        self.streams.retain(|stream| stream.request != request);
        self.update_shortest();
        self.streams.len() < before
    }

    /// True if a stream has had its first event.
    pub fn has_begun(&self) -> bool {
        self.streams.iter().any(|stream| stream.reported_at.is_some())
    }

    /// The most prefill work between two events that keeps all pauses, also in a slow period; `None` without
    /// streams.
    pub fn prefill_limit(&self, rate: &PrefillRate) -> Option<Duration> {
        self.shortest.map(|pause| self.limit_for(pause, rate))
    }

    /// The time for events of the streams that interrupts this much prefill work of waiting tickets.
    /// `prefill_limit` is the current one.
    pub fn gaps_within(
        &self,
        prefill: Duration,
        prefill_limit: Option<Duration>,
        rate: &PrefillRate,
    ) -> Duration {
        let Some(limit) = prefill_limit.filter(|limit| !limit.is_zero()) else {
            return Duration::ZERO;
        };
        self.event_time(rate).mul_f64(prefill.div_duration_f64(limit).floor())
    }

    /// True if this much prefill work without a first event leaves no room for another prompt.
    pub fn is_filled(&self, unanswered: Duration, rate: &PrefillRate) -> bool {
        self.prefill_limit(rate).is_some_and(|limit| unanswered > limit * OPEN_PERCENT / 100)
    }

    /// The expected number of streams that break their pause, in percent of a stream, if the engine
    /// prefills this much between two events. `prefill_limit` is the current one.
    pub fn expected_breaks(
        &self,
        prefill: Duration,
        prefill_limit: Option<Duration>,
        rate: &PrefillRate,
    ) -> u64 {
        if prefill_limit.is_none_or(|limit| prefill <= limit) {
            return 0;
        }
        let breaks = self.streams.iter().map(|stream| match prefill {
            _ if prefill <= self.limit_for(stream.pause, rate) => 0,
            _ if prefill + self.event_time(rate) <= stream.pause => POSSIBLE_BREAK_PERCENT,
            _ => CERTAIN_BREAK_PERCENT,
        });
        breaks.sum()
    }

    /// True if at least half of the streams get less than one event per pause. Prefill delays all streams
    /// of an engine alike; a few late ones are put down to their routers.
    pub fn is_behind(&self, now: Moment) -> bool {
        let begun = self.streams.iter().filter(|stream| stream.reported_at.is_some()).count();
        let behind = self.streams.iter().filter(|stream| stream.is_behind(now)).count();
        behind > 0 && behind * 2 >= begun
    }

    /// Until when the engine gets nothing new because it is behind; `None` if it may get a prompt.
    pub fn closed_until(&mut self, now: Moment) -> Option<Moment> {
        if !self.is_behind(now) {
            self.behind_since = None;
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        Some(since + MAX_CLOSED).filter(|until| now < *until)
    }

    /// Moves the time per event towards a low quantile of the observations.
    fn note_event_time(&mut self, observed: Duration) {
        let time = self.event_time.unwrap_or(observed);
        let part = if observed > time { EVENT_TIME_QUANTILE } else { 1.0 - EVENT_TIME_QUANTILE };
        let step = time.mul_f64(EVENT_TIME_STEP * part);
        let moved = if observed > time { (time + step).min(observed) } else { (time - step).max(observed) };
        self.event_time = Some(moved);
    }

    /// The time that the steps of one event take without prefill. Before it is known, the latency of first
    /// events, which contains it.
    fn event_time(&self, rate: &PrefillRate) -> Duration {
        self.event_time.map_or(rate.latency(), |time| time.min(rate.latency()))
    }

    /// How long after its start a stretch of this much prefill surely is done, and so is one event of each
    /// stream after it. The next prompt may begin then even if the report of the first event is still
    /// on its way.
    pub fn time_until_answered(&self, prefill: Duration, rate: &PrefillRate) -> Duration {
        (prefill + self.event_time(rate)).mul_f64(slowdown(rate))
    }

    /// The most prefill work between two events of a stream with this pause.
    fn limit_for(&self, pause: Duration, rate: &PrefillRate) -> Duration {
        let limit = pause.div_f64(slowdown(rate)).saturating_sub(self.event_time(rate));
        limit.max(pause / MIN_LIMIT_DIVISOR)
    }

    fn update_shortest(&mut self) {
        self.shortest = self.streams.iter().map(|stream| stream.pause).min();
    }
}

/// The factor by which prefill may take longer than learnt.
fn slowdown(rate: &PrefillRate) -> f64 {
    let (least, most) = SLOWDOWN_RANGE;
    (1.0 + DEVIATIONS * rate.spread()).clamp(least, most)
}
