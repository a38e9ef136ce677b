//! The control service of the core for operators and endpoints.

use micaspool_client::{FleetMirror, KeeperClient};
use micaspool_halls::{HallState, OrderVerdict};
use micaspool_keeper::RegistryHub;
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_routes::{FormatError, PlanFormat};
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{EndpointName, HallName};
use micaspool_wire::convert::{endpoint_message, order_verdict};
use micaspool_wire::v1;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// The maximum time for an order. Its caller tries another instance after one second.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);

/// The reason why an order failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderError {
    /// The plan is invalid.
    InvalidPlan(FormatError),
    /// No majority of keepers answered in time. The order may still come into force.
    NoMajority,
    /// No plan has been published yet.
    NoPlan,
    /// The data hall is unknown, or there are too many halls with orders. Contains the known halls.
    UnknownHall(Vec<HallName>),
    /// A contrary order was given in the meantime.
    Overtaken,
    /// This instance has not heard of the endpoint, though others may have.
    UnknownEndpoint,
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderError::InvalidPlan(error) => error.fmt(f),
            OrderError::NoMajority => f.write_str(
                "no majority of keepers answered in time; send the order again, here or elsewhere",
            ),
            OrderError::NoPlan => f.write_str("there is no plan yet; send one"),
            OrderError::UnknownHall(known) => {
                let known = known.iter().map(HallName::as_str).collect::<Vec<_>>().join(", ");
                write!(f, "no data hall has this name; send one of {known}")
            }
            OrderError::UnknownEndpoint => f.write_str(
                "the endpoint is not known here; send the order to another instance, or a heartbeat first",
            ),
            OrderError::Overtaken => f.write_str(
                "the contrary was ordered while this order was under way; send it again if it still holds",
            ),
        }
    }
}

impl std::error::Error for OrderError {}

/// Serves operators and endpoints on any core instance. Orders are passed on to the leading keeper;
/// endpoints register at the keeper of this instance.
#[derive(Debug, Clone)]
pub struct ControlService {
    client: Arc<KeeperClient>,
    /// The keeper of this instance.
    own: PeerAddress,
    hub: Arc<RegistryHub>,
    mirror: Arc<FleetMirror>,
    format: Arc<dyn PlanFormat>,
    /// The data halls named in the settings.
    halls: Vec<HallName>,
}

impl ControlService {
    /// Creates the control service of the instance whose keeper is `own`.
    pub fn new(
        client: Arc<KeeperClient>,
        own: PeerAddress,
        hub: Arc<RegistryHub>,
        mirror: Arc<FleetMirror>,
        format: Arc<dyn PlanFormat>,
    ) -> ControlService {
        ControlService { client, own, hub, mirror, format, halls: Vec::new() }
    }

    /// Sets the data halls that are named in the settings.
    pub fn with_halls(self, halls: Vec<HallName>) -> ControlService {
        ControlService { halls, ..self }
    }

    /// Evacuates a data hall or returns it to service. Returns the number of the order in force.
    pub async fn order_hall(
        &self,
        hall: &str,
        wanted: HallState,
        ordered_by: &str,
    ) -> Result<u64, OrderError> {
        // The latest order known on arrival of this one. However long this order is delayed, it then
        // cannot revert an order that was given after it.
        let known = self.mirror.hall_orders().newest_number();
        let hall = self.known_hall(hall)?;
        self.refresh_keepers();
        let request = v1::OrderHallRequest {
            hall: hall.to_string(),
            evacuate: wanted == HallState::Evacuated,
            known,
            ordered_by: ordered_by.to_owned(),
        };
        let reply = self.client.order_hall(request, ORDER_TIMEOUT).await;
        match reply.as_ref().ok().and_then(order_verdict) {
            Some(OrderVerdict::InForce(number)) => Ok(number),
            Some(OrderVerdict::Overtaken(_)) => Err(OrderError::Overtaken),
            Some(OrderVerdict::TooManyHalls) => Err(OrderError::UnknownHall(self.known_halls())),
            None => {
                let error = reply.err().map_or_else(|| "unknown verdict".to_owned(), |e| e.to_string());
                let fields = [
                    field("hall", &hall),
                    field("wanted", wanted.as_str()),
                    field("known", known),
                    field("error", error),
                ];
                record(&events::HALL_ORDER_UNCONFIRMED, &fields);
                Err(OrderError::NoMajority)
            }
        }
    }

    fn known_hall(&self, name: &str) -> Result<HallName, OrderError> {
        let known = self.known_halls();
        match known.iter().find(|hall| hall.as_str() == name) {
            Some(hall) => Ok(hall.clone()),
            None => Err(OrderError::UnknownHall(known)),
        }
    }

