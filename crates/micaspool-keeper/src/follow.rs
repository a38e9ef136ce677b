//! Streams the state of the fleet to followers: the route plan, data hall orders, the endpoints
//! registered at this keeper, and the members of the keeper group.

use crate::engine::KeeperView;
use crate::registry_hub::{HubCursor, HubScope, RegistryHub};
use async_std::channel::{Receiver, Sender};
use async_std::future::timeout;
use futures::future::select;
use futures::pin_mut;
use micaspool_clock::BootInstant;
use micaspool_wire::convert::{endpoint_message, hall_messages};
use micaspool_wire::v1;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tonic::Status;

/// The interval of messages to a follower when nothing changes. A follower considers a keeper lost
/// after two and a half times as long. The loss of a dispatcher is noticed earlier, by the requests
/// that routers send to it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The interval at which records of unchanged endpoints are sent again. A follower removes an
/// endpoint for which it has received no record for ten seconds.
const REFRESH_INTERVAL: Duration = Duration::from_secs(3);

/// The minimum time between two messages with endpoint records, so that changes are batched when
/// hundreds of endpoints return at once. A new plan, a hall order or a change of the majority is sent
/// immediately.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// What has been sent to a follower.
struct FollowerState {
    /// The number of the latest route plan.
    number: u64,
    /// The number of the latest hall order.
    hall_order_number: u64,
    /// The endpoint records that have been sent.
    cursor: HubCursor,
    /// When the records of unchanged endpoints are due again.
    refresh_due: BootInstant,
    /// The latest list of the members of the keeper group.
    keepers: Vec<String>,
}

/// Sends the complete state to a follower, then changes, until it disconnects or the keeper stops.
/// A plan is sent only if its number is greater than `number`.
pub(crate) async fn feed_follower(
    view: Arc<Mutex<KeeperView>>,
    hub: Arc<RegistryHub>,
    number: u64,
    sender: Sender<Result<v1::FleetNews, Status>>,
) {
    let changes = view.lock().expect("no holder of the view panics").subscribe();
    let records = hub.subscribe();
    let cursor = HubCursor::default();
    let mut state = FollowerState {
        number,
        hall_order_number: 0,
        cursor,
        refresh_due: BootInstant::now(),
        keepers: Vec::new(),
    };
    loop {
        let (news, stopped) = state.next_news(&view, &hub);
        let has_endpoints = !news.endpoints.is_empty();
        if sender.send(Ok(news)).await.is_err() || stopped {
            return;
        }
        let was_interrupted = has_endpoints && timeout(BATCH_INTERVAL, changes.recv()).await.is_ok();
        if !was_interrupted {
            wait_for_news(&changes, &records).await;
        }
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
    fn next_news(&mut self, view: &Mutex<KeeperView>, hub: &RegistryHub) -> (v1::FleetNews, bool) {
        let view = view.lock().expect("no holder of the view panics");
        let mut news = v1::FleetNews { confirmed: view.status.confirmed, ..v1::FleetNews::default() };
        if view.plan.number > self.number {
            self.number = view.plan.number;
            news.plan =
                Some(v1::PlanDocument { number: view.plan.number, document: view.plan.text.to_string() });
        }
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
        let (records, cursor) = hub.records_since(self.cursor, self.next_scope());
        self.cursor = cursor;
        news.endpoints = records.iter().map(endpoint_message).collect();
        (news, stopped)
    }

    /// Returns which records to send next: all that were received once per [`REFRESH_INTERVAL`],
    /// otherwise only changed ones.
    fn next_scope(&mut self) -> HubScope {
        let now = BootInstant::now();
        if now < self.refresh_due {
            return HubScope::Changed;
        }
        self.refresh_due = now + REFRESH_INTERVAL;
        HubScope::Received
    }
}
