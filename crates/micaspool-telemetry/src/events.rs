//! The catalogue of log events.

use log::{Level, Record};
use std::fmt::Display;

/// One kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventKind {
    /// The number by which `docs/EVENTS.md` lists it.
    pub number: &'static str,
    /// How severe it is.
    pub level: Level,
    /// What happened.
    pub text: &'static str,
}

/// A named value of an event.
#[derive(Debug, Clone)]
pub struct EventField {
    key: &'static str,
    value: String,
}

/// A field of an event. Customer keys and bodies must never be fields.
pub fn field(key: &'static str, value: impl Display) -> EventField {
    EventField { key, value: value.to_string() }
}

/// Writes an event to the log.
pub fn record(kind: &EventKind, fields: &[EventField]) {
    let pairs: Vec<String> = fields.iter().map(|field| format!(" {}={:?}", field.key, field.value)).collect();
    let record_args = format!("{}{}", kind.text, pairs.concat());
    log::logger().log(
        &Record::builder().target(kind.number).level(kind.level).args(format_args!("{record_args}")).build(),
    );
}

const fn kind(number: &'static str, level: Level, text: &'static str) -> EventKind {
    EventKind { number, level, text }
}

/// A process is ready.
pub const PROCESS_READY: EventKind = kind("MP1001", Level::Info, "process ready");
/// A process has been told to stop and finishes what runs.
pub const PROCESS_DRAINING: EventKind = kind("MP1002", Level::Info, "process draining");
/// A process has stopped.
pub const PROCESS_STOPPED: EventKind = kind("MP1003", Level::Info, "process stopped");
/// The machine was suspended; leases and lives have run on meanwhile.
pub const MACHINE_SUSPENDED: EventKind = kind("MP1004", Level::Warn, "machine was suspended");
/// The system has no clock that counts while it is suspended, so that leases stand still with it.
pub const SUSPENSION_UNDETECTABLE: EventKind = kind("MP1005", Level::Warn, "suspensions can't be seen");
/// Newer settings are in force.
pub const SETTINGS_IN_FORCE: EventKind = kind("MP1101", Level::Info, "settings in force");
/// No keeper answers the watch.
pub const SETTINGS_DISCONNECTED: EventKind =
    kind("MP1102", Level::Warn, "no keeper reached, settings may be old");
