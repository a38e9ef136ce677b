//! The merged state that keepers have reported.

use super::halls::HallTable;
use super::holders::EndpointHolders;
use super::{notify, KeeperConnection, KeeperStatus};
use crate::directory::PeerDirectory;
use async_std::channel::Sender;
use micaspool_clock::BootInstant;
use micaspool_registry::EndpointRegistry;
use micaspool_routes::{NumberedPlan, PlanFormat};
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{EndpointName, HallName, InstanceName, Moment};
use micaspool_wire::convert::{endpoint_record, hall_order};
use micaspool_wire::v1;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a keeper still counts as confirmed after it last reported contact with a majority. An election takes up to
/// 1.5 s, or two tries. In its course the keepers of a group lose and regain their majority at different moments,
/// without being cut off.
const CONFIRMATION_RETENTION: Duration = Duration::from_secs(3);

/// A keeper without a message for this long is unresponsive. Keepers send a message once a second.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_300);

/// The interval at which endpoints that left are forgotten. They are kept for minutes.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// The state of one followed keeper.
#[derive(Debug, Default)]
pub(super) struct KeeperState {
    pub connection: KeeperConnection,
    pub confirmed: bool,
    /// When it last reported contact with a majority on the current stream.
    confirmed_at: Option<BootInstant>,
    last_message_at: Option<BootInstant>,
}

impl KeeperState {
    fn is_unresponsive(&self) -> bool {
        self.last_message_at.is_some_and(|at| at.elapsed() > UNRESPONSIVE_AFTER)
    }

    fn recently_confirmed(&self) -> bool {
        self.confirmed || self.confirmed_at.is_some_and(|at| at.elapsed() < CONFIRMATION_RETENTION)
    }
}

/// The plan, endpoints, data halls and keepers as reported so far.
#[derive(Debug)]
pub(super) struct FleetTable {
    start: BootInstant,
    pub plan: NumberedPlan,
    pub registry: EndpointRegistry,
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
            registry: EndpointRegistry::default(),
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
                wanted: self.is_wanted(name),
            })
        });
        statuses.collect()
    }

    /// Records whether the stream from a keeper is open and whether the keeper has contact with a majority.
    pub fn update_keeper(&mut self, name: &InstanceName, connected: bool, confirmed: bool) {
        let Some(state) = self.keepers.get_mut(name) else { return };
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
    pub fn apply(&mut self, from: &InstanceName, update: &v1::FleetNews, format: &dyn PlanFormat) -> bool {
        self.update_keeper(from, true, update.confirmed);
        let mut changed = update.plan.as_ref().is_some_and(|plan| self.apply_plan(from, plan, format));
        for hall in &update.halls {
            changed |= self.apply_hall(from, hall);
        }
        for endpoint in &update.endpoints {
            changed |= self.apply_endpoint(from, endpoint);
        }
        for name in &update.silent {
            self.apply_silence(from, name);
        }
        if changed {
            notify(&mut self.subscribers);
        }
        self.apply_members(update)
    }

    /// Puts a plan in force if its number is higher than the current one. Returns true if it was.
    fn apply_plan(
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
                true
            }
            Err(error) => {
                let fields = [field("number", document.number), field("error", error)];
                record(&events::PLAN_UNUSABLE, &fields);
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

    fn apply_endpoint(&mut self, from: &InstanceName, message: &v1::EndpointNews) -> bool {
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
        let fields = [
            field("endpoint", &endpoint.name),
            field("service", &endpoint.service),
            field("stage", format!("{:?}", endpoint.stage)),
            field("sequence", endpoint.sequence),
            field("keeper", from),
        ];
        self.holders.hold(from, &endpoint.name);
        let changed = self.registry.merge(self.now(), endpoint).is_change();
        if changed {
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
        }
        if !self.keepers.values().any(|keeper| keeper.confirmed) {
            return;
        }
        let due = self.holders.take_due(now);
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
