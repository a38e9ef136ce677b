//! Endpoint records.

use micaspool_types::{EndpointName, HallName, Incarnation, ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The lifecycle stage of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum EndpointStage {
    /// The endpoint accepts requests.
    Serving,
    /// The endpoint finishes running requests and accepts no new ones.
    Draining,
    /// The endpoint has deregistered.
    Left,
}

impl EndpointStage {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointStage::Serving => "serving",
            EndpointStage::Draining => "draining",
            EndpointStage::Left => "left",
        }
    }
}

/// The state that an endpoint reports about itself.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The name of this start of the endpoint. It is unique to the start, so that nothing recorded under it carries
    /// over to the next start.
    pub name: EndpointName,
    /// The endpoint's own name, which all its starts share.
    pub identity: EndpointName,
    /// The number of the start, higher for each later one; zero for an endpoint that does not distinguish its starts.
    pub incarnation: Incarnation,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The data hall that the endpoint is in.
    pub hall: HallName,
    /// The version of its software.
    pub version: SoftwareVersion,
    /// The number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// The lifecycle stage.
    pub stage: EndpointStage,
    /// Increases with each record of this start.
    pub sequence: u64,
    /// How much longer the endpoint is cold and can take only few requests, counted from when the record is sent; zero
    /// once it is warm.
    pub cold: Duration,
}