/// A settings update could not be used.
pub const SETTINGS_UNUSABLE: EventKind = kind("MP1103", Level::Error, "settings update not usable");
/// A router has opened a stream to a dispatcher.
pub const SESSION_OPEN: EventKind = kind("MP1201", Level::Info, "dispatcher stream open");
/// A router has lost its stream to a dispatcher.
pub const SESSION_LOST: EventKind = kind("MP1202", Level::Warn, "dispatcher stream lost");
/// A grant was not used because its lease had ended.
pub const LEASE_EXPIRED: EventKind = kind("MP1203", Level::Warn, "grant not used, lease over");
/// A grant was not used because newer settings forbid the data hall.
pub const PLACEMENT_CHANGED: EventKind = kind("MP1204", Level::Warn, "grant not used, placement changed");
/// An endpoint could not be reached, refused or failed.
pub const ENDPOINT_FAILED: EventKind = kind("MP1205", Level::Warn, "endpoint failed a request");
/// An endpoint answered with another request's id.
pub const ANSWER_MISMATCH: EventKind = kind("MP1206", Level::Error, "endpoint answered another request");
/// A request was refused.
pub const REQUEST_REFUSED: EventKind = kind("MP1207", Level::Debug, "request refused");
/// A request has ended.
pub const REQUEST_DONE: EventKind = kind("MP1208", Level::Debug, "request done");
/// A shard has begun to serve.
pub const SHARD_STARTED: EventKind = kind("MP1301", Level::Info, "shard started");
/// A shard has learnt which prompt parts an engine keeps.
pub const ENGINE_SYNCED: EventKind = kind("MP1303", Level::Info, "engine met");
/// An engine does not tell what its cache keeps, or no longer; the shard goes by what it granted.
pub const CACHE_UNTRACKED: EventKind = kind("MP1305", Level::Warn, "cache not followed");
/// Changes of an engine's cache were lost; it is asked for a whole list.
pub const CACHE_GAP: EventKind = kind("MP1306", Level::Info, "cache changes lost");
/// What a shard granted and refused lately, and in what state its endpoints are.
pub const SHARD_DECIDED: EventKind = kind("MP1304", Level::Info, "shard decisions");
/// A shard refused a ticket.
pub const TICKET_REFUSED: EventKind = kind("MP1307", Level::Info, "ticket refused");
/// A shard gives an endpoint nothing new for now.
pub const ENDPOINT_CLOSED: EventKind = kind("MP1308", Level::Info, "endpoint closed");
/// A shard gives an endpoint requests again.
pub const ENDPOINT_OPENED: EventKind = kind("MP1309", Level::Info, "endpoint open");
/// What a shard granted and refused lately of the requests whose answers are wanted within about the same time.
pub const OBJECTIVE_DECIDED: EventKind = kind("MP1310", Level::Info, "decisions by objective");
/// An endpoint seems to have ended under a request, which may run once at a time from then on.
pub const REQUEST_SUSPECTED: EventKind = kind("MP1311", Level::Info, "endpoint ended under request");
/// A request is shut out, since several endpoints ended under it.
pub const REQUEST_QUARANTINED: EventKind = kind("MP1312", Level::Warn, "request quarantined");
/// Less is held against a request than before, or nothing.
pub const REQUEST_CLEARED: EventKind = kind("MP1313", Level::Info, "request cleared");
/// More requests changed their standing than get a line each.
pub const STANDINGS_SUPPRESSED: EventKind = kind("MP1314", Level::Info, "standings of requests left out");
/// An operator holds nothing against a request any more.
pub const QUARANTINE_LIFTED: EventKind = kind("MP1315", Level::Info, "quarantine lifted by operator");
/// A load report came from another start than the one that was asked, and was not used.
pub const REPORT_MISMATCH: EventKind = kind("MP1316", Level::Info, "load report of another start");
/// What a shard granted and refused a customer lately, and how far it stands behind.
pub const CUSTOMER_DECIDED: EventKind = kind("MP1317", Level::Info, "customer decisions");
/// A message from another process could not be understood.
pub const WIRE_MALFORMED: EventKind = kind("MP1302", Level::Warn, "message not understood");
/// A keeper has become leader.
pub const LEADER_ELECTED: EventKind = kind("MP1401", Level::Info, "keeper leads");
/// A keeper is no longer leader.
pub const LEADER_STEPPED_DOWN: EventKind = kind("MP1402", Level::Info, "keeper no longer leads");
/// The first group of keepers has formed.
pub const GROUP_FORMED: EventKind = kind("MP1403", Level::Info, "keeper group formed");
/// The group of keepers has changed.
pub const GROUP_CHANGED: EventKind = kind("MP1404", Level::Info, "keeper group changed");
/// A write or sync failed; the keeper stops.
pub const STORE_FAILED: EventKind = kind("MP1405", Level::Error, "keeper files failed, keeper stops");
/// A torn record at the end of the log was cut.
pub const STORE_TRUNCATED: EventKind = kind("MP1406", Level::Warn, "torn record cut from the end of the log");
/// A settings change was accepted.
pub const CHANGE_ACCEPTED: EventKind = kind("MP1407", Level::Info, "settings change accepted");
/// A settings change was rejected.
pub const CHANGE_REJECTED: EventKind = kind("MP1408", Level::Info, "settings change rejected");

/// Files that had failed were opened again.
pub const STORE_REOPENED: EventKind =
    kind("MP1409", Level::Warn, "keeper files opened again after a failure");
