//! Collects the measurements of a replay.

use super::endpoints::FakeEndpoints;
use super::wire::WireCounter;
use super::ReplayOptions;
use crate::trace::RecordedTrace;
use micaspool_fair::{GapMeter, GapReport};
use micaspool_types::{Cost, HallMask, Moment, Weight};
use serde::Serialize;

/// The results of a replay.
#[derive(Clone, Debug, Serialize)]
pub struct ReplayReport {
    /// The name of the trace.
    pub trace: String,
    /// The name of the policy.
    pub policy: String,
    /// The largest fairness gap, in units of the largest cost of a single request.
    pub gap_largest: f64,
    /// The 99th percentile of the sampled gaps, in the same unit.
    pub gap_p99: f64,
    /// The busy share of the slot time, over the halls in which waiting requests may run.
    pub utilisation: f64,
    /// Control bytes per request of the trace.
    pub control_bytes: f64,
    /// Control messages per request of the trace.
    pub control_messages: f64,
    /// Requests that completed.
    pub done: u64,
    /// Requests that the dispatcher refused, or whose last attempt failed.
    pub refused: u64,
    /// Requests that had neither completed nor been refused when the replay ended. Anything but zero is a
    /// defect.
    pub unfinished: u64,
    /// Attempts that failed and were queued again.
    pub retries: u64,
    /// Attempts sent to endpoints, per request of the trace.
    pub sent_ratio: f64,
    /// The share of started attempts whose longest prefix was cached at their endpoint.
    pub prefix_hits: f64,
    /// The time from the last loss of a dispatcher to the next grant that a router used, in milliseconds.
    pub recovery_millis: Option<f64>,
    /// The size of the hello messages to all dispatchers that followed a lost one, in bytes.
    pub recovery_bytes: Option<u64>,
    /// The largest fairness gap since the last loss of a dispatcher, in units of the largest single cost.
    pub recovery_gap: Option<f64>,
}

#[derive(Debug)]
pub(super) struct Measures {
    customers: Vec<(Weight, HallMask)>,
    meter: GapMeter,
    recovery_meter: Option<GapMeter>,
    waiting: Vec<i64>,
    busy_micros: u128,
    slot_micros: u128,
    pub done: u64,
    pub refused: u64,
    pub unfinished: u64,
    pub retries: u64,
    pub sent: u64,
    prefix_hits: u64,
    prefix_lookups: u64,
    lost_at: Option<Moment>,
    recovered_at: Option<Moment>,
    recovery_bytes: u64,
}

impl Measures {
    pub fn new(trace: &RecordedTrace) -> Measures {
        let weight = |weight: u32| Weight::new(weight).unwrap_or(Weight::ONE);
        let customers: Vec<(Weight, HallMask)> =
            trace.header.customers.iter().map(|c| (weight(c.weight), HallMask(c.halls))).collect();
        Measures {
            meter: GapMeter::new(&customers),
            recovery_meter: None,
            waiting: vec![0; customers.len()],
            customers,
            busy_micros: 0,
            slot_micros: 0,
            done: 0,
            refused: 0,
            unfinished: 0,
            retries: 0,
            sent: 0,
            prefix_hits: 0,
            prefix_lookups: 0,
            lost_at: None,
            recovered_at: None,
            recovery_bytes: 0,
        }
    }

    /// Adds the busy and total slot time between two events, over the halls in which waiting requests may run.
    pub fn record_interval(&mut self, from: Moment, to: Moment, halls: HallMask, endpoints: &FakeEndpoints) {
        let (busy, slots) = endpoints.slots_in(halls.0);
        let micros = to.since(from).as_micros();
        self.busy_micros += micros * u128::from(busy);
        self.slot_micros += micros * u128::from(slots);
    }

    /// Changes the number of waiting requests of a customer.
    pub fn change_waiting(&mut self, customer: usize, change: i64) {
        self.waiting[customer] += change;
        let waits = self.waiting[customer] > 0;
        self.meter.set_waiting(customer, waits);
        if let Some(meter) = &mut self.recovery_meter {
            meter.set_waiting(customer, waits);
        }
    }

    pub fn record_service(&mut self, customer: usize, cost: Cost) {
        self.meter.record_service(customer, cost);
        if let Some(meter) = &mut self.recovery_meter {
            meter.record_service(customer, cost);
        }
    }

    /// Samples the fairness gap if more than one customer has waiting requests.
    pub fn sample(&mut self) {
        if self.waiting.iter().filter(|count| **count > 0).count() > 1 {
            self.meter.sample();
        }
    }

    pub fn record_prefix(&mut self, is_hit: bool) {
        self.prefix_lookups += 1;
        self.prefix_hits += u64::from(is_hit);
    }

    /// Starts to measure the recovery from a lost dispatcher.
    pub fn record_dispatcher_loss(&mut self, now: Moment) {
        self.lost_at = Some(now);
        self.recovered_at = None;
        let mut meter = GapMeter::new(&self.customers);
        for (customer, count) in self.waiting.iter().enumerate() {
            meter.set_waiting(customer, *count > 0);
        }
        self.recovery_meter = Some(meter);
    }

    /// Ends the recovery time at the first grant after a lost dispatcher.
    pub fn record_grant(&mut self, now: Moment) {
        if self.lost_at.is_some() && self.recovered_at.is_none() {
            self.recovered_at = Some(now);
        }
    }

    /// Adds the size of a hello message if a dispatcher was lost before.
    pub fn record_hello(&mut self, bytes: u64) {
        if self.lost_at.is_some() {
            self.recovery_bytes += bytes;
        }
    }

    pub fn report(&self, options: &ReplayOptions, trace: &RecordedTrace, wire: &WireCounter) -> ReplayReport {
        let unit = trace.largest_cost() as f64;
        let requests = trace.requests.len().max(1) as f64;
        let GapReport { largest, percentile_99, .. } = self.meter.report();
        let recovery = self.lost_at.zip(self.recovered_at);
        ReplayReport {
            trace: trace.header.name.clone(),
            policy: options.policy.clone(),
            gap_largest: largest / unit,
            gap_p99: percentile_99 / unit,
            utilisation: self.busy_micros as f64 / self.slot_micros.max(1) as f64,
            control_bytes: wire.bytes as f64 / requests,
            control_messages: wire.messages as f64 / requests,
            done: self.done,
            refused: self.refused,
            unfinished: self.unfinished,
            retries: self.retries,
            sent_ratio: self.sent as f64 / requests,
            prefix_hits: self.prefix_hits as f64 / self.prefix_lookups.max(1) as f64,
            recovery_millis: recovery.map(|(lost, granted)| granted.since(lost).as_secs_f64() * 1_000.0),
            recovery_bytes: self.lost_at.map(|_| self.recovery_bytes),
            recovery_gap: self.recovery_meter.as_ref().map(|meter| meter.report().largest / unit),
        }
    }
}
