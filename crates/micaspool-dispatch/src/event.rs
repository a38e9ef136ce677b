//! What happens to a shard.

use micaspool_fair::ServiceLevel;
use micaspool_quarantine::CrashRecord;
use micaspool_types::{
    AdviceRecord, Cost, CustomerName, EndpointName, HallMask, HallName, Incarnation, InstanceName, Moment,
    OrderNumber, RegionName, RequestDigest, RequestId, Revision, Weight,
};
use std::collections::BTreeSet;
use std::time::Duration;

/// One stream between a router and the dispatcher; a reconnect has a new one.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct SessionId(pub u64);

/// A request that waits for an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestTicket {
    /// The request.
    pub request: RequestId,
    /// Whose request it is.
    pub customer: CustomerName,
    /// What it may cost, roughly; zero when nothing is known.
    pub hint: Cost,
    /// What is asked for; `None` where its router does not tell.
    pub digest: Option<RequestDigest>,
    /// Its priority among the customer's requests; lower runs first.
    pub priority: u8,
    /// How often it was sent to an endpoint before.
    pub attempt: u32,
    /// The endpoint that failed it last.
    pub avoid: Option<EndpointName>,
    /// Hashes of growing prefixes of the prompt, the shortest first.
    pub prefixes: Vec<u64>,
    /// The tokens that each prefix adds to the one before; empty when not known.
    pub prefix_tokens: Vec<u32>,
    /// The tokens of the whole prompt; zero when not known.
    pub prompt_tokens: Cost,
    /// The time within which its first event is wanted. It is refused once that can't be kept any more;
    /// `None` lets it wait for as long as its router does.
    pub objective: Option<Duration>,
    /// How long its caller said it waits for this try; `None` if it did not say.
    pub patience: Option<Duration>,
    /// The order number that it was given before, if any.
    pub order: Option<OrderNumber>,
}

/// A grant that a router holds when it joins.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldGrant {
    /// The request.
    pub request: RequestId,
    /// Whose request it is.
    pub customer: CustomerName,
    /// What is asked for; `None` where its router does not tell.
    pub digest: Option<RequestDigest>,
    /// Where it runs.
    pub endpoint: EndpointName,
    /// The estimate that was charged.
    pub estimate: Cost,
    /// What was delivered so far.
    pub delivered: Cost,
    /// Its order number.
    pub order: OrderNumber,
}

/// A customer's level as a router last heard it.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldTotal {
    /// The customer.
    pub customer: CustomerName,
    /// Its level.
    pub level: ServiceLevel,
    /// The order number of the grant that carried the level.
    pub order: OrderNumber,
}

/// What a router says when it joins a shard: who it is and everything it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterHello {
    /// The instance of the router.
    pub router: InstanceName,
    /// Tells one life of the router from the next.
    pub incarnation: Incarnation,
    /// Its waiting requests.
    pub waiting: Vec<RequestTicket>,
    /// Its running requests.
    pub running: Vec<HeldGrant>,
    /// The levels that it knows.
    pub totals: Vec<HeldTotal>,
    /// What it knows of requests under which endpoints ended.
    pub crashes: Vec<CrashRecord>,
    /// What endpoints asked of it.
    pub advice: Vec<AdviceRecord>,
    /// The number of its newest heartbeat.
    pub heartbeat: u64,
}

/// How a grant ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum GrantOutcome {
    /// The endpoint answered whole.
    Done,
    /// The caller left before the whole answer had come; it says nothing of the endpoint.
    Abandoned,
    /// The endpoint refused for lack of capacity; nothing ran.
    Refused,
    /// No connection could be made; nothing ran.
    Unreachable,
    /// The endpoint said that it is leaving; nothing ran.
    Draining,
    /// The endpoint failed after the request was sent.
    Broken,
    /// Its connection ended after the request was sent and before the whole answer had come, as when the endpoint
    /// ends. Otherwise like [`GrantOutcome::Broken`].
    Severed,
    /// The router did not send the request.
    Unsent,
    /// The router does not hold the endpoint as one that serves, as just after its start, or was asked by it for rest;
    /// nothing ran. It says nothing of the endpoint.
    NotHeld,
}

/// An endpoint as settings describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    /// The name of the endpoint.
    pub name: EndpointName,
    /// The index of its data hall.
    pub hall: usize,
    /// How many requests it runs at once.
    pub slots: u32,
    /// True when operators have taken it out of use, or it drains.
    pub leaving: bool,
    /// True while its data hall is evacuated.
    pub evacuated: bool,
    /// How much longer it is cold, from now on.
    pub cold: Duration,
    /// The tokens that the memory of its engine holds; zero for one that is no language model or
    /// whose size is not known.
    pub memory_tokens: u64,
}

