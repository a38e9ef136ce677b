//! What the keepers told, merged.

use super::halls::HallTable;
use super::{notify, KeeperReach, KeeperStatus};
use crate::directory::PeerDirectory;
use async_std::channel::Sender;
use micaspool_clock::BootInstant;
use micaspool_registry::{EndpointRegistry, EndpointStage};
use micaspool_routes::{NumberedPlan, PlanFormat};
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{HallName, InstanceName, Moment};
use micaspool_wire::convert::{endpoint_record, hall_order};
use micaspool_wire::v1;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a keeper counts as one that hears a majority after it last said so. An election takes up
/// to 1.5 s, two tries; the keepers of a group lose and regain their majority at different moments
/// in it, and none of them is cut off for that.
const MAJORITY_MEMORY: Duration = Duration::from_secs(3);

/// A keeper that has not spoken for this long is quiet; it speaks once a second.
const QUIET_LIMIT: Duration = Duration::from_millis(1_300);

/// What is known of one keeper.
#[derive(Debug, Default)]
pub(super) struct KeeperState {
    pub reach: KeeperReach,
    pub confirmed: bool,
    /// When it last said that it hears a majority, on the stream that is open now.
    confirmed_at: Option<BootInstant>,
    heard_at: Option<BootInstant>,
}

impl KeeperState {
    fn is_quiet(&self) -> bool {
        self.heard_at.is_some_and(|at| at.elapsed() > QUIET_LIMIT)
    }

    fn recently_confirmed(&self) -> bool {
        self.confirmed || self.confirmed_at.is_some_and(|at| at.elapsed() < MAJORITY_MEMORY)
    }
}

/// Plan, endpoints and keepers.
#[derive(Debug)]
pub(super) struct FleetTable {
    start: BootInstant,
    pub plan: NumberedPlan,
    pub registry: EndpointRegistry,
    pub halls: Vec<HallName>,
    pub hall_table: HallTable,
    pub seeds: Vec<InstanceName>,
    /// The members as a confirmed keeper last named them.
    members: Vec<InstanceName>,
    pub keepers: BTreeMap<InstanceName, KeeperState>,
    pub subscribers: Vec<Sender<()>>,
}

impl FleetTable {
    pub fn new(seeds: Vec<InstanceName>) -> FleetTable {
        FleetTable {
            start: BootInstant::now(),
            plan: NumberedPlan::default(),
            registry: EndpointRegistry::default(),
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

    /// Names that should be followed and are not yet; they count as followed from here on.
    pub fn take_unfollowed(&mut self) -> Vec<InstanceName> {
        let wanted = self.seeds.iter().chain(&self.members).cloned();
        let new: Vec<InstanceName> = wanted.filter(|name| !self.keepers.contains_key(name)).collect();
        for name in &new {
            self.keepers.insert(name.clone(), KeeperState::default());
        }
        new
    }

    /// True while settings or the group name this keeper.
    pub fn is_wanted(&self, name: &InstanceName) -> bool {
        self.seeds.contains(name) || self.members.contains(name)
    }

    pub fn sights(&self, directory: &dyn PeerDirectory) -> Vec<KeeperStatus> {
        let sights = self.keepers.iter().filter_map(|(name, state)| {
            let address = directory.address(name)?;
            let peer = PeerAddress { name: name.clone(), address };
            Some(KeeperStatus {
                peer,
                reach: state.reach,
                unresponsive: state.is_quiet(),
                confirmed: state.confirmed,
                recently_confirmed: state.recently_confirmed(),
                wanted: self.is_wanted(name),
            })
        });
        sights.collect()
    }

    /// Notes whether a keeper is reached and hears a majority.
    pub fn note_keeper(&mut self, name: &InstanceName, reached: bool, confirmed: bool) {
        let Some(state) = self.keepers.get_mut(name) else { return };
        state.heard_at = reached.then(BootInstant::now);
        let reach = if reached { KeeperReach::Reached } else { KeeperReach::Lost };
        state.confirmed_at = match (reached, confirmed) {
            (true, true) => Some(BootInstant::now()),
            (true, false) => state.confirmed_at,
            (false, _) => None,
        };
        if state.reach == reach && state.confirmed == confirmed {
            return;
        }
        let kind = if reached { &events::KEEPER_FOLLOWED } else { &events::KEEPER_LOST };
        record(kind, &[field("keeper", name), field("hears_majority", confirmed)]);
        state.reach = reach;
        state.confirmed = confirmed;
        notify(&mut self.subscribers);
    }

    /// Takes what a keeper tells; true when it named members that are not followed yet.
    pub fn take(&mut self, from: &InstanceName, news: &v1::FleetNews, format: &dyn PlanFormat) -> bool {
        self.note_keeper(from, true, news.confirmed);
        let mut changed = news.plan.as_ref().is_some_and(|plan| self.take_plan(from, plan, format));
        for hall in &news.halls {
            changed |= self.take_hall(from, hall);
        }
        for endpoint in &news.endpoints {
            changed |= self.take_endpoint(from, endpoint);
        }
        if changed {
            notify(&mut self.subscribers);
        }
        self.take_members(news)
    }

    /// Puts a plan in force when its number is higher than that in force.
    fn take_plan(
        &mut self,
        from: &InstanceName,
        document: &v1::PlanDocument,
        format: &dyn PlanFormat,
    ) -> bool {
        let before = self.plan.number;
        if document.number <= before {
            return false;
        }
        match format.decode(&document.document) {
            Ok(plan) => {
                self.plan = NumberedPlan { number: document.number, ..plan };
                let fields =
                    [field("number", document.number), field("before", before), field("keeper", from)];
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

    fn take_hall(&mut self, from: &InstanceName, message: &v1::HallNews) -> bool {
        match hall_order(message) {
            Ok((hall, order)) => self.hall_table.take(from, hall, order),
            Err(error) => {
                record(&events::WIRE_MALFORMED, &[field("keeper", from), field("error", error)]);
                false
            }
        }
    }

    fn take_endpoint(&mut self, from: &InstanceName, message: &v1::EndpointNews) -> bool {
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
        let changed = self.registry.merge(self.now(), endpoint).is_change();
        if changed {
            record(&events::ENDPOINT_STAGE, &fields);
        }
        changed
    }

    fn take_members(&mut self, news: &v1::FleetNews) -> bool {
        if !news.confirmed || news.keepers.is_empty() {
            return false;
        }
        // Names come from keepers, which checked them when they took the member in.
        let named = news.keepers.iter().filter_map(|name| InstanceName::parse(name).ok());
        self.members = named.collect();
        self.members.iter().any(|name| !self.keepers.contains_key(name))
    }

    /// Forgets endpoints that no keeper heard for `life`. Without a keeper in reach nobody could
    /// have told of them, so everything stays.
    pub fn forget_silent(&mut self, life: Duration) {
        if !self.keepers.values().any(|keeper| keeper.confirmed) {
            return;
        }
        let now = self.now();
        let silent: Vec<String> = self
            .registry
            .iter()
            .filter(|endpoint| endpoint.stage != EndpointStage::Left)
            .filter(|endpoint| self.registry.age(now, &endpoint.name).is_some_and(|age| age > life))
            .map(|endpoint| endpoint.name.to_string())
            .collect();
        self.registry.expire(now, life);
        if silent.is_empty() {
            return;
        }
        record(&events::ENDPOINT_EXPIRED, &[field("endpoints", silent.join(","))]);
        notify(&mut self.subscribers);
    }
}
