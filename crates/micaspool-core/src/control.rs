//! What operators and endpoints ask of the core.

use micaspool_client::{FleetMirror, KeeperClient};
use micaspool_halls::{HallUse, OrderVerdict};
use micaspool_keeper::RegistryHub;
use micaspool_registry::{EndpointRecord, EndpointStage, MergeOutcome};
use micaspool_routes::{FormatError, PlanFormat};
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{EndpointName, HallName};
use micaspool_wire::convert::order_verdict;
use micaspool_wire::v1;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// How long an order may take. Its caller turns to another instance after a second.
const ORDER_LIMIT: Duration = Duration::from_millis(900);

/// Why an order was not carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderError {
    /// The plan cannot be used.
    InvalidPlan(FormatError),
    /// No majority of keepers answered in time. An offered plan may come into force all the same.
    NoMajority,
    /// There is no plan yet.
    NoPlan,
    /// Neither settings nor endpoints name this data hall; the known ones.
    UnknownHall(Vec<HallName>),
    /// The contrary was ordered in the meantime.
    Overtaken,
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
            OrderError::Overtaken => f.write_str(
                "the contrary was ordered while this order was under way; send it again if it still holds",
            ),
        }
    }
}

impl std::error::Error for OrderError {}

/// Serves operators and endpoints; whichever core instance they ask, the leading keeper decides.
#[derive(Debug, Clone)]
pub struct ControlService {
    client: Arc<KeeperClient>,
    own: PeerAddress,
    hub: Arc<RegistryHub>,
    mirror: Arc<FleetMirror>,
    format: Arc<dyn PlanFormat>,
    /// The halls that settings name.
    halls: Vec<HallName>,
}

impl ControlService {
    /// A desk of the instance whose keeper is `own`.
    pub fn new(
        client: Arc<KeeperClient>,
        own: PeerAddress,
        hub: Arc<RegistryHub>,
        mirror: Arc<FleetMirror>,
        format: Arc<dyn PlanFormat>,
    ) -> ControlService {
        ControlService { client, own, hub, mirror, format, halls: Vec::new() }
    }

    /// The same with the data halls that settings name.
    pub fn with_halls(self, halls: Vec<HallName>) -> ControlService {
        ControlService { halls, ..self }
    }

    /// Evacuates a data hall or takes it back; gives the number of the order that holds.
    pub async fn order_hall(&self, hall: &str, wanted: HallUse, ordered_by: &str) -> Result<u64, OrderError> {
        // What was known when the order came in: whatever delays it from here on, it takes nothing back that was
        // ordered after it.
        let known = self.mirror.hall_orders().newest();
        let hall = self.known_hall(hall)?;
        self.list_keepers();
        let request = v1::OrderHallRequest {
            hall: hall.to_string(),
            evacuate: wanted == HallUse::Evacuated,
            known,
            ordered_by: ordered_by.to_owned(),
        };
        let reply = self.client.order_hall(request, ORDER_LIMIT).await;
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

    /// The halls that settings name, those of endpoints that were heard, and those that an order was given about.
    fn known_halls(&self) -> Vec<HallName> {
        let mut halls = self.halls.clone();
        halls.extend(self.mirror.halls());
        halls.extend(self.mirror.hall_orders().iter().map(|(hall, _)| hall.clone()));
        halls.sort();
        halls.dedup();
        halls
    }

    /// Offers a plan; gives the number in force afterwards, at least its own.
    pub async fn publish(&self, text: &str) -> Result<u64, OrderError> {
        let offered = self.format.decode(text).map_err(|error| {
            record(&events::PLAN_REFUSED, &[field("error", &error)]);
            OrderError::InvalidPlan(error)
        })?;
        self.list_keepers();
        let request = v1::PublishRequest { number: offered.number, document: text.to_owned() };
        match self.client.publish(request, ORDER_LIMIT).await {
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

    /// The newest plan as its operator sent it, confirmed by a majority.
    pub async fn read(&self) -> Result<String, OrderError> {
        self.list_keepers();
        let reply = self.client.plan_confirmed(ORDER_LIMIT).await.map_err(|error| {
            record(&events::PLAN_UNCONFIRMED, &[field("order", "read"), field("error", error)]);
            OrderError::NoMajority
        })?;
        match reply.plan {
            Some(plan) if plan.number > 0 => Ok(plan.document),
            _ => Err(OrderError::NoPlan),
        }
    }

    /// Takes a record of an endpoint.
    pub fn register(&self, endpoint: EndpointRecord) -> MergeOutcome {
        self.hub.register(endpoint)
    }

    /// Notes that an endpoint has left, by the name that its starts share, also when it registered elsewhere.
    pub fn leave(&self, identity: &EndpointName) {
        if self.hub.leave(identity) {
            return;
        }
        match self.mirror.newest_start(identity) {
            Some(known) => {
                self.hub.register(EndpointRecord { stage: EndpointStage::Left, ..known });
            }
            None => {
                record(&events::ENDPOINT_STAGE, &[field("endpoint", identity), field("stage", "unknown")])
            }
        }
    }

    /// Tells the client which keepers there are, those first that are reached.
    fn list_keepers(&self) {
        let sights = self.mirror.keepers();
        let others = |reached: bool| {
            let matching = sights.iter().filter(move |sight| sight.is_reached() == reached);
            matching.map(|sight| sight.peer.clone()).filter(|peer| peer.name != self.own.name)
        };
        let own = std::iter::once(self.own.clone());
        self.client.set_keepers(own.chain(others(true)).chain(others(false)).collect());
    }
}