/// What endpoints of a service bear while they are cold; they bear anything where both are zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdStartLimits {
    /// For how long after its start an endpoint is cold.
    pub start: Duration,
    /// The time that a cold endpoint needs for each request, one after the other, whoever sends it.
    pub request_time: Duration,
}

/// A customer as settings describe it for this shard's service.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardCustomer {
    /// The name of the customer.
    pub name: CustomerName,
    /// Its share.
    pub weight: Weight,
    /// The halls in which its requests may run.
    pub halls: HallMask,
    /// The most requests that may wait.
    pub max_waiting: u32,
}

/// The part of the settings that a shard needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardPolicy {
    /// The revision of the settings.
    pub revision: Revision,
    /// The data halls, by index.
    pub halls: Vec<HallName>,
    /// The endpoints of the service.
    pub endpoints: Vec<EndpointSpec>,
    /// Every customer.
    pub customers: Vec<ShardCustomer>,
    /// How much less than the others a customer that begins to wait may have received. Zero lets idle
    /// time earn nothing; where requests are refused early, customers wait in short spells, and
    /// without such a credit each spell would forget that they were refused.
    pub idle_credit: Cost,
    /// What one engine probably delivers, in tokens a millisecond; zero when settings do not tell. An engine's
    /// pace is learnt, and starts here.
    pub planned_pace: f64,
    /// What the endpoints bear while they are cold.
    pub cold: ColdStartLimits,
}

/// What an endpoint says of itself, some time after it was true.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// How many requests it runs.
    pub running: u32,
    /// How many requests wait there to be read.
    pub waiting: u32,
    /// True when it takes no new work.
    pub draining: bool,
    /// When the report was asked for.
    pub requested_at: Moment,
}

/// What an endpoint says of its prefix cache; such news come late and with gaps.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheUpdate {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Hashes of prefixes that it now holds.
    pub stored: Vec<u64>,
    /// Hashes of prefixes that it no longer holds.
    pub dropped: Vec<u64>,
    /// Prompt parts that an engine keeps, the ones used longest ago first, if that is known.
    pub kept: Vec<CachedPart>,
    /// True when the engine keeps nothing but these.
    pub whole: bool,
}

/// A prompt part that an engine keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// What tickets call the part.
    pub prefix: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What the shard of another region has delivered to customers since it began. Sums only grow, so
/// that lost, doubled and late messages do no harm.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionTotals {
    /// The region.
    pub region: RegionName,
    /// Tells one life of the other shard's dispatcher from the next.
    pub incarnation: Incarnation,
    /// The sum for each customer.
    pub totals: Vec<CustomerTotal>,
}

/// What one customer has received from a shard since it began.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerTotal {
    /// The customer.
    pub customer: CustomerName,
    /// The sum of delivered cost.
    pub served: Cost,
}

/// One thing that happens to a shard.
#[derive(Clone, Debug)]
pub enum ShardEvent {
    /// New settings are in force.
    Policy(ShardPolicy),
    /// A router has opened a stream.
    Joined(SessionId, RouterHello),
    /// A stream has ended.
    Left(SessionId),
    /// A router that stops has no requests any more.
    Goodbye(SessionId),
    /// A request begins to wait.
    Submit(SessionId, RequestTicket),
    /// A waiting request is given up.
    Cancel(SessionId, RequestId),
    /// A running request has delivered this much in all.
    Progress(SessionId, RequestId, Cost),
    /// A grant has ended with this cost.
    Settle(SessionId, RequestId, Cost, GrantOutcome),
    /// A router is alive.
    Heartbeat(SessionId, u64),
    /// Endpoints asked something of a router.
    Advised(SessionId, Vec<AdviceRecord>),
    /// An endpoint reports its load.
    Load(LoadReport),
    /// An endpoint did not answer a load report in time.
    Unreachable(EndpointName),
    /// The platform lists these endpoints as leaving.
    Listed(BTreeSet<EndpointName>),
    /// An endpoint's cache has changed.
    Cache(CacheUpdate),
    /// The shard of another region tells what it has delivered.
    Shared(RegionTotals),
    /// Time has passed.
    Tick,
    /// An operator holds nothing against a request any more.
    Lift(RequestDigest),
    /// Something is due by the core's own word.
    Wake,
    /// The dispatcher stops; routers shall go elsewhere.
    Stop,
}