/// A route plan was taken by a majority.
pub const PLAN_ACCEPTED: EventKind = kind("MP1410", Level::Info, "route plan taken");
/// A route plan was refused as faulty.
pub const PLAN_REFUSED: EventKind = kind("MP1411", Level::Warn, "route plan refused");
/// An order on the route plan got no clear answer from a majority.
pub const PLAN_UNCONFIRMED: EventKind = kind("MP1412", Level::Warn, "route plan order without a majority");
/// An order about a data hall was taken by a majority.
pub const HALL_ORDER_ACCEPTED: EventKind = kind("MP1413", Level::Info, "order about data hall taken");
/// An order about a data hall changed nothing, since the contrary was ordered after it came in.
pub const HALL_ORDER_REJECTED: EventKind = kind("MP1414", Level::Warn, "order about data hall not taken");
/// An order about a data hall got no clear answer from a majority.
pub const HALL_ORDER_UNCONFIRMED: EventKind =
    kind("MP1415", Level::Warn, "order about data hall without a majority");
/// An endpoint has registered, or says that it drains or leaves.
pub const ENDPOINT_STAGE: EventKind = kind("MP1501", Level::Info, "endpoint changed its stage");
/// An endpoint has started again; its requests, caches and failures of before count no more.
pub const ENDPOINT_RESTARTED: EventKind = kind("MP1509", Level::Info, "endpoint started again");
/// What an endpoint said of itself can't be used; nothing that is known changes.
pub const HEARTBEAT_REFUSED: EventKind = kind("MP1510", Level::Warn, "heartbeat not used");
/// This process sends nothing more into a data hall, or sends into it again, by an operator's order.
pub const HALL_USE_CHANGED: EventKind = kind("MP1511", Level::Info, "use of data hall changed");
/// An endpoint bears few requests for a while.
pub const ENDPOINT_COLD: EventKind = kind("MP1512", Level::Info, "endpoint is cold");
/// An endpoint was not heard for too long.
pub const ENDPOINT_EXPIRED: EventKind = kind("MP1502", Level::Warn, "endpoint not heard, forgotten");
/// A newer route plan is in force in this process.
pub const PLAN_IN_FORCE: EventKind = kind("MP1503", Level::Info, "route plan in force");
/// A route plan that the keepers hold cannot be read here.
pub const PLAN_UNUSABLE: EventKind = kind("MP1504", Level::Error, "route plan not usable");
/// A keeper is followed.
pub const KEEPER_FOLLOWED: EventKind = kind("MP1505", Level::Info, "keeper followed");
/// A keeper that was followed is gone or silent.
pub const KEEPER_LOST: EventKind = kind("MP1506", Level::Warn, "keeper lost");
/// The settings file of the process was read again.
pub const SETTINGS_RELOADED: EventKind = kind("MP1507", Level::Info, "process settings read again");

/// The process was told to read its settings again, which it does not do.
pub const SETTINGS_NOT_RELOADED: EventKind = kind("MP1508", Level::Warn, "process settings kept");
/// A request was answered by an endpoint, whole.
pub const REQUEST_ANSWERED: EventKind = kind("MP1601", Level::Info, "request answered");
/// A request was refused or given up.
pub const REQUEST_UNANSWERED: EventKind = kind("MP1602", Level::Info, "request turned away");
/// The caller left before the end.
pub const CALLER_LEFT: EventKind = kind("MP1603", Level::Info, "caller left");
/// An answer broke after its head had been passed on.
pub const ANSWER_BROKEN: EventKind = kind("MP1604", Level::Warn, "answer broke off");
/// A request was sent to an endpoint and failed there.
pub const SEND_FAILED: EventKind = kind("MP1605", Level::Warn, "send to endpoint failed");
/// A stream that broke goes on at another endpoint.
pub const STREAM_CONTINUED: EventKind = kind("MP1606", Level::Info, "stream resumed");
/// Log lines were dropped because they could not be written fast enough.
pub const LINES_DROPPED: EventKind = kind("MP1607", Level::Warn, "log lines dropped");

