//! Events that a shard processes.

use micaspool_fair::ServiceLevel;
use micaspool_quarantine::CrashRecord;
use micaspool_types::{
    AdviceRecord, Cost, CustomerName, EndpointName, HallLimit, HallMask, HallName, Incarnation, InstanceName,
    Moment, OrderNumber, RegionName, RequestDigest, RequestId, Revision, SoftwareVersion, StreamOrigin,
    VersionLimit, Weight,
};
use std::collections::BTreeSet;
use std::time::Duration;

/// Identifies one stream between a router and the dispatcher; a reconnect gets a new id.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct SessionId(pub u64);

/// What a caller says of the tokens that its request generates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationOutline {
    /// The maximum number of output tokens; zero if unknown.
    pub max_output_tokens: u64,
    /// The caller's guess of the number of output tokens; zero if it made none.
    pub output_hint: u64,
    /// The longest pause between two events that keeps a stream in time; `None` without such a target.
    pub pause: Option<Duration>,
}

/// A request that waits for an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestTicket {
    /// The request.
    pub request: RequestId,
    /// The customer that sent it.
    pub customer: CustomerName,
    /// The approximate expected cost; zero if unknown.
    pub hint: Cost,
    /// Digest of what is requested; `None` if the router sends none.
    pub digest: Option<RequestDigest>,
    /// Its priority among the customer's requests; lower runs first.
    pub priority: u8,
    /// How often it has been sent to an endpoint before.
    pub attempt: u32,
    /// The endpoint that failed it last.
    pub avoid: Option<EndpointName>,
    /// Hashes of the prompt's prefixes, the shortest first.
    pub prefixes: Vec<u64>,
    /// How many tokens each prefix adds to the previous one; empty if unknown.
    pub prefix_tokens: Vec<u32>,
    /// The number of tokens in the whole prompt; zero if unknown.
    pub prompt_tokens: Cost,
    /// The time within which the first event of the response is due. The ticket is refused once this
    /// can no longer be met; with `None` it waits for as long as its router does.
    pub objective: Option<Duration>,
    /// How long the caller says it will wait for this attempt; `None` if it did not say.
    pub patience: Option<Duration>,
    /// The order number that it was given earlier, if any.
    pub order: Option<OrderNumber>,
    /// The data halls in which it may run, in addition to the limits of its customer.
    pub halls: HallLimit,
    /// The software versions at which it may run.
    pub versions: VersionLimit,
    /// The tokens that it generates.
    pub generation: GenerationOutline,
}

/// A grant that a router holds when it joins.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldGrant {
    /// The request.
    pub request: RequestId,
    /// The customer that sent it.
    pub customer: CustomerName,
    /// Digest of what is requested; `None` if the router sends none.
    pub digest: Option<RequestDigest>,
    /// The endpoint on which it runs.
    pub endpoint: EndpointName,
    /// The estimated cost that was charged.
    pub estimate: Cost,
    /// The cost delivered so far.
    pub delivered: Cost,
    /// Its order number.
    pub order: OrderNumber,
}

/// The latest level of a customer that a router received.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldLevel {
    /// The customer.
    pub customer: CustomerName,
    /// Its level.
    pub level: ServiceLevel,
    /// The order number of the grant that carried the level.
    pub order: OrderNumber,
}

/// What a router sends when it joins a shard: its identity and everything it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterHello {
    /// The instance of the router.
    pub router: InstanceName,
    /// Distinguishes restarts of the router.
    pub incarnation: Incarnation,
    /// Its waiting requests.
    pub waiting: Vec<RequestTicket>,
    /// Its running requests.
    pub running: Vec<HeldGrant>,
    /// The customer levels that it knows.
    pub levels: Vec<HeldLevel>,
    /// Its crash records of requests.
    pub crashes: Vec<CrashRecord>,
    /// The advice that endpoints gave to it.
    pub advice: Vec<AdviceRecord>,
    /// The streams that it has begun to pass on.
    pub streams: Vec<StreamOrigin>,
    /// The number of its latest heartbeat.
    pub heartbeat: u64,
}

/// How a grant ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum GrantOutcome {
    /// The endpoint answered completely.
    Done,
    /// The caller left before the answer was complete; says nothing about the endpoint.
    Abandoned,
    /// The endpoint refused for lack of capacity; nothing ran.
    Refused,
    /// No connection could be made; nothing ran.
    Unreachable,
    /// The endpoint answered that it is leaving; nothing ran.
    Draining,
    /// The endpoint failed after the request was sent.
    Broken,
    /// The connection ended after the request was sent and before the answer was complete, as when the
    /// endpoint crashes. Otherwise like [`GrantOutcome::Broken`].
    Severed,
    /// The router did not send the request.
    Unsent,
    /// The router does not know the endpoint as serving, for example just after its own start, or the
    /// endpoint asked the router to rest; nothing ran. Says nothing about the endpoint.
    NotHeld,
}

/// An endpoint according to the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    /// The name of the endpoint.
    pub name: EndpointName,
    /// The index of its data hall.
    pub hall: usize,
    /// The version of its software.
    pub version: SoftwareVersion,
    /// How many requests it runs at once.
    pub slots: u32,
    /// True if operators have taken it out of use, or if it is draining.
    pub leaving: bool,
    /// True while its data hall is evacuated.
    pub evacuated: bool,
    /// How much longer it is cold.
    pub cold: Duration,
    /// The number of tokens that fit into its engine's memory; zero if it is no language model or the
    /// size is unknown.
    pub memory_tokens: u64,
}

