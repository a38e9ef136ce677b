//! Generates traces from a seed, at the sizes of the two example deployments.

use crate::trace::{RecordedTrace, TraceCustomer, TraceHeader, TraceRequest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The parameters of a generated trace.
#[derive(Clone, Debug)]
pub struct GenerateOptions {
    /// The name of the trace.
    pub name: String,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The time during which requests arrive, in seconds.
    pub seconds: u64,
    /// The number of customers, including the large ones, which come first.
    pub customers: usize,
    /// The number of large customers. They flood during the middle third: their arrival rate rises fivefold.
    pub large_customers: usize,
    /// The number of endpoints.
    pub endpoints: usize,
    /// The number of routers.
    pub routers: usize,
    /// The offered load outside the flood, in percent of the capacity.
    pub load_percent: u64,
    /// The share of long requests, in percent.
    pub long_percent: u32,
}

impl GenerateOptions {
    /// The milk collector: 30 % long letters, otherwise short questions.
    pub fn milk() -> GenerateOptions {
        GenerateOptions {
            name: "milk".to_owned(),
            seed: 1,
            seconds: 240,
            customers: 16,
            large_customers: 3,
            endpoints: 9,
            routers: 9,
            load_percent: 85,
            long_percent: 30,
        }
    }

    /// The kiln bookings: mostly short chats and 12 % long schedules.
    pub fn kilns() -> GenerateOptions {
        GenerateOptions {
            name: "kilns".to_owned(),
            seed: 2,
            seconds: 120,
            customers: 16,
            large_customers: 3,
            endpoints: 9,
            routers: 8,
            load_percent: 80,
            long_percent: 12,
        }
    }
}

const HALL_COUNT: usize = 3;
const SLOTS_PER_ENDPOINT: u32 = 8;
const UNIT_MICROS: u64 = 5_000;
const WIRE_MICROS: u64 = 500;
/// The cost range of long requests, in units.
const LONG_COSTS: (u64, u64) = (1_500, 6_000);
/// The cost range of short requests, in units.
const SHORT_COSTS: (u64, u64) = (30, 400);
/// Hints are too high or too low by up to this factor.
const MAX_HINT_FACTOR: f64 = 4.0;
/// The factor by which the arrival rate of a large customer rises during the flood.
const FLOOD_FACTOR: u64 = 5;
const CONVERSATIONS_PER_CUSTOMER: u64 = 6;

/// Generates a trace. Equal options give equal traces.
pub fn generate(options: &GenerateOptions) -> RecordedTrace {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let customers = (0..options.customers).map(|number| trace_customer(options, number)).collect();
    let header = TraceHeader {
        name: options.name.clone(),
        halls: HALL_COUNT,
        endpoints: options.endpoints,
        slots: SLOTS_PER_ENDPOINT,
        unit_micros: UNIT_MICROS,
        routers: options.routers,
        wire_micros: WIRE_MICROS,
        customers,
    };
    let mut requests = Vec::new();
    for number in 0..options.customers {
        generate_arrivals(options, number, &mut rng, &mut requests);
    }
    requests.sort_by_key(|request| request.at_millis);
    RecordedTrace { header, requests }
}

/// Every eighth customer is restricted to one data hall; the others may use all of them.
fn trace_customer(options: &GenerateOptions, number: usize) -> TraceCustomer {
    let all_halls = (1 << HALL_COUNT) - 1;
    let is_restricted = number % 8 == 7;
    TraceCustomer {
        name: format!("{}-{number:03}", options.name),
        weight: if number < options.large_customers { 2 } else { 1 },
        halls: if is_restricted { 1 << (number / 8 % HALL_COUNT) } else { all_halls },
    }
}

/// Adds the requests of a customer, with exponentially distributed times between arrivals.
fn generate_arrivals(
    options: &GenerateOptions,
    number: usize,
    rng: &mut ChaCha8Rng,
    requests: &mut Vec<TraceRequest>,
) {
    let is_large = number < options.large_customers;
    let capacity = options.endpoints as u64 * u64::from(SLOTS_PER_ENDPOINT) * 1_000_000 / UNIT_MICROS;
    let shares = (options.customers + 3 * options.large_customers) as u64;
    let share = if is_large { 4 } else { 1 };
    let units_per_second = capacity * options.load_percent * share / (100 * shares);
    let mean_cost = mean_cost(options);
    let end = options.seconds * 1_000;
    let mut at = 0.0;
    loop {
        let is_flooding = is_large && (at as u64) > end / 3 && (at as u64) < end * 2 / 3;
        let rate = units_per_second as f64 / mean_cost * if is_flooding { FLOOD_FACTOR as f64 } else { 1.0 };
        let uniform: f64 = rng.random_range(1e-9..1.0);
        at += -uniform.ln() * 1_000.0 / rate;
        if at as u64 >= end {
            return;
        }
        let range = if rng.random_range(0..100) < options.long_percent { LONG_COSTS } else { SHORT_COSTS };
        let cost = rng.random_range(range.0..=range.1);
        let hint_factor = MAX_HINT_FACTOR.powf(rng.random_range(-1.0..1.0));
        requests.push(TraceRequest {
            at_millis: at as u64,
            customer: number,
            router: skewed_router(options, number, rng),
            hint: (cost as f64 * hint_factor) as u64,
            cost,
            conversation: rng.random_range(0..CONVERSATIONS_PER_CUSTOMER),
        });
    }
}

/// The mean cost of a request in units, over long and short requests.
fn mean_cost(options: &GenerateOptions) -> f64 {
    let long = f64::from(options.long_percent) / 100.0;
    long * (LONG_COSTS.0 + LONG_COSTS.1) as f64 / 2.0
        + (1.0 - long) * (SHORT_COSTS.0 + SHORT_COSTS.1) as f64 / 2.0
}

/// Picks a router: three in four requests of a customer go to the same two routers, the rest to any.
fn skewed_router(options: &GenerateOptions, customer: usize, rng: &mut ChaCha8Rng) -> usize {
    if rng.random_range(0..4) < 3 {
        (customer + rng.random_range(0..2)) % options.routers
    } else {
        rng.random_range(0..options.routers)
    }
}
