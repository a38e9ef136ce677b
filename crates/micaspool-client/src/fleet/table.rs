//! The merged state that keepers have reported.

use super::halls::HallTable;
use super::holders::EndpointHolders;
use super::versions::VersionHistory;
use super::{notify, KeeperConnection, KeeperStatus};
use crate::directory::PeerDirectory;
use async_std::channel::Sender;
use micaspool_clock::BootInstant;
use micaspool_registry::EndpointRegistry;
use micaspool_routes::{NumberedPlan, PlanFormat};
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{rendezvous_score, EndpointName, HallName, InstanceName, Moment};
use micaspool_wire::convert::{endpoint_record, hall_order};
use micaspool_wire::v1;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use tonic::transport::Channel;

/// How long a keeper still counts as confirmed after it last reported contact with a majority. An election takes up to
/// 1.5 s, or two tries. In its course the keepers of a group lose and regain their majority at different moments,
/// without being cut off.
const CONFIRMATION_RETENTION: Duration = Duration::from_secs(3);

/// For this long after the start of the mirror, a keeper that could not be reached yet counts as pending instead of lost,
/// and one that has not reported a majority yet as settling. Keepers that start together with their followers may be ready a
/// little later, and routers would choose other dispatchers and keep them for seconds.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// A keeper without a message for this long is unresponsive. Keepers send a message once a second.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_300);

/// The number of records in one message up to which each change has its own log line. More come when a stream opens.
const MAX_LOGGED_RECORDS: usize = 32;

/// The interval at which endpoints that left are forgotten. They are kept for minutes.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// A keeper is nearby if connecting to it took at most this many times as long as to the nearest one, and a margin for
/// the delays of a busy process.
const NEAR_FACTOR: u32 = 4;
const NEAR_MARGIN: Duration = Duration::from_millis(4);

/// The state of one followed keeper.
#[derive(Debug, Default)]
pub(super) struct KeeperState {
    pub connection: KeeperConnection,
    pub confirmed: bool,
    /// When it last reported contact with a majority on the current stream.
    confirmed_at: Option<BootInstant>,
    last_message_at: Option<BootInstant>,
    /// The number of the plan that it holds, according to its latest message; zero once it could not be asked for it.
    plan_number: u64,
    /// The connection of the current stream, and how long it took to make.
    channel: Option<Channel>,
    connect_time: Duration,
}

impl KeeperState {
    fn is_unresponsive(&self) -> bool {
        self.last_message_at.is_some_and(|at| at.elapsed() > UNRESPONSIVE_AFTER)
    }

    /// True if what it reports is what the group knows.
    fn is_followed(&self) -> bool {
        self.connection == KeeperConnection::Connected && self.recently_confirmed()
    }

    fn recently_confirmed(&self) -> bool {
        self.confirmed || self.confirmed_at.is_some_and(|at| at.elapsed() < CONFIRMATION_RETENTION)
    }
}

/// A keeper that can be asked for a newer plan.
#[derive(Debug)]
pub(super) struct PlanSource {
    pub keeper: InstanceName,
    pub channel: Channel,
}

/// The plan, endpoints, data halls and keepers as reported so far.
#[derive(Debug)]
pub(super) struct FleetTable {
    start: BootInstant,
    pub plan: NumberedPlan,
    /// The number of the newest plan that could not be decoded.
    unusable_plan: u64,
    /// True while a newer plan is being fetched.
    pub fetches_plan: bool,
    pub registry: EndpointRegistry,
    pub versions: VersionHistory,
    holders: EndpointHolders,
    /// How long an endpoint is kept after the last keeper that vouched for it was lost.
    max_silence: Duration,
    /// When endpoints that left are looked for next.
    forget_due: Moment,
    pub halls: Vec<HallName>,
    pub hall_table: HallTable,
    pub seeds: Vec<InstanceName>,
    /// The group's members according to the latest report of a confirmed keeper.
    members: Vec<InstanceName>,
    pub keepers: BTreeMap<InstanceName, KeeperState>,
    pub subscribers: Vec<Sender<()>>,
}

impl FleetTable {
    pub fn new(seeds: Vec<InstanceName>, max_silence: Duration) -> FleetTable {
        FleetTable {
            start: BootInstant::now(),
            plan: NumberedPlan::default(),
            unusable_plan: 0,
            fetches_plan: false,
            registry: EndpointRegistry::default(),
            versions: VersionHistory::default(),
            holders: EndpointHolders::default(),
            max_silence,
            forget_due: Moment(0),
            halls: Vec::new(),
            hall_table: HallTable::default(),
            seeds,
            members: Vec::new(),
            keepers: BTreeMap::new(),
            subscribers: Vec::new(),
        }
    }

    pub fn now(&self) -> Moment {
        Moment(0) + self.start.elapsed()
    }

    /// Returns whether keepers may still be starting together with this process.
    fn is_starting(&self) -> bool {
        self.start.elapsed() < SETTLE_TIME
    }

