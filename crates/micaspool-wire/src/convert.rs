//! Conversions between protocol messages and the types of the cores.

mod advice;
mod endpoints;
mod halls;
mod quarantine;
mod runs;
mod streams;

pub use advice::advice_message;
pub use endpoints::{endpoint_message, endpoint_record};
pub use halls::{hall_messages, hall_order, order_command, order_reply, order_verdict};
pub use quarantine::{crash_record, lift_message, lifted_digest};
pub use runs::first_event_message;
pub use streams::origin_message;

use crate::v1;
use advice::advice_record;
use micaspool_dispatch::{
    CustomerTotal, GenerationOutline, GrantOutcome, HeldGrant, HeldLevel, RefusalReason, RegionTotals,
    RequestTicket, RouterHello, RunStart, SessionId, ShardAction, ShardEvent,
};
use micaspool_fair::ServiceLevel;
use micaspool_types::{
    Cost, CustomerName, EndpointName, HallLimit, HallName, Incarnation, InstanceName, NameError, OrderNumber,
    RegionName, RequestDigest, RequestId, ServiceName,
};
use quarantine::crash_message;
use runs::first_event_time;
use std::fmt;
use std::time::Duration;
use streams::{allowed_version_message, stream_origin, version_limit};

/// Why a message cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The message has no known body, probably because the sender uses a newer version.
    NoBody,
    /// A request id is not 16 bytes long.
    RequestId,
    /// A request digest is not 16 bytes long.
    RequestDigest,
    /// A stream is not identified by 16 bytes.
    Stream,
    /// A name is malformed.
    Name(NameError),
    /// An address is not an IP address with a port.
    Address,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NoBody => f.write_str("a message has no known body; run the same version everywhere"),
            Error::RequestId => {
                f.write_str("a request id must have 16 bytes; run the same version everywhere")
            }
            Error::RequestDigest => {
                f.write_str("a request digest must have 16 bytes; run the same version everywhere")
            }
            Error::Stream => {
                f.write_str("a stream is identified by 16 bytes; run the same version everywhere")
            }
            Error::Address => f.write_str(
                "an endpoint's address is no IP address with a port; run the same version everywhere",
            ),
            Error::Name(error) => write!(f, "a message has a malformed name: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<NameError> for Error {
    fn from(error: NameError) -> Self {
        Error::Name(error)
    }
}

/// Encodes a request id, big endian.
pub fn request_bytes(request: RequestId) -> Vec<u8> {
    request.0.to_be_bytes().to_vec()
}

/// Decodes a request id.
pub fn request_id(bytes: &[u8]) -> Result<RequestId, Error> {
    let bytes: [u8; 16] = bytes.try_into().map_err(|_| Error::RequestId)?;
    Ok(RequestId(u128::from_be_bytes(bytes)))
}

/// Encodes a request digest, big endian; empty if there is none.
fn digest_bytes(digest: Option<RequestDigest>) -> Vec<u8> {
    digest.map(|digest| digest.0.to_be_bytes().to_vec()).unwrap_or_default()
}

/// Decodes a request digest; `None` if the bytes are empty.
fn request_digest(bytes: &[u8]) -> Result<Option<RequestDigest>, Error> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let bytes: [u8; 16] = bytes.try_into().map_err(|_| Error::RequestDigest)?;
    Ok(Some(RequestDigest(u128::from_be_bytes(bytes))))
}

/// Encodes a ticket.
pub fn submit_message(ticket: &RequestTicket) -> v1::Submit {
    v1::Submit {
        request: request_bytes(ticket.request),
        customer: ticket.customer.to_string(),
        hint: ticket.hint.0,
        priority: u32::from(ticket.priority),
        attempt: ticket.attempt,
        avoid: ticket.avoid.as_ref().map(ToString::to_string).unwrap_or_default(),
        prefixes: ticket.prefixes.clone(),
        order: ticket.order.map_or(0, |order| order.0),
        traceparent: String::new(),
        prefix_tokens: ticket.prefix_tokens.clone(),
        prompt_tokens: ticket.prompt_tokens.0,
        objective_millis: ticket.objective.map_or(0, |objective| objective.as_millis() as u64),
        patience_millis: ticket.patience.map_or(0, |patience| patience.as_millis() as u64),
        digest: digest_bytes(ticket.digest),
        allowed_halls: allowed_halls_message(&ticket.halls),
        max_output_tokens: ticket.generation.max_output_tokens,
        output_hint: ticket.generation.output_hint,
        pause_millis: ticket.generation.pause.map_or(0, millis),
        allowed_version: allowed_version_message(&ticket.versions),
    }
}

