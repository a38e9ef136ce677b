//! A local copy of the fleet's state, merged from all keepers.
//!
//! A stream is open to each keeper, and their updates are merged: the plan with the highest number, the newest order
//! about each data hall and the newest record of each endpoint apply. A plan is fetched from one keeper. So a change that any keeper has accepted arrives
//! as long as that keeper is reachable, even if others are cut off.

mod halls;
mod holders;
mod plans;
mod stream;
mod table;
mod versions;

use crate::directory::PeerDirectory;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::task;
use micaspool_halls::HallOrders;
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_routes::{NumberedPlan, PlanFormat};
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{EndpointName, HallName, InstanceName, ServiceName, SoftwareVersion};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use table::FleetTable;

/// The interval between checks for silent endpoints.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The default of [`FleetMirrorOptions::max_endpoint_silence`]. Endpoints register with another keeper within seconds,
/// and a crashed endpoint is noticed earlier by its failures.
pub const MAX_ENDPOINT_SILENCE: Duration = Duration::from_secs(10);

/// Options of a [`FleetMirror`].
#[derive(Debug, Clone)]
pub struct FleetMirrorOptions {
    /// The name of this process in the keepers' logs.
    pub follower: String,
    /// The keepers to follow first.
    pub seeds: Vec<InstanceName>,
    /// Resolves the names of keepers to addresses.
    pub directory: Arc<dyn PeerDirectory>,
    /// Decodes route plans.
    pub format: Arc<dyn PlanFormat>,
    /// Counts the bytes exchanged with keepers.
    pub counter: TrafficCounter,
    /// How long an endpoint is kept after the stream from the last keeper that vouched for it has ended. Endpoints are
    /// only removed while a reachable keeper has a majority.
    pub max_endpoint_silence: Duration,
}

/// The state of the stream from a keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum KeeperConnection {
    /// The first try to open the stream has not ended, or the mirror has just started and no try has succeeded yet.
    #[default]
    Pending,
    /// The stream is open.
    Connected,
    /// The stream could not be opened or has ended.
    Lost,
}

/// The status of one keeper from the point of view of this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeeperStatus {
    /// The name and address of the keeper.
    pub peer: PeerAddress,
    /// The state of the stream from it.
    pub connection: KeeperConnection,
    /// True if its latest message is overdue but the stream has not timed out yet.
    pub unresponsive: bool,
    /// True while its stream is open and it has contact with a majority.
    pub confirmed: bool,
    /// True while its stream is open and it has or recently had contact with a majority. Stays true during an election.
    pub recently_confirmed: bool,
    /// True if it has not reported contact with a majority yet and this process has just started, so that its group may
    /// be about to elect a leader.
    pub settling: bool,
    /// True while the seeds or the group's members contain it.
    pub wanted: bool,
}

impl KeeperStatus {
    /// Returns true while its stream is open.
    pub fn is_connected(&self) -> bool {
        self.connection == KeeperConnection::Connected
    }
}

/// Follows all keepers and merges their updates.
#[derive(Debug)]
pub struct FleetMirror {
    options: FleetMirrorOptions,
    table: Mutex<FleetTable>,
}