/// A grant was not used, since this process does not hold its endpoint as one that serves.
pub const GRANT_UNUSABLE: EventKind =
    kind("MP1608", Level::Info, "grant not used, endpoint not held as serving");
/// Callers beyond the limit of connections were closed unread.
pub const CALLERS_CLOSED: EventKind = kind("MP1609", Level::Info, "callers closed unread");
/// An endpoint wants nothing from this process for a while.
pub const REST_STARTED: EventKind = kind("MP1610", Level::Info, "endpoint asks for rest");
/// An endpoint that rests asked for more.
pub const REST_EXTENDED: EventKind = kind("MP1611", Level::Info, "endpoint asks for more rest");
/// An endpoint that asked this process for rest may be sent to again.
pub const REST_ENDED: EventKind = kind("MP1612", Level::Info, "rest of endpoint is over");
/// An endpoint said in an answer that it leaves; this process sends it nothing more.
pub const ENDPOINT_LEAVING: EventKind = kind("MP1613", Level::Info, "endpoint says that it leaves");
/// What an endpoint said of when to come back can't be read.
pub const ADVICE_UNREADABLE: EventKind = kind("MP1614", Level::Warn, "advice of endpoint not readable");

/// Every event, in number order.
pub const CATALOGUE: &[EventKind] = &[
    PROCESS_READY,
    PROCESS_DRAINING,
    PROCESS_STOPPED,
    MACHINE_SUSPENDED,
    SUSPENSION_UNDETECTABLE,
    SETTINGS_IN_FORCE,
    SETTINGS_DISCONNECTED,
    SETTINGS_UNUSABLE,
    SESSION_OPEN,
    SESSION_LOST,
    LEASE_EXPIRED,
    PLACEMENT_CHANGED,
    ENDPOINT_FAILED,
    ANSWER_MISMATCH,
    REQUEST_REFUSED,
    REQUEST_DONE,
    SHARD_STARTED,
    WIRE_MALFORMED,
    ENGINE_SYNCED,
    SHARD_DECIDED,
    CACHE_UNTRACKED,
    CACHE_GAP,
    TICKET_REFUSED,
    ENDPOINT_CLOSED,
    ENDPOINT_OPENED,
    OBJECTIVE_DECIDED,
    REQUEST_SUSPECTED,
    REQUEST_QUARANTINED,
    REQUEST_CLEARED,
    STANDINGS_SUPPRESSED,
    QUARANTINE_LIFTED,
    REPORT_MISMATCH,
    CUSTOMER_DECIDED,
    LEADER_ELECTED,
    LEADER_STEPPED_DOWN,
    GROUP_FORMED,
    GROUP_CHANGED,
    STORE_FAILED,
    STORE_TRUNCATED,
    CHANGE_ACCEPTED,
    CHANGE_REJECTED,
    STORE_REOPENED,
    PLAN_ACCEPTED,
    PLAN_REFUSED,
    PLAN_UNCONFIRMED,
    HALL_ORDER_ACCEPTED,
    HALL_ORDER_REJECTED,
    HALL_ORDER_UNCONFIRMED,
    ENDPOINT_STAGE,
    ENDPOINT_EXPIRED,
    ENDPOINT_RESTARTED,
    HEARTBEAT_REFUSED,
    HALL_USE_CHANGED,
    ENDPOINT_COLD,
    PLAN_IN_FORCE,
    PLAN_UNUSABLE,
    KEEPER_FOLLOWED,
    KEEPER_LOST,
    SETTINGS_RELOADED,
    SETTINGS_NOT_RELOADED,
    REQUEST_ANSWERED,
    REQUEST_UNANSWERED,
    CALLER_LEFT,
    ANSWER_BROKEN,
    SEND_FAILED,
    STREAM_CONTINUED,
    LINES_DROPPED,
    GRANT_UNUSABLE,
    CALLERS_CLOSED,
    REST_STARTED,
    REST_EXTENDED,
    REST_ENDED,
    ENDPOINT_LEAVING,
    ADVICE_UNREADABLE,
];