fn allowed_halls_message(limit: &HallLimit) -> Option<v1::AllowedHalls> {
    match limit {
        HallLimit::Anywhere => None,
        HallLimit::Only(halls) => {
            Some(v1::AllowedHalls { names: halls.iter().map(ToString::to_string).collect() })
        }
    }
}

fn hall_limit(message: Option<v1::AllowedHalls>) -> Result<HallLimit, Error> {
    let Some(allowed) = message else { return Ok(HallLimit::Anywhere) };
    let halls = allowed.names.iter().map(|name| HallName::parse(name)).collect::<Result<_, _>>()?;
    Ok(HallLimit::Only(halls))
}

/// Decodes a ticket.
pub fn ticket(message: v1::Submit) -> Result<RequestTicket, Error> {
    let avoid = match message.avoid.as_str() {
        "" => None,
        name => Some(EndpointName::parse(name)?),
    };
    Ok(RequestTicket {
        request: request_id(&message.request)?,
        customer: CustomerName::parse(&message.customer)?,
        digest: request_digest(&message.digest)?,
        hint: Cost(message.hint),
        priority: u8::try_from(message.priority).unwrap_or(u8::MAX),
        attempt: message.attempt,
        avoid,
        prefixes: message.prefixes,
        prefix_tokens: message.prefix_tokens,
        prompt_tokens: Cost(message.prompt_tokens),
        objective: (message.objective_millis > 0).then(|| Duration::from_millis(message.objective_millis)),
        patience: (message.patience_millis > 0).then(|| Duration::from_millis(message.patience_millis)),
        order: (message.order > 0).then_some(OrderNumber(message.order)),
        halls: hall_limit(message.allowed_halls)?,
        versions: version_limit(message.allowed_version)?,
        generation: GenerationOutline {
            max_output_tokens: message.max_output_tokens,
            output_hint: message.output_hint,
            pause: (message.pause_millis > 0).then(|| Duration::from_millis(message.pause_millis)),
        },
    })
}

/// Encodes the state that a router reports when it joins a shard.
pub fn hello_message(service: &ServiceName, hall: &str, hello: &RouterHello) -> v1::Hello {
    v1::Hello {
        service: service.to_string(),
        router: hello.router.to_string(),
        hall: hall.to_owned(),
        incarnation: hello.incarnation.0,
        waiting: hello.waiting.iter().map(submit_message).collect(),
        running: hello.running.iter().map(held_message).collect(),
        totals: hello.levels.iter().map(level_message).collect(),
        heartbeat: hello.heartbeat,
        crashes: hello.crashes.iter().map(crash_message).collect(),
        advice: hello.advice.iter().map(advice_message).collect(),
        streams: hello.streams.iter().map(origin_message).collect(),
    }
}

fn held_message(grant: &HeldGrant) -> v1::HeldGrant {
    v1::HeldGrant {
        request: request_bytes(grant.request),
        customer: grant.customer.to_string(),
        endpoint: grant.endpoint.to_string(),
        estimate: grant.estimate.0,
        delivered: grant.delivered.0,
        order: grant.order.0,
        digest: digest_bytes(grant.digest),
    }
}

fn level_message(held: &HeldLevel) -> v1::Total {
    v1::Total { customer: held.customer.to_string(), level: held.level.0, order: held.order.0 }
}

/// Decodes the state that a router reports when it joins a shard.
pub fn hello(message: v1::Hello) -> Result<RouterHello, Error> {
    Ok(RouterHello {
        router: InstanceName::parse(&message.router)?,
        incarnation: Incarnation(message.incarnation),
        waiting: message.waiting.into_iter().map(ticket).collect::<Result<_, _>>()?,
        running: message.running.into_iter().map(held_grant).collect::<Result<_, _>>()?,
        levels: message.totals.into_iter().map(held_level).collect::<Result<_, _>>()?,
        heartbeat: message.heartbeat,
        crashes: message.crashes.into_iter().map(crash_record).collect::<Result<_, _>>()?,
        advice: message.advice.iter().map(advice_record).collect::<Result<_, _>>()?,
        streams: message.streams.iter().map(stream_origin).collect::<Result<_, _>>()?,
    })
}

fn held_grant(message: v1::HeldGrant) -> Result<HeldGrant, Error> {
    Ok(HeldGrant {
        request: request_id(&message.request)?,
        customer: CustomerName::parse(&message.customer)?,
        digest: request_digest(&message.digest)?,
        endpoint: EndpointName::parse(&message.endpoint)?,
        estimate: Cost(message.estimate),
        delivered: Cost(message.delivered),
        order: OrderNumber(message.order),
    })
}