    /// Returns the seeds and members that are not followed yet, and marks them as followed.
    pub fn claim_unfollowed(&mut self) -> Vec<InstanceName> {
        let wanted = self.seeds.iter().chain(&self.members).cloned();
        let new: Vec<InstanceName> = wanted.filter(|name| !self.keepers.contains_key(name)).collect();
        for name in &new {
            self.keepers.insert(name.clone(), KeeperState::default());
        }
        new
    }

    /// Returns true if the seeds or the group's members contain this keeper.
    pub fn is_wanted(&self, name: &InstanceName) -> bool {
        self.seeds.contains(name) || self.members.contains(name)
    }

    /// Returns the status of every keeper whose address is known.
    pub fn statuses(&self, directory: &dyn PeerDirectory) -> Vec<KeeperStatus> {
        let statuses = self.keepers.iter().filter_map(|(name, state)| {
            let address = directory.address(name)?;
            let peer = PeerAddress { name: name.clone(), address };
            Some(KeeperStatus {
                peer,
                connection: state.connection,
                unresponsive: state.is_unresponsive(),
                confirmed: state.confirmed,
                recently_confirmed: state.recently_confirmed(),
                settling: self.is_starting() && !state.recently_confirmed(),
                wanted: self.is_wanted(name),
            })
        });
        statuses.collect()
    }

    /// Records whether the stream from a keeper is open and whether the keeper has contact with a majority.
    pub fn update_keeper(&mut self, name: &InstanceName, connected: bool, confirmed: bool) {
        let is_starting = self.is_starting();
        let Some(state) = self.keepers.get_mut(name) else { return };
        if !connected && is_starting && state.connection == KeeperConnection::Pending {
            return;
        }
        state.last_message_at = connected.then(BootInstant::now);
        let connection = if connected { KeeperConnection::Connected } else { KeeperConnection::Lost };
        state.confirmed_at = match (connected, confirmed) {
            (true, true) => Some(BootInstant::now()),
            (true, false) => state.confirmed_at,
            (false, _) => None,
        };
        if state.connection == connection && state.confirmed == confirmed {
            return;
        }
        if !connected {
            state.plan_number = 0;
            state.channel = None;
            let now = self.start.elapsed();
            self.holders.release_all(Moment(0) + now, name, self.max_silence);
        }
        let kind = if connected { &events::KEEPER_FOLLOWED } else { &events::KEEPER_LOST };
        record(kind, &[field("keeper", name), field("hears_majority", confirmed)]);
        state.connection = connection;
        state.confirmed = confirmed;
        notify(&mut self.subscribers);
    }

    /// Applies an update from a keeper. Returns true if it contains members that are not followed yet.
    pub fn apply(&mut self, from: &InstanceName, update: &v1::FleetNews) -> bool {
        self.update_keeper(from, true, update.confirmed);
        if let Some(state) = self.keepers.get_mut(from) {
            state.plan_number = update.plan_number;
        }
        let mut changed = false;
        for hall in &update.halls {
            changed |= self.apply_hall(from, hall);
        }
        changed |= self.apply_endpoints(from, &update.endpoints);
        self.versions.set_followed(self.now(), self.keepers.values().any(KeeperState::is_followed));
        for name in &update.silent {
            self.apply_silence(from, name);
        }
        if changed {
            notify(&mut self.subscribers);
        }
        self.apply_members(update)
    }

    /// Notes the connection of the stream from a keeper, and how long it took to make.
    pub fn connect_keeper(&mut self, name: &InstanceName, channel: Channel, took: Duration) {
        if let Some(state) = self.keepers.get_mut(name) {
            state.channel = Some(channel);
            state.connect_time = took;
        }
    }

    /// Returns the keepers that hold a newer plan, the preferred one of this follower first.
    pub fn plan_sources(&self, follower: &str) -> Vec<PlanSource> {
        let known = self.plan.number.max(self.unusable_plan);
        let newer = self.keepers.iter().filter(|(_, state)| state.plan_number > known);
        let sources = newer.filter_map(|(name, state)| {
            Some(PlanSource { keeper: name.clone(), channel: state.channel.clone()? })
        });
        let mut sources: Vec<PlanSource> = sources.collect();
        sources.sort_by_cached_key(|source| Reverse(self.preference(follower, &source.keeper)));
        sources
    }

    /// Returns the connected keeper that this follower prefers to ask for plans.
    pub fn preferred_source(&self, follower: &str) -> Option<InstanceName> {
        let connected =
            self.keepers.iter().filter(|(_, state)| state.connection == KeeperConnection::Connected);
        connected.map(|(name, _)| name).max_by_key(|name| self.preference(follower, name)).cloned()
    }

    /// Returns how much this follower prefers a keeper as a source of plans: first those nearby, so that a plan crosses
    /// to another region only if it must, then in an order that differs between followers.
    fn preference(&self, follower: &str, keeper: &InstanceName) -> (bool, u64) {
        let connected = self.keepers.values().filter(|state| state.channel.is_some());
        let nearest = connected.map(|state| state.connect_time).min().unwrap_or_default();
        let is_near = self
            .keepers
            .get(keeper)
            .is_some_and(|state| state.connect_time <= nearest * NEAR_FACTOR + NEAR_MARGIN);
        (is_near, rendezvous_score(follower, keeper.as_str()))
    }