/// Properties that all engines of a service have in common; zero where unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineTraits {
    /// The number of tokens in one event of a stream.
    pub event_tokens: u32,
    /// The size of one cached token in bytes, when an engine copies cached prompt parts from another.
    pub token_bytes: u64,
    /// The throughput of the link of one engine, in bytes per second. Engines copy no cached parts if this or
    /// `token_bytes` is zero.
    pub link_bytes_per_second: u64,
}

/// The load limits of a service's cold endpoints; there is no limit if both are zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdStartLimits {
    /// How long an endpoint is cold after its start.
    pub start: Duration,
    /// The time that a cold endpoint needs for each request. It processes them one after the other,
    /// whoever sends them.
    pub request_time: Duration,
}

/// A customer according to the settings for this shard's service.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardCustomer {
    /// The name of the customer.
    pub name: CustomerName,
    /// Its weight in the sharing of capacity.
    pub weight: Weight,
    /// The halls in which its requests may run.
    pub halls: HallMask,
    /// The maximum number of waiting requests.
    pub max_waiting: u32,
}

/// The settings that a shard needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardPolicy {
    /// The revision of the settings.
    pub revision: Revision,
    /// The data halls, by index.
    pub halls: Vec<HallName>,
    /// The endpoints of the service.
    pub endpoints: Vec<EndpointSpec>,
    /// All customers.
    pub customers: Vec<ShardCustomer>,
    /// How far the service of a customer that begins to wait may lag behind the others. With zero, idle
    /// time earns nothing. Where requests are refused early, customers wait in short spells; without a
    /// credit, each spell would ignore the refusals before it.
    pub idle_credit: Cost,
    /// The assumed rate of one engine in tokens per millisecond, from which the learnt rate starts;
    /// zero if the settings have none.
    pub planned_pace: f64,
    /// The load limits of cold endpoints.
    pub cold: ColdStartLimits,
    /// The common properties of the service's engines.
    pub engine: EngineTraits,
}

/// A load report of an endpoint; it is outdated by some time when it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// How many requests it runs.
    pub running: u32,
    /// How many requests wait there for prefill.
    pub waiting: u32,
    /// True if it takes no new work.
    pub draining: bool,
    /// When the report was requested.
    pub requested_at: Moment,
}

/// A change of an endpoint's prefix cache; updates may be late or missing.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheUpdate {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Hashes of prefixes that it has cached.
    pub stored: Vec<u64>,
    /// Hashes of prefixes that it has evicted.
    pub dropped: Vec<u64>,
    /// Prompt parts that the engine has cached, least recently used first if the order is known.
    pub cached_parts: Vec<CachedPart>,
    /// True if `cached_parts` lists all cached parts.
    pub whole: bool,
}

/// A prompt part that an engine has cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// The prefix hash that identifies the part in tickets.
    pub prefix: u64,
    /// The number of tokens in the part.
    pub tokens: u32,
}

/// What the shard of another region has delivered to customers since it started. Totals only grow, so
/// lost, duplicate and late messages are harmless.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionTotals {
    /// The region.
    pub region: RegionName,
    /// Distinguishes restarts of the other shard's dispatcher.
    pub incarnation: Incarnation,
    /// The total of each customer.
    pub totals: Vec<CustomerTotal>,
}

/// What a shard has delivered to one customer since it started.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerTotal {
    /// The customer.
    pub customer: CustomerName,
    /// The total delivered cost.
    pub served: Cost,
}

/// What a router knows of the first event of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunStart {
    /// The software version that began the stream, if it may be taken up.
    pub origin: Option<StreamOrigin>,
    /// When the first event came; `None` if unknown.
    pub first_event: Option<FirstEventTime>,
}

/// When the first event of a run came, as observed by its router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstEventTime {
    /// The moment by the router's own monotonic clock.
    pub router_clock: Moment,
    /// The time since the request was sent.
    pub after: Duration,
}

/// An event that a shard processes.
#[derive(Clone, Debug)]
pub enum ShardEvent {
    /// New settings are in force.
    Policy(ShardPolicy),
    /// A router has opened a session.
    Joined(SessionId, RouterHello),
    /// A session has ended.
    Left(SessionId),
    /// A router is shutting down and holds no more requests.
    Goodbye(SessionId),
    /// A request is to be queued.
    Submit(SessionId, RequestTicket),
    /// A waiting request is cancelled.
    Cancel(SessionId, RequestId),
    /// The total cost that a running request has delivered so far.
    Progress(SessionId, RequestId, Cost),
    /// The same, with the first event of a run.
    Began(SessionId, RequestId, Cost, RunStart),
    /// A grant has ended with this cost and outcome.
    Settle(SessionId, RequestId, Cost, GrantOutcome),
    /// A router is alive.
    Heartbeat(SessionId, u64),
    /// Endpoints gave advice to a router.
    Advised(SessionId, Vec<AdviceRecord>),
    /// An endpoint reports its load.
    Load(LoadReport),
    /// An endpoint did not answer a load request in time.
    Unreachable(EndpointName),
    /// The platform lists these endpoints as leaving.
    Listed(BTreeSet<EndpointName>),
    /// An endpoint's cache has changed.
    Cache(CacheUpdate),
    /// The shard of another region reports what it has delivered.
    Shared(RegionTotals),
    /// Periodic expiry of leases, reports and crash records.
    Tick,
    /// An operator lifts the quarantine or suspicion of a request.
    Lift(RequestDigest),
    /// The moment returned by `ShardCore::next_wake` has come.
    Wake,
    /// The dispatcher stops; all routers are asked to rejoin elsewhere.
    Stop,
}