fn held_level(message: v1::Total) -> Result<HeldLevel, Error> {
    Ok(HeldLevel {
        customer: CustomerName::parse(&message.customer)?,
        level: ServiceLevel(message.level),
        order: OrderNumber(message.order),
    })
}

/// Decodes a router's message into a shard event.
pub fn shard_event(session: SessionId, message: v1::RouterMessage) -> Result<ShardEvent, Error> {
    use v1::router_message::Body;
    Ok(match message.body.ok_or(Error::NoBody)? {
        Body::Hello(body) => ShardEvent::Joined(session, hello(body)?),
        Body::Submit(body) => ShardEvent::Submit(session, ticket(body)?),
        Body::Cancel(body) => ShardEvent::Cancel(session, request_id(&body.request)?),
        Body::Progress(body) => {
            let (request, delivered) = (request_id(&body.request)?, Cost(body.delivered));
            if body.began.is_none() && body.first_event.is_none() {
                return Ok(ShardEvent::Progress(session, request, delivered));
            }
            let origin = body.began.as_ref().map(stream_origin).transpose()?;
            let first_event = body.first_event.as_ref().map(first_event_time);
            ShardEvent::Began(session, request, delivered, RunStart { origin, first_event })
        }
        Body::Settle(body) => {
            ShardEvent::Settle(session, request_id(&body.request)?, Cost(body.cost), grant_outcome(&body))
        }
        Body::Heartbeat(body) if !body.advice.is_empty() => {
            let advice = body.advice.iter().map(advice_record).collect::<Result<_, _>>()?;
            ShardEvent::Advised(session, advice)
        }
        Body::Heartbeat(body) => ShardEvent::Heartbeat(session, body.number),
        Body::Goodbye(_) => ShardEvent::Goodbye(session),
    })
}

/// Encodes the totals that a shard has delivered to each customer.
pub fn shared_totals_message(service: &ServiceName, totals: &RegionTotals) -> v1::SharedTotals {
    let customer_totals = totals
        .totals
        .iter()
        .map(|total| v1::SharedTotal { customer: total.customer.to_string(), served: total.served.0 });
    v1::SharedTotals {
        service: service.to_string(),
        region: totals.region.to_string(),
        incarnation: totals.incarnation.0,
        totals: customer_totals.collect(),
    }
}

/// Decodes the totals that a shard has delivered to each customer.
pub fn region_totals(message: v1::SharedTotals) -> Result<RegionTotals, Error> {
    let customer_totals = message.totals.into_iter().map(|total| {
        Ok(CustomerTotal { customer: CustomerName::parse(&total.customer)?, served: Cost(total.served) })
    });
    Ok(RegionTotals {
        region: RegionName::parse(&message.region)?,
        incarnation: Incarnation(message.incarnation),
        totals: customer_totals.collect::<Result<_, Error>>()?,
    })
}

/// Encodes the outcome of a grant. An outcome that older processes do not know is sent as a [`v1::Fate`] that they know
/// and a flag that they ignore.
pub fn settle_message(request: RequestId, cost: Cost, outcome: GrantOutcome) -> v1::Settle {
    v1::Settle {
        request: request_bytes(request),
        cost: cost.0,
        fate: outcome_message(outcome).into(),
        connection_ended: outcome == GrantOutcome::Severed,
        caller_left: outcome == GrantOutcome::Abandoned,
    }
}

fn outcome_message(outcome: GrantOutcome) -> v1::Fate {
    match outcome {
        GrantOutcome::Done | GrantOutcome::Abandoned => v1::Fate::Done,
        GrantOutcome::Refused => v1::Fate::Refused,
        GrantOutcome::Unreachable => v1::Fate::Unreachable,
        GrantOutcome::Draining => v1::Fate::Draining,
        GrantOutcome::Broken | GrantOutcome::Severed => v1::Fate::Broken,
        GrantOutcome::Unsent => v1::Fate::Unsent,
        GrantOutcome::NotHeld => v1::Fate::NotHeld,
    }
}

fn grant_outcome(settle: &v1::Settle) -> GrantOutcome {
    match settle.fate() {
        v1::Fate::Done if settle.caller_left => GrantOutcome::Abandoned,
        v1::Fate::Done => GrantOutcome::Done,
        v1::Fate::Refused => GrantOutcome::Refused,
        v1::Fate::Unreachable => GrantOutcome::Unreachable,
        v1::Fate::Draining => GrantOutcome::Draining,
        v1::Fate::Broken if settle.connection_ended => GrantOutcome::Severed,
        v1::Fate::Broken => GrantOutcome::Broken,
        v1::Fate::Unsent => GrantOutcome::Unsent,
        v1::Fate::NotHeld => GrantOutcome::NotHeld,
    }
}