    /// Returns the data halls named in the settings, those of known endpoints, and those with orders.
    fn known_halls(&self) -> Vec<HallName> {
        let mut halls = self.halls.clone();
        halls.extend(self.mirror.halls());
        halls.extend(self.mirror.hall_orders().iter().map(|(hall, _)| hall.clone()));
        halls.sort();
        halls.dedup();
        halls
    }

    /// Publishes a plan. Returns the number of the plan in force afterwards, which is at least its own.
    pub async fn publish_plan(&self, text: &str) -> Result<u64, OrderError> {
        let offered = self.format.decode(text).map_err(|error| {
            record(&events::PLAN_REFUSED, &[field("error", &error)]);
            OrderError::InvalidPlan(error)
        })?;
        self.refresh_keepers();
        let request = v1::PublishRequest { number: offered.number, document: text.to_owned() };
        match self.client.publish(request, ORDER_TIMEOUT).await {
            Ok(reply) => {
                let fields = [field("number", offered.number), field("in_force", reply.in_force)];
                record(&events::PLAN_ACCEPTED, &fields);
                Ok(reply.in_force)
            }
            Err(error) => {
                record(&events::PLAN_UNCONFIRMED, &[field("number", offered.number), field("error", error)]);
                Err(OrderError::NoMajority)
            }
        }
    }

    /// Returns the text of the latest plan, confirmed by a majority.
    pub async fn read_plan(&self) -> Result<String, OrderError> {
        self.refresh_keepers();
        let reply = self.client.plan_confirmed(ORDER_TIMEOUT).await.map_err(|error| {
            record(&events::PLAN_UNCONFIRMED, &[field("order", "read"), field("error", error)]);
            OrderError::NoMajority
        })?;
        match reply.plan {
            Some(plan) if plan.number > 0 => Ok(plan.document),
            _ => Err(OrderError::NoPlan),
        }
    }

    /// Registers a record of an endpoint at the keeper of this instance. If the endpoint drains, returns only after a
    /// majority of keepers has confirmed it.
    pub async fn register(&self, endpoint: EndpointRecord) -> Result<(), OrderError> {
        let name = endpoint.name.clone();
        self.hub.register(endpoint);
        self.confirm_departure(&name).await
    }

    /// Marks the newest start of an endpoint as left, by the identity that all its starts share, and returns after a
    /// majority of keepers has confirmed it. The endpoint may have registered at another instance, also if this one knows
    /// an earlier start.
    pub async fn deregister(&self, identity: &EndpointName) -> Result<(), OrderError> {
        let starts = [self.mirror.newest_incarnation(identity), self.hub.newest(identity)];
        match starts.into_iter().flatten().max_by_key(|start| start.incarnation) {
            Some(known) => {
                let departure = EndpointRecord { stage: EndpointStage::Left, ..known };
                self.register(departure).await
            }
            None => {
                record(&events::ENDPOINT_STAGE, &[field("endpoint", identity), field("stage", "unknown")]);
                Err(OrderError::UnknownEndpoint)
            }
        }
    }

    /// Has a majority of keepers confirm the departure of an endpoint, unless it has done so or the endpoint serves.
    /// Followers have been told before, so that what is not confirmed is not delayed.
    async fn confirm_departure(&self, name: &EndpointName) -> Result<(), OrderError> {
        let Some(departure) = self.hub.unconfirmed_departure(name) else { return Ok(()) };
        self.refresh_keepers();
        let request = v1::DepartRequest { endpoint: Some(endpoint_message(&departure)) };
        match self.client.depart(request, ORDER_TIMEOUT).await {
            Ok(_) => {
                self.hub.confirm(&departure, false);
                Ok(())
            }
            Err(error) => {
                let stage = departure.stage.as_str();
                let fields = [field("endpoint", name), field("stage", stage), field("error", error)];
                record(&events::DEPARTURE_UNCONFIRMED, &fields);
                Err(OrderError::NoMajority)
            }
        }
    }

    /// Passes the current keepers to the client: this instance's own first, then those with a live
    /// stream, then the others.
    fn refresh_keepers(&self) {
        let statuses = self.mirror.keepers();
        let others = |reached: bool| {
            let matching = statuses.iter().filter(move |status| status.is_connected() == reached);
            matching.map(|status| status.peer.clone()).filter(|peer| peer.name != self.own.name)
        };
        let own = std::iter::once(self.own.clone());
        self.client.set_keepers(own.chain(others(true)).chain(others(false)).collect());
    }
}
