//! Records the demand and the service of each customer, and finds starved customers.

use std::ops::Range;
use std::time::Duration;

/// The number of seconds over which shares are compared.
const WINDOW_SECONDS: usize = 6;
/// A shortfall of up to this many of the largest requests is tolerated.
const TOLERATED_REQUESTS: u64 = 3;
/// The number of refused callers needed for a mean.
const MIN_REFUSALS: u32 = 20;

/// Tokens of one customer in one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondFlow {
    demand: u64,
    begun: u64,
    /// True when a request was refused or waited past its objective.
    has_unserved: bool,
}

/// The demand and the service of each customer in each second.
#[derive(Debug)]
pub struct ShareRecord {
    customers: Vec<Vec<SecondFlow>>,
    largest: u64,
    /// Times of refusals and the retry delays that they stated.
    retry_delays: Vec<(Duration, Duration)>,
}

impl ShareRecord {
    pub fn new(customers: usize, length: Duration) -> ShareRecord {
        let seconds = usize::try_from(length.as_secs()).expect("a short run") + 1;
        ShareRecord {
            customers: vec![vec![SecondFlow::default(); seconds]; customers],
            largest: 0,
            retry_delays: Vec::new(),
        }
    }

    pub fn record_demand(&mut self, now: Duration, customer: usize, tokens: u64) {
        self.flow(now, customer).demand += tokens;
        self.largest = self.largest.max(tokens);
    }

    pub fn record_begun(&mut self, now: Duration, customer: usize, tokens: u64) {
        self.flow(now, customer).begun += tokens;
    }

    pub fn mark_unserved(&mut self, now: Duration, customer: usize) {
        self.flow(now, customer).has_unserved = true;
    }

    /// Records the retry delay that a refusal states.
    pub fn record_retry_delay(&mut self, now: Duration, retry_after: Duration) {
        self.retry_delays.push((now, retry_after));
    }

    /// The mean retry delay of the callers refused in `span`; `None` for fewer than [`MIN_REFUSALS`].
    pub fn mean_retry_delay(&self, span: Range<Duration>) -> Option<Duration> {
        let delays: Vec<Duration> =
            self.retry_delays.iter().filter(|(at, _)| span.contains(at)).map(|(_, delay)| *delay).collect();
        let count = u32::try_from(delays.len()).expect("a short run");
        (count >= MIN_REFUSALS).then(|| delays.iter().sum::<Duration>() / count)
    }

    /// Describes the customers that had an unserved request in each second of a window and got less than
    /// half of what they were owed: second by second, their demand or what the best served customer got,
    /// whichever is less. A shortfall of [`TOLERATED_REQUESTS`] of the largest requests is tolerated.
    pub fn starved(&self) -> Vec<String> {
        let seconds = self.customers.first().map_or(0, Vec::len) - 1;
        let windows = (1..=seconds - WINDOW_SECONDS).map(|start| start..start + WINDOW_SECONDS);
        let mut found = Vec::new();
        for window in windows {
            let begun = |flows: &[SecondFlow]| flows.iter().map(|flow| flow.begun).sum::<u64>();
            let spans = || self.customers.iter().map(|flows| &flows[window.clone()]);
            let Some(best) = spans().max_by_key(|flows| begun(flows)) else { continue };
            for (customer, flows) in spans().enumerate() {
                let owed: u64 = flows.iter().zip(best).map(|(own, best)| own.demand.min(best.begun)).sum();
                let got_or_tolerated = begun(flows) + TOLERATED_REQUESTS * self.largest;
                if flows.iter().all(|flow| flow.has_unserved) && got_or_tolerated < owed / 2 {
                    let start = window.start;
                    let (got, most) = (begun(flows), begun(best));
                    found
                        .push(format!("from {start} s customer {customer} got {got} of {owed}, best {most}"));
                }
            }
        }
        found
    }

    fn flow(&mut self, now: Duration, customer: usize) -> &mut SecondFlow {
        let second = usize::try_from(now.as_secs()).expect("a short run");
        let flows = &mut self.customers[customer];
        let last = flows.len() - 1;
        &mut flows[second.min(last)]
    }
}
