//! The fleet as this process knows it, from every keeper that it reaches.
//!
//! Each keeper is followed on a stream of its own. What they tell is merged: the plan with the
//! highest number, and the newest record of each endpoint. So a change that any keeper took is known
//! here as soon as that keeper can say so, whichever other keepers are cut off.

mod halls;
mod stream;
mod table;

use crate::directory::PeerDirectory;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::task;
use micaspool_halls::HallOrders;
use micaspool_registry::{EndpointRecord, EndpointStage};
use micaspool_routes::{NumberedPlan, PlanFormat};
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{EndpointName, HallName, InstanceName, ServiceName};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use table::FleetTable;

/// How often endpoints that fell silent are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long an endpoint may be silent before it is forgotten, unless options say otherwise. Records
/// may come seconds late, and one that crashed is noticed by its failures first.
pub const ENDPOINT_LIFE: Duration = Duration::from_secs(10);

/// What a mirror is made with.
#[derive(Debug, Clone)]
pub struct FleetMirrorOptions {
    /// Names this process in the keepers' logs.
    pub follower: String,
    /// The keepers to begin with.
    pub seeds: Vec<InstanceName>,
    /// Where keepers are found.
    pub directory: Arc<dyn PeerDirectory>,
    /// How plans are read.
    pub format: Arc<dyn PlanFormat>,
    /// Counts control bytes.
    pub counter: TrafficCounter,
    /// How long an endpoint may be silent before it is forgotten, while keepers are reached.
    pub endpoint_life: Duration,
}

/// Whether a keeper is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum KeeperReach {
    /// The first try has not come to an end.
    #[default]
    Pending,
    /// Its stream is alive.
    Reached,
    /// Its stream could not be opened, or has ended.
    Lost,
}

/// What this process sees of one keeper.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeeperSight {
    /// The keeper and where it listens.
    pub peer: PeerAddress,
    /// Whether it is reached.
    pub reach: KeeperReach,
    /// True when it should have spoken and has not, though it is not taken for lost yet.
    pub quiet: bool,
    /// True while it is reached and hears a majority.
    pub confirmed: bool,
    /// True while it is reached and heard a majority a short while ago, so also during an election.
    pub confirmed_lately: bool,
    /// True while settings or the group name it.
    pub wanted: bool,
}

impl KeeperSight {
    /// True while its stream is alive.
    pub fn is_reached(&self) -> bool {
        self.reach == KeeperReach::Reached
    }
}

/// Follows every keeper.
#[derive(Debug)]
pub struct FleetMirror {
    options: FleetMirrorOptions,
    table: Mutex<FleetTable>,
}

impl FleetMirror {
    /// Starts to follow.
    pub fn start(options: FleetMirrorOptions) -> Arc<FleetMirror> {
        let table = FleetTable::new(options.seeds.clone());
        let mirror = Arc::new(FleetMirror { options, table: Mutex::new(table) });
        mirror.follow_new_keepers();
        task::spawn(mirror.clone().forget_silent_endpoints());
        mirror
    }

    /// The plan in force.
    pub fn plan(&self) -> NumberedPlan {
        self.lock().plan.clone()
    }

    /// True once any plan is in force.
    pub fn has_plan(&self) -> bool {
        self.lock().plan.number > 0
    }

    /// The newest start of an endpoint, by the name that its starts share.
    pub fn newest_start(&self, identity: &EndpointName) -> Option<EndpointRecord> {
        self.lock().registry.newest(identity).cloned()
    }

    /// The newest record of a start of an endpoint.
    pub fn endpoint(&self, name: &EndpointName) -> Option<EndpointRecord> {
        self.lock().registry.get(name).cloned()
    }

    /// The endpoints of a service that have not left.
    pub fn endpoints_of(&self, service: &ServiceName) -> Vec<EndpointRecord> {
        let table = self.lock();
        let now = table.now();
        let present = table.registry.iter().filter(|endpoint| endpoint.stage != EndpointStage::Left);
        let of_service = present.filter(|endpoint| endpoint.service == *service);
        of_service.map(|endpoint| table.registry.with_remaining_cold(now, endpoint)).collect()
    }

    /// The orders about data halls that hold in this process.
    pub fn hall_orders(&self) -> HallOrders {
        self.lock().hall_table.orders.clone()
    }

    /// True while nothing may be sent to the endpoints of a hall.
    pub fn is_evacuated(&self, hall: &HallName) -> bool {
        self.lock().hall_table.orders.is_evacuated(hall)
    }

    /// How much longer the endpoints of a hall are taken for cold, if each is for `start` after the hall was taken
    /// back.
    pub fn presumed_cold(&self, hall: &HallName, start: Duration) -> Duration {
        self.lock().hall_table.presumed_cold(hall, start)
    }

    /// The halls of all endpoints that were ever heard of, in the order of their first mention, so
    /// that a hall keeps its index.
    pub fn halls(&self) -> Vec<HallName> {
        self.lock().halls.clone()
    }

    /// Every keeper that is followed, in name order.
    pub fn keepers(&self) -> Vec<KeeperSight> {
        self.lock().sights(self.options.directory.as_ref())
    }

    /// A channel that gets a message after plan, endpoints or keepers have changed.
    pub fn listen(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.lock().listeners.push(sender);
        receiver
    }

    /// Adds keepers to those that are followed, for settings that name other seeds.
    pub fn add_seeds(self: &Arc<Self>, seeds: Vec<InstanceName>) {
        self.lock().seeds = seeds;
        self.follow_new_keepers();
    }

    /// Starts a stream for each keeper that has none.
    fn follow_new_keepers(self: &Arc<Self>) {
        for name in self.lock().take_unfollowed() {
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

    async fn forget_silent_endpoints(self: Arc<Self>) {
        loop {
            task::sleep(EXPIRY_INTERVAL).await;
            self.lock().forget_silent(self.options.endpoint_life);
        }
    }

    fn lock(&self) -> MutexGuard<'_, FleetTable> {
        self.table.lock().expect("no holder of the fleet panics")
    }
}

/// Wakes everyone who listens and forgets those who no longer do.
fn notify(listeners: &mut Vec<Sender<()>>) {
    listeners.retain(|listener| !listener.is_closed());
    for listener in listeners {
        let _ = listener.try_send(());
    }
}
