//! What an endpoint says of itself.

use micaspool_types::{EndpointName, HallName, Incarnation, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Where an endpoint stands in its life.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum EndpointStage {
    /// It takes requests.
    Serving,
    /// It finishes what runs and takes nothing new.
    Draining,
    /// It has said goodbye.
    Left,
}

impl EndpointStage {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointStage::Serving => "serving",
            EndpointStage::Draining => "draining",
            EndpointStage::Left => "left",
        }
    }
}

/// One record of an endpoint.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The name of this start of the endpoint. No other start has it, so nothing that is known of one under its name is
    /// believed of the next.
    pub name: EndpointName,
    /// The name that the endpoint itself goes by, which all its starts share.
    pub identity: EndpointName,
    /// Higher for each later start; zero for an endpoint that does not tell its starts apart.
    pub incarnation: Incarnation,
    /// The service that it offers.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: HallName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Where it stands in its life.
    pub stage: EndpointStage,
    /// Rises with each record of this endpoint.
    pub sequence: u64,
    /// How much longer it is cold and bears few requests, from when the record is told; zero once it is warm.
    pub cold: Duration,
}
