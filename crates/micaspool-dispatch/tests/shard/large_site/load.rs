//! Random plans of the load of a large site.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The prefill rate of an engine, in tokens per second.
pub const PACE_PER_SECOND: f64 = 51_000.0;
/// When the first engine is lost.
pub const LOSS_AT: Duration = Duration::from_secs(5);
pub const LENGTH: Duration = Duration::from_secs(14);
/// What the customer with the largest load asks for, of what all ask for.
const LARGEST_PART: f64 = 0.34;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// The part of all requests that are of this kind.
    pub part: f64,
    /// Mean number of tokens of a shared part.
    pub shared_tokens: f64,
    /// Mean number of tokens that only this prompt has.
    pub own_tokens: f64,
    pub objective: Duration,
    /// The time from the first event to the end of the run, at most.
    pub run: Duration,
}

pub const KINDS: [RequestKind; 3] = [
    RequestKind {
        part: 0.2,
        shared_tokens: 13_000.0,
        own_tokens: 3_700.0,
        objective: Duration::from_millis(1_000),
        run: Duration::from_millis(1_200),
    },
    RequestKind {
        part: 0.3,
        shared_tokens: 6_300.0,
        own_tokens: 2_900.0,
        objective: Duration::from_millis(800),
        run: Duration::from_millis(600),
    },
    RequestKind {
        part: 0.5,
        shared_tokens: 350.0,
        own_tokens: 1_100.0,
        objective: Duration::from_millis(600),
        run: Duration::from_millis(1_400),
    },
];

/// The load of one customer.
#[derive(Clone, Copy, Debug)]
pub struct CustomerLoad {
    /// Requests per second.
    pub rate: f64,
    /// The number of shared parts of each kind.
    pub parts: u64,
}

/// The load and the lost engines of one run.
#[derive(Clone, Debug)]
pub struct SitePlan {
    pub engines: usize,
    /// How many engines are lost one after the other.
    pub lost: usize,
    pub gap: Duration,
    /// How long each engine is lost.
    pub absence: Duration,
    pub routers: u64,
    /// The prompt tokens asked for, as a multiple of what the engines prefill.
    pub demand: f64,
    /// The largest load is the first.
    pub customers: Vec<CustomerLoad>,
}

impl SitePlan {
    pub fn draw(seed: u64) -> SitePlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let engines: usize = rng.random_range(100..=200);
        let demand = rng.random_range(1.0..=2.0);
        let count: usize = rng.random_range(5..=16);
        let mean: f64 = KINDS.iter().map(|kind| kind.part * (kind.shared_tokens + kind.own_tokens)).sum();
        let rate = demand * engines as f64 * PACE_PER_SECOND / mean;
        let weights: Vec<f64> = (0..count).map(|_| rng.random_range(0.1..2.0)).collect();
        let all: f64 = weights.iter().sum();
        let others = weights.iter().map(|weight| (1.0 - LARGEST_PART) * weight / all);
        let parts: Vec<f64> = std::iter::once(LARGEST_PART).chain(others).collect();
        let load = |part: f64| CustomerLoad { rate: rate * part, parts: rng.random_range(10..=120) };
        SitePlan {
            engines,
            demand,
            customers: parts.into_iter().map(load).collect(),
            lost: rng.random_range(0..=engines / 5),
            gap: Duration::from_millis(rng.random_range(0..=40)),
            absence: Duration::from_millis(rng.random_range(1_000..=4_000)),
            routers: 24,
        }
    }

    /// Describes the plan in failure messages.
    pub fn describe(&self) -> String {
        let (lost, engines, demand, absence) = (self.lost, self.engines, self.demand, self.absence);
        let customers = self.customers.len();
        format!("demand {demand:.2}, {customers} customers, {lost} of {engines} engines lost for {absence:?}")
    }
}