const CUSTOMER_FULL: &str = "customer-full";
const SHARD_FULL: &str = "shard-full";
const RETRY_BUDGET: &str = "retry-budget";
const OVERDUE: &str = "overdue";
const QUARANTINED: &str = "quarantined";
const COPY_RUNNING: &str = "copy-running";
const ENDPOINTS_REST: &str = "endpoints-rest";
const HALLS_EVACUATED: &str = "halls-evacuated";
const NO_ENDPOINT: &str = "no-endpoint";
const VERSION_GONE: &str = "version-gone";
const STREAM_UNKNOWN: &str = "stream-unknown";

/// Encodes why a ticket was refused.
pub fn reason_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::CustomerFull => CUSTOMER_FULL,
        RefusalReason::ShardFull => SHARD_FULL,
        RefusalReason::RetryBudget => RETRY_BUDGET,
        RefusalReason::Overdue => OVERDUE,
        RefusalReason::Quarantined => QUARANTINED,
        RefusalReason::CopyRunning => COPY_RUNNING,
        RefusalReason::EndpointsRest => ENDPOINTS_REST,
        RefusalReason::HallsEvacuated => HALLS_EVACUATED,
        RefusalReason::NoEndpoint => NO_ENDPOINT,
        RefusalReason::VersionGone => VERSION_GONE,
        RefusalReason::StreamUnknown => STREAM_UNKNOWN,
    }
}

/// Decodes why a ticket was refused. An unknown text is decoded as a full shard.
pub fn refusal_reason(text: &str) -> RefusalReason {
    match text {
        CUSTOMER_FULL => RefusalReason::CustomerFull,
        RETRY_BUDGET => RefusalReason::RetryBudget,
        OVERDUE => RefusalReason::Overdue,
        QUARANTINED => RefusalReason::Quarantined,
        COPY_RUNNING => RefusalReason::CopyRunning,
        ENDPOINTS_REST => RefusalReason::EndpointsRest,
        HALLS_EVACUATED => RefusalReason::HallsEvacuated,
        NO_ENDPOINT => RefusalReason::NoEndpoint,
        VERSION_GONE => RefusalReason::VersionGone,
        STREAM_UNKNOWN => RefusalReason::StreamUnknown,
        _ => RefusalReason::ShardFull,
    }
}

/// Encodes an action and returns it with the session it is to be sent on; `None` if the action is not sent to a
/// router.
pub fn action_message(
    action: ShardAction,
    incarnation: Incarnation,
) -> Option<(SessionId, v1::DispatcherMessage)> {
    use v1::dispatcher_message::Body;
    let (session, body) = match action {
        ShardAction::Accepted { session, request, order, queue_fill } => {
            let accepted = v1::Accepted {
                request: request_bytes(request),
                order: order.0,
                queue_fill_percent: queue_fill.map(|fill| fill.0),
            };
            (session, Body::Accepted(accepted))
        }
        ShardAction::Grant {
            session,
            request,
            endpoint,
            version,
            cache_source,
            estimate,
            level,
            order,
            heartbeat,
            lease,
            revision,
            queue_fill,
            ..
        } => {
            let grant = v1::Grant {
                request: request_bytes(request),
                endpoint: endpoint.to_string(),
                estimate: estimate.0,
                level: level.0,
                order: order.0,
                heartbeat,
                lease_millis: millis(lease),
                revision: revision.0,
                queue_fill_percent: queue_fill.map(|fill| fill.0),
                cache_source: cache_source.map(|name| name.to_string()).unwrap_or_default(),
                bound_version: version.map(|version| version.to_string()),
            };
            (session, Body::Grant(grant))
        }
        ShardAction::Refuse { session, request, reason, retry_after, queue_fill, .. } => {
            let refused = v1::Refused {
                request: request_bytes(request),
                kind: reason_text(reason).to_owned(),
                retry_after_millis: millis(retry_after),
                queue_fill_percent: queue_fill.map(|fill| fill.0),
            };
            (session, Body::Refused(refused))
        }
        ShardAction::Pulse { session, heartbeat } => {
            (session, Body::Pulse(v1::Pulse { heartbeat, incarnation: incarnation.0 }))
        }
        ShardAction::SendRecord { session, record } => (session, Body::CrashRecord(crash_message(&record))),
        ShardAction::ProbeEndpoint { .. } | ShardAction::ReportStanding { .. } => return None,
        ShardAction::Rejoin { session } => (session, Body::Moved(v1::Moved {})),
    };
    Some((session, v1::DispatcherMessage { body: Some(body) }))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