impl FleetMirror {
    /// Creates a mirror and starts to follow the seeds.
    pub fn start(options: FleetMirrorOptions) -> Arc<FleetMirror> {
        let table = FleetTable::new(options.seeds.clone(), options.max_endpoint_silence);
        let mirror = Arc::new(FleetMirror { options, table: Mutex::new(table) });
        mirror.follow_new_keepers();
        task::spawn(mirror.clone().expire_silent_endpoints());
        mirror
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> NumberedPlan {
        self.lock().plan.clone()
    }

    /// Returns true once any plan is in force.
    pub fn has_plan(&self) -> bool {
        self.lock().plan.number > 0
    }

    /// Returns the record of the newest incarnation of an endpoint. `identity` is the name that all its incarnations
    /// share.
    pub fn newest_incarnation(&self, identity: &EndpointName) -> Option<EndpointRecord> {
        self.lock().registry.newest(identity).cloned()
    }

    /// Returns the newest record of one incarnation of an endpoint.
    pub fn endpoint(&self, name: &EndpointName) -> Option<EndpointRecord> {
        self.lock().registry.get(name).cloned()
    }

    /// Returns the endpoints of a service that have not left.
    pub fn endpoints_of(&self, service: &ServiceName) -> Vec<EndpointRecord> {
        let table = self.lock();
        let now = table.now();
        let present = table.registry.iter().filter(|endpoint| endpoint.stage != EndpointStage::Left);
        let of_service = present.filter(|endpoint| endpoint.service == *service);
        of_service.map(|endpoint| table.registry.with_remaining_cold(now, endpoint)).collect()
    }

    /// Returns the version that all endpoints of a service ran in the last `span`, also those that left meanwhile. `None`
    /// if there were several or none, or if the endpoints were not followed for so long.
    pub fn sole_version(&self, service: &ServiceName, span: Duration) -> Option<SoftwareVersion> {
        let table = self.lock();
        let of_service = table.registry.iter().filter(|endpoint| endpoint.service == *service);
        let present = of_service.filter(|endpoint| endpoint.stage != EndpointStage::Left);
        let lately = table.versions.within(table.now(), service, span)?;
        let mut versions = present.map(|endpoint| &endpoint.version).chain(lately);
        let first = versions.next()?;
        versions.all(|version| version == first).then(|| first.clone())
    }

    /// Returns the number of endpoints of a service that have not left.
    pub fn endpoint_count(&self, service: &ServiceName) -> usize {
        let table = self.lock();
        let present = table.registry.iter().filter(|endpoint| endpoint.stage != EndpointStage::Left);
        present.filter(|endpoint| endpoint.service == *service).count()
    }

    /// Returns the newest known orders about data halls.
    pub fn hall_orders(&self) -> HallOrders {
        self.lock().hall_table.orders.clone()
    }

    /// Returns true while no requests may be sent to the endpoints of a hall.
    pub fn is_evacuated(&self, hall: &HallName) -> bool {
        self.lock().hall_table.orders.is_evacuated(hall)
    }

    /// Returns how much longer the endpoints of a hall are assumed to be cold if each is cold for `start` after the end
    /// of the hall's evacuation; zero if no evacuation has ended.
    pub fn presumed_cold(&self, hall: &HallName, start: Duration) -> Duration {
        self.lock().hall_table.presumed_cold(hall, start)
    }

    /// Returns the data halls of all endpoints ever reported, in the order of the first report, so that the index of a
    /// hall never changes.
    pub fn halls(&self) -> Vec<HallName> {
        self.lock().halls.clone()
    }

    /// Returns the status of every followed keeper, sorted by name.
    pub fn keepers(&self) -> Vec<KeeperStatus> {
        self.lock().statuses(self.options.directory.as_ref())
    }

    /// Returns a channel that receives a message after the plan, orders about halls, endpoints or keepers have changed.
    pub fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.lock().subscribers.push(sender);
        receiver
    }

    /// Replaces the seeds and follows the new ones. A keeper that is neither a seed nor a member is no longer
    /// followed some time after its stream has ended.
    pub fn set_seeds(self: &Arc<Self>, seeds: Vec<InstanceName>) {
        self.lock().seeds = seeds;
        self.follow_new_keepers();
    }

    /// Starts to follow each keeper that is not followed yet.
    fn follow_new_keepers(self: &Arc<Self>) {
        for name in self.lock().claim_unfollowed() {
            match self.options.directory.address(&name) {
                Some(address) => {
                    let peer = PeerAddress { name, address };
                    task::spawn(stream::follow_keeper(self.clone(), peer));
                }
                None => {
                    record(&events::KEEPER_LOST, &[field("keeper", &name), field("reason", "no address")])
                }
            }
        }
    }

    async fn expire_silent_endpoints(self: Arc<Self>) {
        loop {
            task::sleep(EXPIRY_INTERVAL).await;
            self.lock().expire_silent();
        }
    }

    /// A panic under the lock ends the call that met it; the others go on with what it left.
    fn lock(&self) -> MutexGuard<'_, FleetTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Notifies all subscribers and removes those that have dropped their receiver.
fn notify(subscribers: &mut Vec<Sender<()>>) {
    subscribers.retain(|subscriber| !subscriber.is_closed());
    for subscriber in subscribers {
        let _ = subscriber.try_send(());
    }
}
