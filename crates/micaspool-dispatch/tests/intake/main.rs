//! Tests of the inputs of a shard that wait to be handled, in simulated time.

mod driver;
mod fixtures;
mod order;
mod overload;
mod review;
mod shares;
