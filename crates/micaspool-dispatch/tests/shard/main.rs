//! Tests of the shard core under faults, in simulated time.

mod advice;
mod bound;
mod capacity;
mod choice;
mod closing;
mod cold;
mod engine_objectives;
mod engines;
mod evacuation;
mod failure_tolerance;
mod faults;
mod harness;
mod herding;
mod limits;
mod objectives;
mod outage;
mod pace;
mod poison;
mod recovery;
mod regions;
mod reports;
mod scaling;
mod scarcity;
mod service_lead;
mod suspects;
mod throttling;
