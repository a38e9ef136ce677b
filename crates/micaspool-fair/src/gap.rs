//! The fairness gap between backlogged customers.

use micaspool_types::{Cost, HallMask, Weight};

/// The fairness gaps of one run, in units of cost at weight 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GapReport {
    /// The largest gap of any pair over any span in which both were backlogged.
    pub largest: f64,
    /// The 99th percentile of the sampled gaps.
    pub percentile_99: f64,
    /// The number of samples.
    pub samples: usize,
}

/// Measures the fairness gap.
///
/// For two customers with the same allowed data halls, over any span in which both wait without a break, the
/// gap is the difference of the service that they received in that span, each divided by its weight. The
/// meter tracks the highest and lowest difference of each pair since both began to wait; the current gap is
/// the largest such spread over all pairs.
#[derive(Debug)]
pub struct GapMeter {
    customers: Vec<MeteredCustomer>,
    spans: Vec<Option<PairSpan>>,
    largest: f64,
    current: f64,
    samples: Vec<f64>,
}

#[derive(Debug)]
/// A customer and its service, divided by its weight.
struct MeteredCustomer {
    halls: HallMask,
    weight: f64,
    received: f64,
    waiting: bool,
}

#[derive(Clone, Copy, Debug)]
/// The range of the difference of a pair's service since both began to wait.
struct PairSpan {
    low: f64,
    high: f64,
}

impl GapMeter {
    /// Creates a meter for customers with these weights and allowed halls.
    pub fn new(customers: &[(Weight, HallMask)]) -> GapMeter {
        let metered = customers.iter().map(|(weight, halls)| MeteredCustomer {
            halls: *halls,
            weight: f64::from(weight.get()),
            received: 0.0,
            waiting: false,
        });
        GapMeter {
            customers: metered.collect(),
            spans: vec![None; customers.len() * customers.len()],
            largest: 0.0,
            current: 0.0,
            samples: Vec::new(),
        }
    }

    /// Sets whether a customer has waiting requests from now on.
    pub fn set_waiting(&mut self, customer: usize, waiting: bool) {
        if self.customers[customer].waiting == waiting {
            return;
        }
        self.customers[customer].waiting = waiting;
        for other in 0..self.customers.len() {
            let both = waiting && self.customers[other].waiting && self.same_halls(customer, other);
            let (low, high) = (customer.min(other), customer.max(other));
            let start = self.difference(low, high);
            let span = (both && other != customer).then_some(PairSpan { low: start, high: start });
            let pair_index = self.pair_index(low, high);
            self.spans[pair_index] = span;
        }
    }

    /// Records service that a customer received.
    pub fn record_service(&mut self, customer: usize, cost: Cost) {
        let weight = self.customers[customer].weight;
        self.customers[customer].received += cost.0 as f64 / weight;
        for other in 0..self.customers.len() {
            let (low, high) = (customer.min(other), customer.max(other));
            let difference = self.difference(low, high);
            let pair_index = self.pair_index(low, high);
            if let Some(span) = &mut self.spans[pair_index] {
                span.low = span.low.min(difference);
                span.high = span.high.max(difference);
                self.current = self.current.max(span.high - span.low);
            }
        }
        self.largest = self.largest.max(self.current);
    }

    /// Adds the current gap to the samples.
    pub fn sample(&mut self) {
        let spreads = self.spans.iter().flatten().map(|span| span.high - span.low);
        self.current = spreads.fold(0.0, f64::max);
        self.samples.push(self.current);
    }

    /// Returns the gaps measured so far.
    pub fn report(&self) -> GapReport {
        let mut sorted = self.samples.clone();
        sorted.sort_by(f64::total_cmp);
        let rank = (sorted.len() * 99 / 100).min(sorted.len().saturating_sub(1));
        GapReport {
            largest: self.largest,
            percentile_99: sorted.get(rank).copied().unwrap_or(0.0),
            samples: sorted.len(),
        }
    }

    fn same_halls(&self, one: usize, other: usize) -> bool {
        self.customers[one].halls == self.customers[other].halls
    }

    fn difference(&self, low: usize, high: usize) -> f64 {
        self.customers[low].received - self.customers[high].received
    }

    fn pair_index(&self, low: usize, high: usize) -> usize {
        low * self.customers.len() + high
    }
}
