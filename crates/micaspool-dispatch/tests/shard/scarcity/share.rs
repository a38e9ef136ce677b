//! Who got how much of what was asked for, and who was starved.

use std::ops::Range;
use std::time::Duration;

/// Over how many seconds shares are compared.
const WINDOW: usize = 6;
/// How many of the largest requests one may have less.
const SPARED_REQUESTS: u64 = 3;
/// Of how many refused callers a mean is taken.
const LEAST_TOLD: u32 = 20;

/// One customer in one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondFlow {
    asked: u64,
    begun: u64,
    /// True when a request was refused or waited past its objective.
    unserved: bool,
}

/// What each customer asked for and got, by seconds.
#[derive(Debug)]
pub struct ShareRecord {
    customers: Vec<Vec<SecondFlow>>,
    largest: u64,
    /// When refused callers were told to come back after how long.
    told: Vec<(Duration, Duration)>,
}

impl ShareRecord {
    pub fn new(customers: usize, length: Duration) -> ShareRecord {
        let seconds = usize::try_from(length.as_secs()).expect("a short day") + 1;
        ShareRecord {
            customers: vec![vec![SecondFlow::default(); seconds]; customers],
            largest: 0,
            told: Vec::new(),
        }
    }

    pub fn ask(&mut self, now: Duration, customer: usize, tokens: u64) {
        self.flow(now, customer).asked += tokens;
        self.largest = self.largest.max(tokens);
    }

    pub fn begin(&mut self, now: Duration, customer: usize, tokens: u64) {
        self.flow(now, customer).begun += tokens;
    }

    pub fn leave_unserved(&mut self, now: Duration, customer: usize) {
        self.flow(now, customer).unserved = true;
    }

    /// A refused caller is told when to come back.
    pub fn tell(&mut self, now: Duration, retry_after: Duration) {
        self.told.push((now, retry_after));
    }

    /// The mean of what callers were told in a span; `None` where hardly any was refused.
    pub fn mean_told(&self, span: Range<Duration>) -> Option<Duration> {
        let told: Vec<Duration> =
            self.told.iter().filter(|(at, _)| span.contains(at)).map(|(_, told)| *told).collect();
        let count = u32::try_from(told.len()).expect("a short day");
        (count >= LEAST_TOLD).then(|| told.iter().sum::<Duration>() / count)
    }

    /// The customers that were refused in each second of a window and got less than half of what they asked for or the
    /// best served got, whichever is less, second by second.
    pub fn starved(&self) -> Vec<String> {
        let seconds = self.customers.first().map_or(0, Vec::len) - 1;
        let windows = (1..=seconds - WINDOW).map(|start| start..start + WINDOW);
        let mut found = Vec::new();
        for window in windows {
            let begun = |flows: &[SecondFlow]| flows.iter().map(|flow| flow.begun).sum::<u64>();
            let spans = || self.customers.iter().map(|flows| &flows[window.clone()]);
            let Some(best) = spans().max_by_key(|flows| begun(flows)) else { continue };
            for (customer, flows) in spans().enumerate() {
                let owed: u64 = flows.iter().zip(best).map(|(own, best)| own.asked.min(best.begun)).sum();
                let spared = begun(flows) + SPARED_REQUESTS * self.largest;
                if flows.iter().all(|flow| flow.unserved) && spared < owed / 2 {
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
        let second = usize::try_from(now.as_secs()).expect("a short day");
        let flows = &mut self.customers[customer];
        let last = flows.len() - 1;
        &mut flows[second.min(last)]
    }
}
