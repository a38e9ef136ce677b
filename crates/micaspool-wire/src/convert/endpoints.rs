//! Conversions of endpoint records.

use super::{millis, Error};
use crate::v1;
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_types::{EndpointName, HallName, Incarnation, ServiceName, SoftwareVersion};
use std::time::Duration;

/// Encodes an endpoint's record.
pub fn endpoint_message(record: &EndpointRecord) -> v1::EndpointNews {
    let stage = match record.stage {
        EndpointStage::Serving => v1::EndpointStage::EndpointServing,
        EndpointStage::Draining => v1::EndpointStage::EndpointDraining,
        EndpointStage::Left => v1::EndpointStage::EndpointLeft,
    };
    v1::EndpointNews {
        name: record.name.to_string(),
        service: record.service.to_string(),
        address: record.address.to_string(),
        hall: record.hall.to_string(),
        slots: record.slots,
        stage: stage.into(),
        sequence: record.sequence,
        identity: record.identity.to_string(),
        incarnation: record.incarnation.0,
        cold_millis: millis(record.cold),
        software_version: record.version.to_string(),
    }
}

/// Decodes an endpoint's record. Without an identity, the name of the endpoint is its identity.
pub fn endpoint_record(message: &v1::EndpointNews) -> Result<EndpointRecord, Error> {
    let stage = match message.stage() {
        v1::EndpointStage::EndpointServing => EndpointStage::Serving,
        v1::EndpointStage::EndpointDraining => EndpointStage::Draining,
        v1::EndpointStage::EndpointLeft => EndpointStage::Left,
    };
    let identity = if message.identity.is_empty() { &message.name } else { &message.identity };
    Ok(EndpointRecord {
        name: EndpointName::parse(&message.name)?,
        identity: EndpointName::parse(identity)?,
        incarnation: Incarnation(message.incarnation),
        service: ServiceName::parse(&message.service)?,
        address: message.address.parse().map_err(|_| Error::Address)?,
        hall: HallName::parse(&message.hall)?,
        version: SoftwareVersion::new(&message.software_version),
        slots: message.slots,
        stage,
        sequence: message.sequence,
        cold: Duration::from_millis(message.cold_millis),
    })
}