    /// Notes that a keeper did not answer with its plan, until its next message.
    pub fn skip_source(&mut self, name: &InstanceName) {
        if let Some(state) = self.keepers.get_mut(name) {
            state.plan_number = 0;
        }
    }

    /// Puts a plan in force if its number is higher than the current one. Returns true if it was.
    pub fn apply_plan(
        &mut self,
        from: &InstanceName,
        document: &v1::PlanDocument,
        format: &dyn PlanFormat,
    ) -> bool {
        let previous = self.plan.number;
        if document.number <= previous {
            return false;
        }
        match format.decode(&document.document) {
            Ok(plan) => {
                self.plan = NumberedPlan { number: document.number, ..plan };
                let fields =
                    [field("number", document.number), field("before", previous), field("keeper", from)];
                record(&events::PLAN_IN_FORCE, &fields);
                notify(&mut self.subscribers);
                true
            }
            Err(error) => {
                let fields = [field("number", document.number), field("error", error)];
                record(&events::PLAN_UNUSABLE, &fields);
                self.unusable_plan = document.number;
                false
            }
        }
    }

    fn apply_hall(&mut self, from: &InstanceName, message: &v1::HallNews) -> bool {
        match hall_order(message) {
            Ok((hall, order)) => self.hall_table.apply(from, hall, order),
            Err(error) => {
                record(&events::WIRE_MALFORMED, &[field("keeper", from), field("error", error)]);
                false
            }
        }
    }

    /// Merges the records of one message. Returns true if any was new or changed.
    fn apply_endpoints(&mut self, from: &InstanceName, messages: &[v1::EndpointNews]) -> bool {
        let is_logged = messages.len() <= MAX_LOGGED_RECORDS;
        let mut changes = 0;
        for message in messages {
            changes += usize::from(self.apply_endpoint(from, message, is_logged));
        }
        if changes > 0 && !is_logged {
            record(&events::ENDPOINTS_LEARNT, &[field("endpoints", changes), field("keeper", from)]);
        }
        changes > 0
    }

    fn apply_endpoint(&mut self, from: &InstanceName, message: &v1::EndpointNews, is_logged: bool) -> bool {
        let endpoint = match endpoint_record(message) {
            Ok(endpoint) => endpoint,
            Err(error) => {
                record(&events::WIRE_MALFORMED, &[field("keeper", from), field("error", error)]);
                return false;
            }
        };
        if !self.halls.contains(&endpoint.hall) {
            self.halls.push(endpoint.hall.clone());
        }
        let (name, service, stage) = (endpoint.name.clone(), endpoint.service.clone(), endpoint.stage);
        let (sequence, version) = (endpoint.sequence, endpoint.version.clone());
        self.holders.hold(from, &name);
        let now = self.now();
        if let Some(previous) = self.registry.newest(&endpoint.identity) {
            self.versions.note(now, previous);
        }
        self.versions.note(now, &endpoint);
        let changed = self.registry.merge(now, endpoint).is_change();
        if changed && is_logged {
            let fields = [
                field("endpoint", name),
                field("service", service),
                field("stage", format!("{stage:?}")),
                field("sequence", sequence),
                field("version", version),
                field("keeper", from),
            ];
            record(&events::ENDPOINT_STAGE, &fields);
        }
        changed
    }

    fn apply_members(&mut self, update: &v1::FleetNews) -> bool {
        if !update.confirmed || update.keepers.is_empty() {
            return false;
        }
        // Keepers validate the names when they add members.
        let parsed = update.keepers.iter().filter_map(|name| InstanceName::parse(name).ok());
        self.members = parsed.collect();
        self.members.iter().any(|name| !self.keepers.contains_key(name))
    }

    fn apply_silence(&mut self, from: &InstanceName, name: &str) {
        match EndpointName::parse(name) {
            Ok(endpoint) => self.holders.release(self.now(), from, &endpoint),
            Err(error) => record(&events::WIRE_MALFORMED, &[field("keeper", from), field("error", error)]),
        }
    }

    /// Removes the endpoints that no keeper vouches for any more. Nothing is removed without a confirmed keeper, since
    /// endpoints could not have registered then.
    pub fn expire_silent(&mut self) {
        let now = self.now();
        if now >= self.forget_due {
            self.forget_due = now + FORGET_INTERVAL;
            self.registry.forget_left(now);
            self.versions.forget(now);
        }
        self.versions.set_followed(now, self.keepers.values().any(KeeperState::is_followed));
        if !self.keepers.values().any(|keeper| keeper.confirmed) {
            return;
        }
        let due = self.holders.take_due(now);
        for record in due.iter().filter_map(|name| self.registry.get(name)) {
            self.versions.note(now, record);
        }
        let removed: Vec<EndpointName> =
            due.into_iter().filter(|name| self.registry.remove(now, name)).collect();
        if removed.is_empty() {
            return;
        }
        let names: Vec<&str> = removed.iter().map(EndpointName::as_str).collect();
        record(&events::ENDPOINT_EXPIRED, &[field("endpoints", names.join(","))]);
        notify(&mut self.subscribers);
    }
}
