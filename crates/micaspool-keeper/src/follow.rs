//! Streams the state of the fleet to followers: the number of the route plan, data hall orders, the
//! endpoints registered at this keeper, and the members of the keeper group.

use crate::engine::KeeperView;
use crate::registry_hub::{HubVersion, RegistryHub};
use async_std::channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use futures::future::select;
use futures::pin_mut;
use micaspool_wire::convert::{endpoint_message, hall_messages};
use micaspool_wire::v1;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tonic::Status;

/// The interval of messages to a follower when nothing changes. A follower considers a keeper lost
/// after two and a half times as long. The loss of a dispatcher is noticed earlier, by the requests
/// that routers send to it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The minimum time between two messages with endpoint changes, so that changes are batched when
/// hundreds of endpoints return at once. A new plan, a hall order or a change of the majority is sent
/// immediately.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of endpoint changes in one message, about 40 KB. It bounds the memory of a keeper whose
/// followers all return at once, since the next message is made only when the stream has taken this one.
const MAX_CHANGES: usize = 256;

/// The interval at which silent endpoints are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What has been sent to a follower.
struct FollowerState {
    /// The number of the latest hall order.
    hall_order_number: u64,
    /// The endpoint changes that have been sent.
    version: HubVersion,
    /// The latest list of the members of the keeper group.
    keepers: Vec<String>,
}

/// A message to a follower.
struct FollowerUpdate {
    news: v1::FleetNews,
    /// True if the keeper has stopped.
    stopped: bool,
}

/// Sends the complete state to a follower, then changes, until it disconnects or the keeper stops.
pub(crate) async fn feed_follower(
    view: Arc<Mutex<KeeperView>>,
    hub: Arc<RegistryHub>,
    sender: Sender<Result<v1::FleetNews, Status>>,
) {
    let changes = view.lock().expect("no holder of the view panics").subscribe();
    let records = hub.subscribe();
    let mut state =
        FollowerState { hall_order_number: 0, version: HubVersion::default(), keepers: Vec::new() };
    loop {
        let update = state.next_update(&view, &hub);
        let changed = update.news.endpoints.len() + update.news.silent.len();
        if sender.send(Ok(update.news)).await.is_err() || update.stopped {
            return;
        }
        if changed >= MAX_CHANGES {
            continue;
        }
        let was_interrupted = changed > 0 && timeout(BATCH_INTERVAL, changes.recv()).await.is_ok();
        if !was_interrupted {
            wait_for_news(&changes, &records).await;
        }
    }
}

/// Looks for silent endpoints at intervals, until the keeper stops.
pub(crate) async fn sweep_registry(view: Arc<Mutex<KeeperView>>, hub: Arc<RegistryHub>) {
    while !view.lock().expect("no holder of the view panics").stopped {
        hub.sweep();
        task::sleep(SWEEP_INTERVAL).await;
    }
}

async fn wait_for_news(changes: &Receiver<()>, records: &Receiver<()>) {
    let change = changes.recv();
    let endpoint = records.recv();
    pin_mut!(change, endpoint);
    // Both a change and a timeout are followed by a message, so the cause does not matter.
    let _ = timeout(HEARTBEAT_INTERVAL, select(change, endpoint)).await;
}

impl FollowerState {
    fn next_update(&mut self, view: &Mutex<KeeperView>, hub: &RegistryHub) -> FollowerUpdate {
        let view = view.lock().expect("no holder of the view panics");
        let mut news = v1::FleetNews {
            confirmed: view.status.confirmed,
            plan_number: view.plan.number,
            ..v1::FleetNews::default()
        };
        if view.halls.newest_number() > self.hall_order_number {
            self.hall_order_number = view.halls.newest_number();
            news.halls = hall_messages(&view.halls);
        }
        let members = view.status.membership.members.iter();
        let keepers: Vec<String> = members.map(|member| member.identity.name.to_string()).collect();
        // Followers accept a list of members only from a keeper that is confirmed by a majority, so it
        // is not sent until then.
        if view.status.confirmed && keepers != self.keepers {
            news.keepers.clone_from(&keepers);
            self.keepers = keepers;
        }
        let stopped = view.stopped;
        drop(view);
        // A keeper that has stopped vouches for no endpoint, also to a follower that opens its stream again.
        if stopped {
            return FollowerUpdate { news, stopped };
        }
        let (changes, version) = hub.changes_since(self.version, MAX_CHANGES);
        self.version = version;
        news.endpoints = changes.records.iter().map(endpoint_message).collect();
        news.silent = changes.silent.iter().map(ToString::to_string).collect();
        FollowerUpdate { news, stopped }
    }
}
